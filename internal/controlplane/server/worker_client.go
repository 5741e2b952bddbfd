package server

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
	reportPath     = "/-/report"
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

// workerReport is what is read of a worker's report.
type workerReport struct {
	Stage string `json:"stage"`
	Busy  bool   `json:"utilization"` // an order is under way
}

// httpCaller calls workers over HTTP. It sends each call once, on a connection of its own.
type httpCaller struct{ http1 *client.Client }

func newHTTPCaller() (*httpCaller, error) {
	quiet()
	http1, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(orderBudget/2),
		client.WithClientReadTimeout(orderBudget),
		client.WithWriteTimeout(orderBudget),
		client.WithKeepAlive(false),
	)
	return &httpCaller{http1: http1}, err
}

// Order implements WorkerCaller.
func (h *httpCaller) Order(ctx context.Context, order StageOrder) int {
	body, err := json.Marshal(orderBody{Operation: operationStage, Stage: order.Stage, Holder: order.Holder, Fence: order.Fence})
	if err != nil {
		return 0
	}
	status, _ := h.call(ctx, http.MethodPost, order.Instance, order.Address, orderPath, body)
	return status
}

// Stage implements WorkerCaller.
func (h *httpCaller) Stage(ctx context.Context, instance, address string) string {
	var report workerReport
	status, body := h.call(ctx, http.MethodGet, instance, address, reportPath, nil)
	if status != statusOK || json.Unmarshal(body, &report) != nil || report.Busy {
		return ""
	}
	return report.Stage
}

// call makes one call and returns the status and the body of its answer, 0 if there is none.
func (h *httpCaller) call(ctx context.Context, method, instance, address, path string, body []byte) (int, []byte) {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	request.SetHeader(headerInstance, instance)
	if body != nil {
		request.Header.SetContentTypeBytes([]byte(contentTypeJSON))
		request.SetBody(body)
	}
	deadline, bounded := ctx.Deadline()
	if !bounded {
		deadline = time.Now().Add(orderBudget)
	}
	if err := h.http1.DoDeadline(ctx, request, response, deadline); err != nil {
		return 0, nil
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...)
}
