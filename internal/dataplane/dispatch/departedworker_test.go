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
func (r *testHarness) removeWorkers(ids ...string) {
	view := *r.dispatcher.View()
	var remaining []*fleetview.Worker
	for _, worker := range view.Workers[testService] {
		gone := false
		for _, id := range ids {
			gone = gone || worker.ID == id
		}
		if !gone {
			remaining = append(remaining, worker)
		}
	}
	view.Workers = map[string][]*fleetview.Worker{testService: remaining}
	r.dispatcher.SetView(&view)
}

// removingWorkers returns a script that removes workers from the view when the call arrives, and then runs another script.
func (r *testHarness) removingWorkers(then script, ids ...string) script {
	return func(ctx context.Context, call *upstream.Request) (*Response, *upstream.Failure) {
		r.removeWorkers(ids...)
		return then(ctx, call)
	}
}

// TestDispatcher_Serve_streamContinuesAfterWorkerRemoval removes a worker from the view during its stream. The stream must complete, and
// the worker must not get a further request.
func TestDispatcher_Serve_streamOutlivesWorkerDeparture(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("d1", "d2")
		r.script("d1", r.removingWorkers(streams(1, 5, nil), "d1"))
		r.script("d2", respondsWith(200, "there", signed))
		first := r.ask(nil)
		if first.body != texts(1, 5) || !first.finished {
			t.Fatalf("finished %v with body %q, want a complete stream of events 1 to 5", first.finished, first.body)
		}
		r.ask(nil).mustBe(t, 200, "there")
		if r.workersCalled() != "d1 d2 " {
			t.Fatalf("called workers %q, want %q", r.workersCalled(), "d1 d2 ")
		}
	})
}

// TestDispatcher_Serve_transferFromRemovedWorker removes the prefill worker from the view before the run. The run must still use its
// handle, since a worker that shuts down keeps the KV cache for transfers.
func TestDispatcher_Serve_transferFromDepartedWorker(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("p1>d1")
		r.script("p1", r.removingWorkers(givesHandle("3fa0"), "p1"))
		r.script("d1", streams(1, 3, nil))
		asked := r.ask(nil)
		if asked.body != texts(1, 3) || r.calls[1].field(fieldKVFrom) != "p1:80/3fa0" {
			t.Fatalf("body %q with Kv-From %q, called workers %q; want events 1 to 3 with p1:80/3fa0",
				asked.body, r.calls[1].field(fieldKVFrom), r.workersCalled())
		}
	})
}

// TestDispatcher_Serve_streamNotResumedOnRemovedWorker truncates a stream after the worker that would be chosen to resume it has been
// removed from the view. Another worker must resume it.
func TestDispatcher_Serve_streamNotResumedOnDepartedWorker(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.route.Resumable = true
		r.setRoute()
		r.chooser.offers("d1", "d2", "d3")
		r.script("d1", r.removingWorkers(streams(1, 2, cut), "d2"))
		r.script("d3", streams(3, 4, nil))
		asked := r.ask(nil)
		if asked.body != texts(1, 4) || r.workersCalled() != "d1 d3 " {
			t.Fatalf("body %q, called workers %q; want events 1 to 4 from %q", asked.body, r.workersCalled(), "d1 d3 ")
		}
	})
}

// TestDispatcher_Serve_requestCompletesAfterRouteRemoval applies a configuration without the route and the service while a
// request is in flight. The response must be the same as without the change, but no further call may be made.
func TestDispatcher_Serve_requestOutlivesConfiguration(t *testing.T) {
	empty := &fleetview.View{Generation: 9, EdgeNodeCount: 1}
	cases := map[string]struct {
		kind   configuration.RouteType
		offers string
		then   script
		status int
		body   string
	}{
		"during a stream":           {configuration.Streaming, "d1", streams(1, 5, nil), 200, texts(1, 5)},
		"before a response":         {configuration.NonIdempotent, "d1", after(time.Second, respondsWith(200, "there", signed)), 200, "there"},
		"before a worker's failure": {configuration.Idempotent, "d1", respondsWith(500, "own", signed), 500, "own"},
		"before a rejection":        {configuration.NonIdempotent, "d1", rejects(), 503, ""},
		"during the prefill":        {configuration.Streaming, "p1>d1", givesHandle("3fa0"), 503, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, r *testHarness) {
				r.route.Type = c.kind
				r.setRoute()
				r.chooser.offers(c.offers, "d2")
				r.script(c.offers[:2], func(ctx context.Context, call *upstream.Request) (*Response, *upstream.Failure) {
					r.dispatcher.SetView(empty)
					return c.then(ctx, call)
				})
				asked := r.ask(nil)
				if asked.status != c.status || asked.body != c.body || !asked.finished || asked.aborted {
					t.Errorf("response %d %q, finished %v, aborted %v; want a complete %d %q",
						asked.status, asked.body, asked.finished, asked.aborted, c.status, c.body)
				}
				if len(r.calls) != 1 {
					t.Errorf("called workers %q, want only the first", r.workersCalled())
				}
				if split := c.offers[0] == 'p'; split && len(r.deletes) != 1 {
					t.Error("the handle was not freed")
				}
			})
		})
	}
}

// TestDispatcher_Serve_forwardsPromptFields sends prompt fields with unusual names and values. The prefill and the run must forward them
// unchanged.
func TestDispatcher_Serve_forwardsPromptFields(t *testing.T) {
	said := http1.Header{
		{Name: "x-model", Value: "M-1:lora"}, {Name: "X-Model", Value: "second"},
		{Name: fieldTokenCount, Value: "1460,80,7"}, {Name: "X-PROMPT-prefix", Value: "not hex:x,5c1e07a2"},
		{Name: "Last-Event-Id", Value: "41"},
	}
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("p1>d1")
		r.script("p1", givesHandle("3fa0"))
		r.script("d1", streams(42, 43, nil))
		r.ask(func(request *httpserver.Request) {
			request.Header = append(http1.Header{{Name: fieldRequestID, Value: testID}}, said...)
		})
		if r.workersCalled() != "p1 d1 " {
			t.Fatalf("called workers %q, want %q", r.workersCalled(), "p1 d1 ")
		}
		for _, call := range r.calls {
			for i, field := range said {
				if passed := call.call.Header[1+i]; passed != field {
					t.Errorf("worker %s received field %v, want %v", call.worker, passed, field)
				}
			}
		}
	})
}
