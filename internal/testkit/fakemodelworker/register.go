package fakemodelworker

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/protocol"
)

const (
	heartbeatTimeout = time.Second            // then the next control address is called
	retryPause       = 200 * time.Millisecond // after a call that failed
)

// heartbeatBody is the body of a heartbeat.
type heartbeatBody struct {
	Service           string  `json:"service"`
	Address           string  `json:"address"`
	Zone              string  `json:"zone"`
	Generation        string  `json:"generation"`
	Slots             int     `json:"slots"`
	State             string  `json:"state"`
	WarmUpRemainingMs int     `json:"coldRemainingMs"`
	Stage             string  `json:"stage,omitempty"`
	Models            []model `json:"models,omitempty"`
	Sequence          int     `json:"sequence"`
}

type model struct {
	Name       string   `json:"name"`
	Generation int      `json:"generation"`
	Adapters   []string `json:"adapters"`
}

// Register sends a worker's heartbeats until the context ends, then announces the end. Nothing listens at the
// worker's address. report is called with the outcome of each heartbeat.
func Register(ctx context.Context, options Options, heard func(err error)) {
	(&Worker{options: options}).register(ctx, heard)
}

// register sends heartbeats until the context ends, then announces the end.
func (w *Worker) register(ctx context.Context, heard func(err error)) {
	caller, err := client.NewClient(client.WithDialTimeout(heartbeatTimeout))
	if err != nil {
		return
	}
	at := 0
	for sequence := 1; ctx.Err() == nil; sequence++ {
		wait := w.options.Heartbeat
		err := w.call(ctx, caller, w.options.Control[at], "/-/Instances.Heartbeat/", w.heartbeat(sequence))
		heard(err)
		if err != nil {
			at = (at + 1) % len(w.options.Control)
			wait = retryPause
		}
		pause(ctx, wait)
	}
	leaving, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	_ = w.call(leaving, caller, w.options.Control[at], "/-/Instances.Deregister/", nil)
}

// heartbeat returns the body of the heartbeat with a sequence number.
func (w *Worker) heartbeat(sequence int) []byte {
	body := heartbeatBody{Service: w.options.Service, Address: w.options.Address, Zone: w.options.Zone, Generation: "v1",
		Slots: w.options.Slots, State: "ready", Stage: w.options.Stage, Sequence: sequence}
	if w.options.Stage != "" {
		body.Models = []model{{Name: "m", Generation: 1, Adapters: []string{}}}
	}
	encoded, _ := json.Marshal(body)
	return encoded
}

// call sends one call of the control API; any answer but a 2xx is an error.
func (w *Worker) call(ctx context.Context, caller *client.Client, control, path string, body []byte) error {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod("POST")
	request.SetRequestURI("http://" + control + path + w.options.ID)
	request.Header.SetContentTypeBytes([]byte("application/json"))
	request.SetBody(body)
	if err := caller.DoTimeout(ctx, request, response, heartbeatTimeout); err != nil {
		return err
	}
	if response.StatusCode()/100 != 2 {
		return statusError(response.StatusCode())
	}
	return nil
}

// statusError is the status of a call that was rejected.
type statusError int

func (e statusError) Error() string { return "control plane: status " + strconv.Itoa(int(e)) }
