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
	commandPath      = "/-/order"
	reportPath       = "/-/report"
	headerInstance   = "X-Target-Instance"
	operationSetRole = "stage"
)

// roleCommandBody is the body of an order.
type roleCommandBody struct {
	Operation    string `json:"op"`
	Role         string `json:"stage"`
	LeaseHolder  string `json:"holder"`
	FencingToken uint64 `json:"fenceToken"`
}

// workerReport is what is read of a worker's report.
type workerReport struct {
	Role string `json:"stage"`
	Busy bool   `json:"utilization"` // an order is under way
}

// httpWorkerClient calls workers over HTTP. It sends each call once, on a connection of its own.
type httpWorkerClient struct{ client *client.Client }

func newHTTPWorkerClient() (*httpWorkerClient, error) {
	silenceLibraryLog()
	http1, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(workerCommandTimeout/2),
		client.WithClientReadTimeout(workerCommandTimeout),
		client.WithWriteTimeout(workerCommandTimeout),
		client.WithKeepAlive(false),
	)
	return &httpWorkerClient{client: http1}, err
}

// SendRoleCommand implements WorkerCaller.
func (h *httpWorkerClient) SendRoleCommand(ctx context.Context, order RoleCommand) int {
	body, err := json.Marshal(roleCommandBody{Operation: operationSetRole, Role: order.Role, LeaseHolder: order.LeaseHolder, FencingToken: order.FencingToken})
	if err != nil {
		return 0
	}
	status, _ := h.call(ctx, http.MethodPost, order.Instance, order.Address, commandPath, body)
	return status
}

// ReportedRole implements WorkerCaller.
func (h *httpWorkerClient) ReportedRole(ctx context.Context, instance, address string) string {
	var report workerReport
	status, body := h.call(ctx, http.MethodGet, instance, address, reportPath, nil)
	if status != statusOK || json.Unmarshal(body, &report) != nil || report.Busy {
		return ""
	}
	return report.Role
}

// call makes one call and returns the status and the body of its answer, 0 if there is none.
func (h *httpWorkerClient) call(ctx context.Context, method, instance, address, path string, body []byte) (int, []byte) {
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
		deadline = time.Now().Add(workerCommandTimeout)
	}
	if err := h.client.DoDeadline(ctx, request, response, deadline); err != nil {
		return 0, nil
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...)
}
