package server

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
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

// errNotPermitted means that a role command was not written because its sender may not send it any more.
var errNotPermitted = eris.New("the role command is not permitted any more")

// errNoReport means that a worker answered a poll without a valid report.
var errNoReport = eris.New("the worker gave no valid report")

// roleCommandBody is the JSON body of a role command.
type roleCommandBody struct {
	Operation    string  `json:"op"`
	Role         string  `json:"stage"`
	LeaseHolder  string  `json:"holder"`
	FencingToken uint64  `json:"fenceToken"`
	IfRevision   *uint64 `json:"ifRevision,omitempty"` // number of commands that the worker has taken before this one
}

// workerReport is the part of a worker's JSON report that role assignment needs.
type workerReport struct {
	Role     string  `json:"stage"`
	Busy     bool    `json:"utilization"`        // the worker is executing a command
	Revision *uint64 `json:"sequence,omitempty"` // number of commands that the worker has taken
}

// httpWorkerClient calls workers over HTTP. It makes each call on a new connection, without retries.
type httpWorkerClient struct {
	dial func(ctx context.Context, address string) (net.Conn, error)
}

// NewWorkerClient returns a client that calls workers over connections which dial opens, see DialWorker.
func NewWorkerClient(dial func(ctx context.Context, address string) (net.Conn, error)) WorkerClient {
	return &httpWorkerClient{dial: dial}
}

// SendRoleCommand implements WorkerClient. It first has the worker answer a report, so that the command is written only to a worker that
// reads, and then sends the command for the revision that the worker has reported, on the same connection if the worker keeps it open.
func (h *httpWorkerClient) SendRoleCommand(ctx context.Context, command RoleCommand, permitted func() bool) CommandDelivery {
	connection, err := openWorkerConnection(ctx, h.dial, command.Address, command.Instance)
	if err != nil {
		return CommandDelivery{Err: err}
	}
	defer func() { connection.close() }()
	status, body, err := connection.exchange(http.MethodGet, reportPath, nil)
	if err != nil {
		return CommandDelivery{Err: err}
	}
	if status == statusMisdirected {
		return CommandDelivery{Status: status}
	}
	if connection.ended {
		connection.close()
		if connection, err = openWorkerConnection(ctx, h.dial, command.Address, command.Instance); err != nil {
			return CommandDelivery{Err: err}
		}
	}
	report, _ := decodeReport(status, body) // without a valid report, the command names no revision
	encoded, err := json.Marshal(roleCommandBody{
		Operation: operationSetRole, Role: command.Role, LeaseHolder: command.LeaseHolder, FencingToken: command.FencingToken, IfRevision: report.Revision,
	})
	if err != nil {
		return CommandDelivery{Err: err}
	}
	connection.setDeadline(time.Now().Add(commandDeliveryTimeout))
	if !permitted() {
		return CommandDelivery{Err: errNotPermitted}
	}
	delivery := CommandDelivery{WrittenAt: time.Now()}
	delivery.Status, _, delivery.Err = connection.exchange(http.MethodPost, commandPath, encoded)
	return delivery
}

// Report implements WorkerClient.
func (h *httpWorkerClient) Report(ctx context.Context, instance, address string) WorkerReport {
	connection, err := openWorkerConnection(ctx, h.dial, address, instance)
	if err != nil {
		return WorkerReport{}
	}
	defer connection.close()
	status, body, err := connection.exchange(http.MethodGet, reportPath, nil)
	if err != nil {
		return WorkerReport{}
	}
	report, err := decodeReport(status, body)
	if err != nil || report.Busy {
		return WorkerReport{Answered: true}
	}
	return WorkerReport{Answered: true, Role: report.Role}
}

func decodeReport(status int, body []byte) (report workerReport, err error) {
	if status != statusOK {
		return report, errNoReport
	}
	if json.Unmarshal(body, &report) != nil {
		return report, errNoReport
	}
	return report, nil
}
