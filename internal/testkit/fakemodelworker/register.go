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
	heartbeatTimeout = time.Second            // of a call; after a failure the next control address is called
	retryPause       = 200 * time.Millisecond // after a failed call
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

// Register sends the heartbeats of a worker until the context ends, and then deregisters it. Nothing listens at the
// worker's address. onHeartbeat is called with the outcome of each heartbeat.
func Register(ctx context.Context, options Options, onHeartbeat func(err error)) {
	(&Worker{options: options}).register(ctx, onHeartbeat)
}

// register sends heartbeats until the context ends, and then deregisters the worker.
func (w *Worker) register(ctx context.Context, onHeartbeat func(err error)) {
	httpClient, err := client.NewClient(client.WithDialTimeout(heartbeatTimeout))
	if err != nil {
		return
	}
	current := 0 // index of the control address that is called
	for sequence := 1; ctx.Err() == nil; sequence++ {
		wait := w.options.HeartbeatInterval
		err := w.call(ctx, httpClient, w.options.Control[current], "/-/Instances.Heartbeat/", w.heartbeat(sequence))
		onHeartbeat(err)
		if err != nil {
			current = (current + 1) % len(w.options.Control)
			wait = retryPause
		}
		pause(ctx, wait)
	}
	deregisterCtx, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	_ = w.call(deregisterCtx, httpClient, w.options.Control[current], "/-/Instances.Deregister/", nil)
}

// heartbeat returns the encoded body of the heartbeat with the given sequence number.
func (w *Worker) heartbeat(sequence int) []byte {
	body := heartbeatBody{Service: w.options.Service, Address: w.options.Address, Zone: w.options.Zone, Generation: "v1",
		Slots: w.options.Slots, State: "ready", Stage: w.options.Stage, Sequence: sequence}
	if w.options.Stage != "" {
		body.Models = []model{{Name: "m", Generation: 1, Adapters: []string{}}}
	}
	encoded, _ := json.Marshal(body)
	return encoded
}

// call makes one call of the control plane's API. Any status other than 2xx is an error.
func (w *Worker) call(ctx context.Context, httpClient *client.Client, control, path string, body []byte) error {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod("POST")
	request.SetRequestURI("http://" + control + path + w.options.ID)
	request.Header.SetContentTypeBytes([]byte("application/json"))
	request.SetBody(body)
	if err := httpClient.DoTimeout(ctx, request, response, heartbeatTimeout); err != nil {
		return err
	}
	if response.StatusCode()/100 != 2 {
		return statusError(response.StatusCode())
	}
	return nil
}

// statusError is the status of a rejected call.
type statusError int

func (e statusError) Error() string {
	return "control plane rejected the call: status " + strconv.Itoa(int(e))
}
