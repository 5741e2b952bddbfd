package controlplanesim

import (
	"context"
	"net/http"
	"time"

	"ospreybend/internal/controlplane/server"
	"ospreybend/internal/testkit/controlplanesim/simnet"
)

// callTimeout is how long a caller waits for a response before it tries another server.
const callTimeout = time.Second

// call sends a request to a machine's API, in place of HTTP. The status is 0 if no response arrives in time. A request
// that has been delivered is processed even if its caller no longer waits.
func (sim *simulation) call(from string, to *machine, request server.APIRequest) server.APIResponse {
	answered := make(chan server.APIResponse, 1)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	sim.goroutines.Go(func() { sim.deliver(ctx, from, to, request, answered) })
	select {
	case response := <-answered:
		return response
	case <-ctx.Done():
		return server.APIResponse{}
	}
}

// deliver transports a request to the machine and the response back. ctx ends when the caller no longer waits.
func (sim *simulation) deliver(ctx context.Context, from string, to *machine, request server.APIRequest, answered chan<- server.APIResponse) {
	path := simnet.Path{From: from, To: to.ip}
	if !sim.travel(ctx, path) {
		return
	}
	served, process := to.serving()
	if served == nil {
		answered <- server.APIResponse{} // connection refused
		return
	}
	if !process.AwaitRunning() {
		return
	}
	response := served.Handle(context.Background(), request)
	if !process.AwaitRunning() || sim.dropsReplies(from) {
		return
	}
	if sim.travel(ctx, simnet.Path{From: to.ip, To: from}) {
		answered <- response
	}
}

// travel waits until a message has arrived along a path. It returns false if ctx ends first.
func (sim *simulation) travel(ctx context.Context, path simnet.Path) bool {
	for {
		changed := sim.network.PathsChanged()
		if !simnet.Sleep(ctx, sim.network.Delay(path)) {
			return false
		}
		if sim.network.Reachable(path) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// classify reports whether an API status is final for an operator's call, and whether the call was accepted.
func classify(status int) (final, accepted bool) {
	switch status {
	case http.StatusOK:
		return true, true
	case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true, false
	}
	return false, false
}
