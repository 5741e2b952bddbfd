package server

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"ospreybend/internal/util/logging"
)

// HTTP statuses of a worker's answer to a role command.
const (
	statusOK                 = http.StatusOK                 // the worker already has the role
	statusAccepted           = http.StatusAccepted           // the worker has started to change its role
	statusBadRequest         = http.StatusBadRequest         // the worker does not know the command
	statusPreconditionFailed = http.StatusPreconditionFailed // the worker has seen a higher fencing token
	statusMisdirected        = http.StatusMisdirectedRequest // another worker runs at the address
)

// Paths, header and operation of the calls to workers.
const (
	commandPath      = "/-/order"
	reportPath       = "/-/report"
	headerInstance   = "X-Target-Instance"
	operationSetRole = "stage"
)

// roleCommandBody is the JSON body of a role command.
type roleCommandBody struct {
	Operation    string `json:"op"`
	Role         string `json:"stage"`
	LeaseHolder  string `json:"holder"`
	FencingToken uint64 `json:"fenceToken"`
}

// workerReport is the part of a worker's JSON report that role assignment needs.
type workerReport struct {
	Role string `json:"stage"`
	Busy bool   `json:"utilization"` // the worker is executing a command
}

// httpWorkerClient calls workers over HTTP. It sends each call once, without retries, on a new connection.
type httpWorkerClient struct{ client *client.Client }

func newHTTPWorkerClient() (*httpWorkerClient, error) {
	logging.SilenceHertz()
	httpClient, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(workerCommandTimeout/2),
		client.WithClientReadTimeout(workerCommandTimeout),
		client.WithWriteTimeout(workerCommandTimeout),
		client.WithKeepAlive(false),
	)
	return &httpWorkerClient{client: httpClient}, err
}

// SendRoleCommand implements WorkerClient.
func (h *httpWorkerClient) SendRoleCommand(ctx context.Context, command RoleCommand) int {
	body, err := json.Marshal(roleCommandBody{
		Operation: operationSetRole, Role: command.Role, LeaseHolder: command.LeaseHolder, FencingToken: command.FencingToken,
	})
	if err != nil {
		return 0
	}
	status, _ := h.call(ctx, http.MethodPost, command.Instance, command.Address, commandPath, body)
	return status
}

// ReportedRole implements WorkerClient.
func (h *httpWorkerClient) ReportedRole(ctx context.Context, instance, address string) string {
	var report workerReport
	status, body := h.call(ctx, http.MethodGet, instance, address, reportPath, nil)
	if status != statusOK || json.Unmarshal(body, &report) != nil || report.Busy {
		return ""
	}
	return report.Role
}

// call makes one call and returns the HTTP status and the body of the answer. The status is 0 if there is no answer. If ctx has no
// deadline, the timeout is workerCommandTimeout.
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
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		deadline = time.Now().Add(workerCommandTimeout)
	}
	if err := h.client.DoDeadline(ctx, request, response, deadline); err != nil {
		return 0, nil
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...)
}
