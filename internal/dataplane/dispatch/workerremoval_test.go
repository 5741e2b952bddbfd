package dispatch

import (
	"context"
	"testing"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/util/http1"
)

// removeWorkers removes workers from the current view, as happens when they announce their shutdown.
func (h *testHarness) removeWorkers(ids ...string) {
	view := *h.dispatcher.View()
	var remaining []*fleetview.Worker
	for _, worker := range view.Workers[testService] {
		removed := false
		for _, id := range ids {
			removed = removed || worker.ID == id
		}
		if !removed {
			remaining = append(remaining, worker)
		}
	}
	view.Workers = map[string][]*fleetview.Worker{testService: remaining}
	h.dispatcher.SetView(&view)
}

// removingWorkers returns a script that removes workers from the view when the call arrives, and then runs another script.
func (h *testHarness) removingWorkers(then script, ids ...string) script {
	return func(ctx context.Context, call *upstream.Request) (*Response, *upstream.Failure) {
		h.removeWorkers(ids...)
		return then(ctx, call)
	}
}

// TestDispatcher_Serve_streamContinuesAfterWorkerRemoval removes a worker from the view during its stream. The stream must complete, and
// the worker must not get a further request.
func TestDispatcher_Serve_streamContinuesAfterWorkerRemoval(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("d1", "d2")
		h.addScripts("d1", h.removingWorkers(streamEvents(1, 5, nil), "d1"))
		h.addScripts("d2", respondWith(200, "complete", signedFields))
		client := h.send(nil)
		if client.body != eventTexts(1, 5) || !client.finished {
			t.Fatalf("finished %v with body %q, want a complete stream of events 1 to 5", client.finished, client.body)
		}
		h.send(nil).requireResponse(t, 200, "complete")
		if h.workersCalled() != "d1 d2 " {
			t.Fatalf("called workers %q, want %q", h.workersCalled(), "d1 d2 ")
		}
	})
}

// TestDispatcher_Serve_transferFromRemovedWorker removes the prefill worker from the view before the run. The run must still use its
// handle, since a worker that shuts down keeps the KV cache for transfers.
func TestDispatcher_Serve_transferFromRemovedWorker(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("p1>d1")
		h.addScripts("p1", h.removingWorkers(respondWithHandle("3fa0"), "p1"))
		h.addScripts("d1", streamEvents(1, 3, nil))
		client := h.send(nil)
		if client.body != eventTexts(1, 3) || h.calls[1].field(fieldKVFrom) != "p1:80/3fa0" {
			t.Fatalf("body %q, called workers %q; want events 1 to 3 and a run with Kv-From p1:80/3fa0", client.body, h.workersCalled())
		}
	})
}

// TestDispatcher_Serve_streamNotResumedOnRemovedWorker truncates a stream after the worker that would be chosen to resume it has been
// removed from the view. Another worker must resume it.
func TestDispatcher_Serve_streamNotResumedOnRemovedWorker(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.route.Resumable = true
		h.setRoute()
		h.chooser.addChoices("d1", "d2", "d3")
		h.addScripts("d1", h.removingWorkers(streamEvents(1, 2, truncated), "d2"))
		h.addScripts("d3", streamEvents(3, 4, nil))
		client := h.send(nil)
		if client.body != eventTexts(1, 4) || h.workersCalled() != "d1 d3 " {
			t.Fatalf("body %q, called workers %q; want events 1 to 4 from %q", client.body, h.workersCalled(), "d1 d3 ")
		}
	})
}

// TestDispatcher_Serve_requestCompletesAfterRouteRemoval applies a configuration without the route and the service while a
// request is in flight. The response must be the same as without the change, but no further call may be made.
func TestDispatcher_Serve_requestCompletesAfterRouteRemoval(t *testing.T) {
	emptyView := &fleetview.View{Generation: 9, EdgeNodeCount: 1}
	cases := map[string]struct {
		kind    configuration.RouteType
		choices string
		then    script
		status  int
		body    string
	}{
		"during a stream":           {configuration.Streaming, "d1", streamEvents(1, 5, nil), 200, eventTexts(1, 5)},
		"before a response":         {configuration.NonIdempotent, "d1", delayed(time.Second, respondWith(200, "complete", signedFields)), 200, "complete"},
		"before a worker's failure": {configuration.Idempotent, "d1", respondWith(500, "own", signedFields), 500, "own"},
		"before a rejection":        {configuration.NonIdempotent, "d1", rejectCall(), 503, ""},
		"during the prefill":        {configuration.Streaming, "p1>d1", respondWithHandle("3fa0"), 503, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, h *testHarness) {
				h.route.Type = c.kind
				h.setRoute()
				h.chooser.addChoices(c.choices, "d2")
				h.addScripts(c.choices[:2], func(ctx context.Context, call *upstream.Request) (*Response, *upstream.Failure) {
					h.dispatcher.SetView(emptyView)
					return c.then(ctx, call)
				})
				client := h.send(nil)
				if client.status != c.status || client.body != c.body || !client.finished || client.aborted {
					t.Errorf("response %d %q, finished %v, aborted %v; want a complete %d %q",
						client.status, client.body, client.finished, client.aborted, c.status, c.body)
				}
				if len(h.calls) != 1 {
					t.Errorf("called workers %q, want only the first", h.workersCalled())
				}
				if hasPrefill := c.choices[0] == 'p'; hasPrefill && len(h.deletes) != 1 {
					t.Error("the handle was not freed")
				}
			})
		})
	}
}

// TestDispatcher_Serve_forwardsPromptFields sends prompt fields with unusual names and values. The prefill and the run must forward them
// unchanged.
func TestDispatcher_Serve_forwardsPromptFields(t *testing.T) {
	promptFields := http1.Header{
		{Name: "x-model", Value: "M-1:lora"}, {Name: "X-Model", Value: "second"},
		{Name: fieldTokenCount, Value: "1460,80,7"}, {Name: "X-PROMPT-prefix", Value: "not hex:x,5c1e07a2"},
		{Name: "Last-Event-Id", Value: "41"},
	}
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("p1>d1")
		h.addScripts("p1", respondWithHandle("3fa0"))
		h.addScripts("d1", streamEvents(42, 43, nil))
		h.send(func(request *httpserver.Request) {
			request.Header = append(http1.Header{{Name: fieldRequestID, Value: testRequestID}}, promptFields...)
		})
		if h.workersCalled() != "p1 d1 " {
			t.Fatalf("called workers %q, want %q", h.workersCalled(), "p1 d1 ")
		}
		for _, call := range h.calls {
			for i, field := range promptFields {
				if forwarded := call.request.Header[1+i]; forwarded != field {
					t.Errorf("worker %s received field %v, want %v", call.worker, forwarded, field)
				}
			}
		}
	})
}
