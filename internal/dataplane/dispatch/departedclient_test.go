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
func TestDispatcher_Serve_noCallAfterClientLeft(t *testing.T) {
	const leavesIn = 300 * time.Millisecond
	cases := map[string]struct {
		script  script
		offers  []string
		calls   string
		deletes int
	}{
		"while a connection is established": {neverConnects, []string{"d1", "d2"}, "d1 ", 0},
		"before the first event":            {hangs(), []string{"d1", "d2"}, "d1 ", 0},
		"in a stream that hangs":            {streams(1, 3, hang), []string{"d1", "d2"}, "d1 ", 0},
		"between events":                    {streams(1, 100, nil), []string{"d1", "d2"}, "d1 ", 0},
		"during the prefill":                {hangs(), []string{"p1>d1", "p2>d2"}, "p1 ", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, r *testHarness) {
				r.route.Resumable = true
				r.setRoute()
				r.chooser.offers(c.offers...)
				r.script(c.offers[0][:2], c.script)
				r.defaultScript = func(string, *upstream.Request) script { return respondsWith(200, "there", signed) }
				asked := &recordingClient{r: r, cancelAfter: leavesIn}
				r.askAs(asked, nil)
				if asked.took != leavesIn || !asked.aborted || asked.finished {
					t.Errorf("aborted %v after %v, finished %v; want an abort after %v", asked.aborted, asked.took, asked.finished, leavesIn)
				}
				if r.workersCalled() != c.calls || len(r.deletes) != c.deletes {
					t.Errorf("called workers %q and freed %d handles, want %q and %d", r.workersCalled(), len(r.deletes), c.calls, c.deletes)
				}
				r.chooser.mustEnd(t, "abandoned")
			})
		})
	}
}

// TestDispatcher_Serve_noRunIfClientDisconnectsDuringPrefill disconnects the client immediately before the prefill response. No run may
// follow, and the handle must be freed.
func TestDispatcher_Serve_noRunAfterPrefillOfDepartedClient(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		ctx, leave := context.WithCancel(t.Context())
		r.chooser.offers("p1>d1", "d2")
		r.script("p1", func(ctx context.Context, call *upstream.Request) (*Response, *upstream.Failure) {
			leave()
			return givesHandle("3fa0")(ctx, call)
		})
		r.defaultScript = func(string, *upstream.Request) script { return respondsWith(200, "there", signed) }
		asked := r.ask(func(request *httpserver.Request) { request.Context = ctx })
		if !asked.aborted || asked.responses != 0 || r.workersCalled() != "p1 " {
			t.Fatalf("aborted %v with %d responses, called workers %q; want an abort without a response, and only p1 called",
				asked.aborted, asked.responses, r.workersCalled())
		}
		if len(r.deletes) != 1 || r.deletes[0].call.Target != kvHandlePath+"3fa0" {
			t.Fatalf("freed handles by %+v, want one call for handle 3fa0", r.deletes)
		}
	})
}

// TestDispatcher_Serve_noRetryAfterClientDisconnect fails a run at the moment when the client disconnects. It must not be retried.
func TestDispatcher_Serve_noRetryForDepartedClient(t *testing.T) {
	for name, kind := range map[string]configuration.RouteType{"idempotent": configuration.Idempotent, "stream": configuration.Streaming} {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, r *testHarness) {
				r.route.Type, r.route.Resumable = kind, true
				r.setRoute()
				ctx, leave := context.WithCancel(t.Context())
				r.chooser.offers("d1", "d2")
				r.script("d1", func(ctx context.Context, call *upstream.Request) (*Response, *upstream.Failure) {
					leave()
					return breaksConnection()(ctx, call)
				})
				r.defaultScript = func(string, *upstream.Request) script { return respondsWith(200, "there", signed) }
				r.ask(func(request *httpserver.Request) { request.Context = ctx })
				if r.workersCalled() != "d1 " {
					t.Fatalf("called workers %q, want %q", r.workersCalled(), "d1 ")
				}
			})
		})
	}
}

// TestDispatcher_Serve_disconnectedClientReachesNoWorker serves a request of a client that has already disconnected. No worker may be
// called.
func TestDispatcher_Serve_departedClientReachesNoWorker(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		ctx, leave := context.WithCancel(t.Context())
		leave()
		r.chooser.offers("p1>d1", "d2")
		r.defaultScript = func(string, *upstream.Request) script { return respondsWith(200, "there", signed) }
		asked := r.ask(func(request *httpserver.Request) { request.Context = ctx })
		if !asked.aborted || len(r.calls) != 0 {
			t.Fatalf("aborted %v, called workers %q; want an abort without a call", asked.aborted, r.workersCalled())
		}
	})
}
