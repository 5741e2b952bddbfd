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

// removeWorkers takes workers out of the view in force, as when they have said that they go.
func (r *testDispatcher) removeWorkers(ids ...string) {
	view := *r.dispatcher.View()
	var kept []*fleetview.Worker
	for _, worker := range view.Workers[testService] {
		gone := false
		for _, id := range ids {
			gone = gone || worker.ID == id
		}
		if !gone {
			kept = append(kept, worker)
		}
	}
	view.Workers = map[string][]*fleetview.Worker{testService: kept}
	r.dispatcher.SetView(&view)
}

// removingWorkers lets workers leave just as one of them has taken a call up.
func (r *testDispatcher) removingWorkers(then script, ids ...string) script {
	return func(ctx context.Context, call *upstream.Request) (*Answer, *upstream.Failure) {
		r.removeWorkers(ids...)
		return then(ctx, call)
	}
}

// TestDispatcher_Serve_streamOutlivesWorkerDeparture has a worker leave the list amid a stream: it serves on, and gets no further request.
func TestDispatcher_Serve_streamOutlivesWorkerDeparture(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testDispatcher) {
		r.chooser.offers("d1", "d2")
		r.script("d1", r.removingWorkers(streams(1, 5, nil), "d1"))
		r.script("d2", answers(200, "there", signed))
		first := r.ask(nil)
		if first.body != texts(1, 5) || !first.finished {
			t.Fatalf("%+v", first)
		}
		r.ask(nil).mustBe(t, 200, "there")
		if r.workersCalled() != "d1 d2 " {
			t.Fatal(r.workersCalled())
		}
	})
}

// TestDispatcher_Serve_transferFromDepartedWorker runs a request whose prompt was read by a worker that left as it was done: it holds the memory
// on.
func TestDispatcher_Serve_transferFromDepartedWorker(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testDispatcher) {
		r.chooser.offers("p1>d1")
		r.script("p1", r.removingWorkers(givesHandle("3fa0"), "p1"))
		r.script("d1", streams(1, 3, nil))
		asked := r.ask(nil)
		if asked.body != texts(1, 3) || r.calls[1].field(fieldKVFrom) != "p1:80/3fa0" {
			t.Fatalf("%+v after %s", asked, r.workersCalled())
		}
	})
}

// TestDispatcher_Serve_streamNotResumedOnDepartedWorker cuts a stream as the worker that is chosen to go on with it leaves.
func TestDispatcher_Serve_streamNotResumedOnDepartedWorker(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testDispatcher) {
		r.route.Resumable = true
		r.setRoute()
		r.chooser.offers("d1", "d2", "d3")
		r.script("d1", r.removingWorkers(streams(1, 2, cut), "d2"))
		r.script("d3", streams(3, 4, nil))
		asked := r.ask(nil)
		if asked.body != texts(1, 4) || r.workersCalled() != "d1 d3 " {
			t.Fatalf("%+v after %s", asked, r.workersCalled())
		}
	})
}

// TestDispatcher_Serve_requestOutlivesConfiguration puts a configuration without route and service in force while a request is in work.
func TestDispatcher_Serve_requestOutlivesConfiguration(t *testing.T) {
	empty := &fleetview.View{Generation: 9, EdgeNodeCount: 1}
	cases := map[string]struct {
		kind   configuration.RouteType
		offers string
		then   script
		status int
		body   string
	}{
		"amid a stream":             {configuration.Streaming, "d1", streams(1, 5, nil), 200, texts(1, 5)},
		"before an answer":          {configuration.NonIdempotent, "d1", after(time.Second, answers(200, "there", signed)), 200, "there"},
		"before a worker's failure": {configuration.Idempotent, "d1", answers(500, "own", signed), 500, "own"},
		"before a rejection":        {configuration.NonIdempotent, "d1", rejects(), 503, ""},
		"while the prompt is read":  {configuration.Streaming, "p1>d1", givesHandle("3fa0"), 503, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, r *testDispatcher) {
				r.route.Type = c.kind
				r.setRoute()
				r.chooser.offers(c.offers, "d2")
				r.script(c.offers[:2], func(ctx context.Context, call *upstream.Request) (*Answer, *upstream.Failure) {
					r.dispatcher.SetView(empty)
					return c.then(ctx, call)
				})
				asked := r.ask(nil)
				if asked.status != c.status || asked.body != c.body || !asked.finished || asked.broken {
					t.Errorf("%+v", asked)
				}
				if len(r.calls) != 1 {
					t.Errorf("called: %s", r.workersCalled())
				}
				if handed := c.offers[0] == 'p'; handed && len(r.deletes) != 1 {
					t.Error("the handle was not freed")
				}
			})
		})
	}
}

// TestDispatcher_Serve_forwardsPromptFields sends odd values with a reading and a run; both carry them as they came.
func TestDispatcher_Serve_forwardsPromptFields(t *testing.T) {
	said := http1.Header{
		{Name: "x-model", Value: "M-1:lora"}, {Name: "X-Model", Value: "second"},
		{Name: fieldTokenCount, Value: "1460,80,7"}, {Name: "X-PROMPT-prefix", Value: "not hex:x,5c1e07a2"},
		{Name: "Last-Event-Id", Value: "41"},
	}
	withFakeClock(t, func(t *testing.T, r *testDispatcher) {
		r.chooser.offers("p1>d1")
		r.script("p1", givesHandle("3fa0"))
		r.script("d1", streams(42, 43, nil))
		r.ask(func(request *httpserver.Request) {
			request.Header = append(http1.Header{{Name: fieldRequestID, Value: testID}}, said...)
		})
		if r.workersCalled() != "p1 d1 " {
			t.Fatal(r.workersCalled())
		}
		for _, call := range r.calls {
			for i, field := range said {
				if passed := call.call.Header[1+i]; passed != field {
					t.Errorf("%s gets %v, not %v", call.worker, passed, field)
				}
			}
		}
	})
}
