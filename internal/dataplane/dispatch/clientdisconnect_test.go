package dispatch

import (
	"context"
	"testing"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/dataplane/upstream"
)

// TestDispatcher_Serve_noCallAfterClientDisconnect disconnects the client at each stage of its request. Every call in flight must end
// immediately, and none may follow although workers, attempts and budget are left.
func TestDispatcher_Serve_noCallAfterClientDisconnect(t *testing.T) {
	const disconnectAfter = 300 * time.Millisecond
	cases := map[string]struct {
		script  script
		choices []string
		calls   string
		deletes int
	}{
		"while a connection is established": {neverConnect, []string{"d1", "d2"}, "d1 ", 0},
		"before the first event":            {hangUntilCanceled(), []string{"d1", "d2"}, "d1 ", 0},
		"in a stream that stalls":           {streamEvents(1, 3, stalled), []string{"d1", "d2"}, "d1 ", 0},
		"between events":                    {streamEvents(1, 100, nil), []string{"d1", "d2"}, "d1 ", 0},
		"during the prefill":                {hangUntilCanceled(), []string{"p1>d1", "p2>d2"}, "p1 ", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, h *testHarness) {
				h.route.Resumable = true
				h.setRoute()
				h.chooser.addChoices(c.choices...)
				h.addScripts(c.choices[0][:2], c.script)
				h.defaultScript = func(string, *upstream.Request) script { return respondWith(200, "complete", signedFields) }
				client := &recordingClient{harness: h, disconnectAfter: disconnectAfter}
				h.sendAs(client, nil)
				if client.duration != disconnectAfter || !client.aborted || client.finished {
					t.Errorf("aborted %v after %v, finished %v; want an abort after %v",
						client.aborted, client.duration, client.finished, disconnectAfter)
				}
				if h.workersCalled() != c.calls || len(h.deletes) != c.deletes {
					t.Errorf("called workers %q and freed %d handles, want %q and %d",
						h.workersCalled(), len(h.deletes), c.calls, c.deletes)
				}
				h.chooser.requireResults(t, "abandoned")
			})
		})
	}
}

// TestDispatcher_Serve_noRunIfClientDisconnectsDuringPrefill disconnects the client immediately before the prefill response. No run may
// follow, and the handle must be freed.
func TestDispatcher_Serve_noRunIfClientDisconnectsDuringPrefill(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		ctx, disconnect := context.WithCancel(t.Context())
		h.chooser.addChoices("p1>d1", "d2")
		h.addScripts("p1", func(ctx context.Context, call *upstream.Request) (*Response, *upstream.Failure) {
			disconnect()
			return respondWithHandle("3fa0")(ctx, call)
		})
		h.defaultScript = func(string, *upstream.Request) script { return respondWith(200, "complete", signedFields) }
		client := h.send(func(request *httpserver.Request) { request.Context = ctx })
		if !client.aborted || client.responses != 0 || h.workersCalled() != "p1 " {
			t.Fatalf("aborted %v with %d responses, called workers %q; want an abort without a response, and only p1 called",
				client.aborted, client.responses, h.workersCalled())
		}
		if len(h.deletes) != 1 || h.deletes[0].request.Target != kvHandlePath+"3fa0" {
			t.Fatalf("freed handles by %+v, want one call for handle 3fa0", h.deletes)
		}
	})
}

// TestDispatcher_Serve_noRetryAfterClientDisconnect fails a run at the moment when the client disconnects. It must not be retried.
func TestDispatcher_Serve_noRetryAfterClientDisconnect(t *testing.T) {
	for name, kind := range map[string]configuration.RouteType{"idempotent": configuration.Idempotent, "stream": configuration.Streaming} {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, h *testHarness) {
				h.route.Type, h.route.Resumable = kind, true
				h.setRoute()
				ctx, disconnect := context.WithCancel(t.Context())
				h.chooser.addChoices("d1", "d2")
				h.addScripts("d1", func(ctx context.Context, call *upstream.Request) (*Response, *upstream.Failure) {
					disconnect()
					return breakConnection()(ctx, call)
				})
				h.defaultScript = func(string, *upstream.Request) script { return respondWith(200, "complete", signedFields) }
				h.send(func(request *httpserver.Request) { request.Context = ctx })
				if h.workersCalled() != "d1 " {
					t.Fatalf("called workers %q, want %q", h.workersCalled(), "d1 ")
				}
			})
		})
	}
}

// TestDispatcher_Serve_disconnectedClientReachesNoWorker serves a request of a client that has already disconnected. No worker may be
// called.
func TestDispatcher_Serve_disconnectedClientReachesNoWorker(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		ctx, disconnect := context.WithCancel(t.Context())
		disconnect()
		h.chooser.addChoices("p1>d1", "d2")
		h.defaultScript = func(string, *upstream.Request) script { return respondWith(200, "complete", signedFields) }
		client := h.send(func(request *httpserver.Request) { request.Context = ctx })
		if !client.aborted || len(h.calls) != 0 {
			t.Fatalf("aborted %v, called workers %q; want an abort without a call", client.aborted, h.workersCalled())
		}
	})
}
