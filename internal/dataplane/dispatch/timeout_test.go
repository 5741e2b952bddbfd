package dispatch

import (
	"testing"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/dataplane/upstream"
)

// TestDispatcher_Serve_respondsWithinRouteTimeout makes a request without X-Request-Deadline hang at each stage. It must end at the route's
// timeout.
func TestDispatcher_Serve_respondsWithinRouteTimeout(t *testing.T) {
	const routesTime = 1500 * time.Millisecond
	cases := map[string]struct {
		kind   configuration.RouteType
		offers []string
		plays  script
		status int // 0: aborted
	}{
		"a connection is not established": {configuration.Streaming, []string{"d1"}, neverConnects, 503},
		"a prefill hangs":                 {configuration.Streaming, []string{"p1>d1"}, hangs(), 503},
		"no first event comes":            {configuration.Streaming, []string{"d1"}, hangs(), 504},
		"no response":                     {configuration.NonIdempotent, []string{"d1"}, hangs(), 504},
		"a late response":                 {configuration.Idempotent, []string{"d1"}, after(routesTime+time.Millisecond, respondsWith(200, "late", signed)), 504},
		"a stream stops":                  {configuration.Streaming, []string{"d1"}, streams(1, 3, hang), 0},
		"a stream goes on":                {configuration.Streaming, []string{"d1"}, streams(1, 1000, nil), 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, r *testHarness) {
				r.route.Type, r.route.Timeout = c.kind, routesTime
				r.setRoute()
				for r.dispatcher.shared.spendBudget(testService, 1) {
				}
				r.chooser.offers(c.offers...)
				r.script(c.offers[0][:2], c.plays)
				asked := r.ask(func(request *httpserver.Request) { request.Header = request.Header.Without(fieldRequestDeadline) })
				if asked.took < routesTime-time.Millisecond || asked.took > routesTime+time.Millisecond {
					t.Errorf("the request took %v, want %v", asked.took, routesTime)
				}
				if asked.endBy-asked.sentAt != routesTime {
					t.Errorf("the write timeout is %v, want %v", asked.endBy-asked.sentAt, routesTime)
				}
				if c.status == 0 && !asked.aborted || c.status > 0 && asked.status != c.status {
					t.Errorf("status %d, aborted %v; want status %d, or an abort if that is 0", asked.status, asked.aborted, c.status)
				}
			})
		})
	}
}

// TestDispatcher_Serve_receiveTimeCountsTowardsDeadline sends a request that took a second to receive. Its remaining time must be a second
// shorter.
func TestDispatcher_Serve_receiveTimeCounts(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("d1")
		r.script("d1", hangs())
		asked := r.ask(func(request *httpserver.Request) {
			request.ReadAt = time.Now()
			request.FirstByteAt = request.ReadAt.Add(-time.Second)
		})
		if asked.took != 2*time.Second || r.calls[0].field(fieldRequestDeadline) != "2000" {
			t.Fatalf("the request took %v with deadline field %s, want 2s with 2000", asked.took, r.calls[0].field(fieldRequestDeadline))
		}
	})
}

// TestDispatcher_Serve_laterCallsGetRemainingTime checks the deadlines of the calls of a request with two prefills, a run and a run
// that resumes its stream.
func TestDispatcher_Serve_laterCallsGetRemainingTime(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.route.Resumable, r.route.MaxAttempts = true, 4
		r.setRoute()
		r.chooser.offers("p1>d1", "p2>d1", "d2")
		r.script("p1", after(100*time.Millisecond, breaksConnection()))
		r.script("p2", after(100*time.Millisecond, givesHandle("3fa0")))
		r.script("d1", after(100*time.Millisecond, streams(1, 3, cut)))
		r.script("d2", streams(4, 6, nil))
		asked := r.ask(nil)
		if asked.body != texts(1, 6) || !asked.finished || r.workersCalled() != "p1 p2 d1 d2 " {
			t.Fatalf("finished %v with body %q, called workers %q; want events 1 to 6 from %q", asked.finished, asked.body, r.workersCalled(), "p1 p2 d1 d2 ")
		}
		for i, want := range []string{"3000", "2900", "2800", "2670"} {
			if got := r.calls[i].field(fieldRequestDeadline); got != want {
				t.Errorf("the deadline field of call %d is %s, want %s", i+1, got, want)
			}
		}
	})
}

// TestDispatcher_TimeLimit_ofRouteAndClient checks the time limits with and without X-Request-Deadline, and without a route.
func TestDispatcher_TimeLimit_ofRouteAndClient(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		var limits []time.Duration
		note := func(request *httpserver.Request) { limits = append(limits, r.dispatcher.TimeLimit(request)) }
		r.defaultScript = func(string, *upstream.Request) script { return respondsWith(200, "there", signed) }
		r.ask(note)
		r.ask(func(request *httpserver.Request) {
			request.Header = request.Header.Without(fieldRequestDeadline)
			note(request)
		})
		r.ask(func(request *httpserver.Request) {
			request.Path = "/none/"
			note(request)
		})
		if limits[0] != 3*time.Second || limits[1] != 4*time.Second || limits[2] != 0 {
			t.Fatalf("the time limits are %v, want [3s 4s 0s]", limits)
		}
	})
}
