package controlplanesim

import (
	"context"
	"net/http"
	"time"

	"ospreybend/internal/controlplane/server"
	"ospreybend/internal/testkit/controlplanesim/simnet"
)

// callTimeout is how long a caller waits for an answer before it tries another node.
const callTimeout = time.Second

// call calls a machine's API, as over HTTP. The status is 0 if no answer arrived in time. A call that has arrived
// is processed even if its caller no longer waits.
func (w *world) call(from string, to *machine, request server.APIRequest) server.APIResponse {
	answered := make(chan server.APIResponse, 1)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	w.running.Go(func() { w.deliver(ctx, from, to, request, answered) })
	select {
	case response := <-answered:
		return response
	case <-ctx.Done():
		return server.APIResponse{}
	}
}

// deliver carries a call to the machine and its answer back. ctx ends when the caller no longer waits.
func (w *world) deliver(ctx context.Context, from string, to *machine, request server.APIRequest, answered chan<- server.APIResponse) {
	path := simnet.Path{From: from, To: to.ip}
	if !w.travel(ctx, path) {
		return
	}
	served, process := to.serving()
	if served == nil {
		answered <- server.APIResponse{} // the port refuses
		return
	}
	if !process.AwaitRunning() {
		return
	}
	response := served.Handle(context.Background(), request)
	if !process.AwaitRunning() || w.losesReplies(from) {
		return
	}
	if w.travel(ctx, simnet.Path{From: to.ip, To: from}) {
		answered <- response
	}
}

// travel waits until a message has arrived along a path. It returns false if ctx ends before.
func (w *world) travel(ctx context.Context, path simnet.Path) bool {
	for {
		changed := w.network.PathsChanged()
		if !simnet.Sleep(ctx, w.network.Delay(path)) {
			return false
		}
		if w.network.Reachable(path) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// classify reports whether a status of the API is final for an operator's call, and whether the call was accepted.
func classify(status int) (final, accepted bool) {
	switch status {
	case http.StatusOK:
		return true, true
	case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true, false
	}
	return false, false
}
