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

// depart takes workers out of the view in force, as when they have said that they go.
func (r *rig) depart(ids ...string) {
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

// departing lets workers leave just as one of them has taken a call up.
func (r *rig) departing(then script, ids ...string) script {
	return func(ctx context.Context, call *upstream.Request) (*Answer, *upstream.Failure) {
		r.depart(ids...)
		return then(ctx, call)
	}
}

// TestStreamOutlivesItsWorkersDeparture has a worker leave the list amid a stream: it serves on, and gets no further request.
func TestStreamOutlivesItsWorkersDeparture(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("d1", "d2")
		r.plays("d1", r.departing(streams(1, 5, nil), "d1"))
		r.plays("d2", answers(200, "there", signed))
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

// TestHandOverFromAWorkerThatHasLeft runs a request whose prompt was read by a worker that left as it was done: it holds the memory
// on.
func TestHandOverFromAWorkerThatHasLeft(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("p1>d1")
		r.plays("p1", r.departing(hands("3fa0"), "p1"))
		r.plays("d1", streams(1, 3, nil))
		asked := r.ask(nil)
		if asked.body != texts(1, 3) || r.calls[1].field(fieldKVFrom) != "p1:80/3fa0" {
			t.Fatalf("%+v after %s", asked, r.workersCalled())
		}
	})
}

// TestStreamIsNotTakenUpAtAWorkerThatHasLeft cuts a stream as the worker that is chosen to go on with it leaves.
func TestStreamIsNotTakenUpAtAWorkerThatHasLeft(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.route.Resumable = true
		r.setRoute()
		r.chooser.offers("d1", "d2", "d3")
		r.plays("d1", r.departing(streams(1, 2, cut), "d2"))
		r.plays("d3", streams(3, 4, nil))
		asked := r.ask(nil)
		if asked.body != texts(1, 4) || r.workersCalled() != "d1 d3 " {
			t.Fatalf("%+v after %s", asked, r.workersCalled())
		}
	})
}

// TestRequestOutlivesItsConfiguration puts a configuration without route and service in force while a request is in work.
func TestRequestOutlivesItsConfiguration(t *testing.T) {
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
		"while the prompt is read":  {configuration.Streaming, "p1>d1", hands("3fa0"), 503, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, r *rig) {
				r.route.Type = c.kind
				r.setRoute()
				r.chooser.offers(c.offers, "d2")
				r.plays(c.offers[:2], func(ctx context.Context, call *upstream.Request) (*Answer, *upstream.Failure) {
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

// TestWhatTheClientSaysOfItsPromptIsPassedOn sends odd values with a reading and a run; both carry them as they came.
func TestWhatTheClientSaysOfItsPromptIsPassedOn(t *testing.T) {
	said := http1.Header{
		{Name: "x-model", Value: "M-1:lora"}, {Name: "X-Model", Value: "second"},
		{Name: fieldTokenCount, Value: "1460,80,7"}, {Name: "X-PROMPT-prefix", Value: "not hex:x,5c1e07a2"},
		{Name: "Last-Event-Id", Value: "41"},
	}
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("p1>d1")
		r.plays("p1", hands("3fa0"))
		r.plays("d1", streams(42, 43, nil))
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
