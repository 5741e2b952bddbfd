package keeper

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
)

// Statuses of a worker's answer to an order.
const (
	statusOK                 = http.StatusOK                 // it holds already
	statusAccepted           = http.StatusAccepted           // it is being done
	statusBadRequest         = http.StatusBadRequest         // no such order
	statusPreconditionFailed = http.StatusPreconditionFailed // a higher fence was seen
	statusMisdirected        = http.StatusMisdirectedRequest // another worker has the address
)

const (
	orderPath      = "/-/order"
	headerInstance = "X-Target-Instance"
	operationStage = "stage"
)

// orderBody is the body of an order.
type orderBody struct {
	Operation string `json:"op"`
	Stage     string `json:"stage"`
	Holder    string `json:"holder"`
	Fence     uint64 `json:"fenceToken"`
}

// newOrderSender returns a sender over HTTP. It sends each order once, on a connection of its own.
func newOrderSender() (OrderSender, error) {
	quiet()
	http1, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(orderBudget/2),
		client.WithClientReadTimeout(orderBudget),
		client.WithWriteTimeout(orderBudget),
		client.WithKeepAlive(false),
	)
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context, order StageOrder) int {
		return sendOrder(ctx, http1, order)
	}, nil
}

func sendOrder(ctx context.Context, http1 *client.Client, order StageOrder) int {
	body, err := json.Marshal(orderBody{Operation: operationStage, Stage: order.Stage, Holder: order.Holder, Fence: order.Fence})
	if err != nil {
		return 0
	}
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(http.MethodPost)
	request.SetRequestURI("http://" + order.Address + orderPath)
	request.SetHeader(headerInstance, order.Instance)
	request.Header.SetContentTypeBytes([]byte(contentTypeJSON))
	request.SetBody(body)
	deadline, bounded := ctx.Deadline()
	if !bounded {
		deadline = time.Now().Add(orderBudget)
	}
	if err := http1.DoDeadline(ctx, request, response, deadline); err != nil {
		return 0
	}
	return response.StatusCode()
}
