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
	const routeTimeout = 1500 * time.Millisecond
	cases := map[string]struct {
		kind    configuration.RouteType
		choices []string
		script  script
		status  int // 0: aborted
	}{
		"a connection is not established": {configuration.Streaming, []string{"d1"}, neverConnect, 503},
		"a prefill hangs":                 {configuration.Streaming, []string{"p1>d1"}, hangUntilCanceled(), 503},
		"no first event comes":            {configuration.Streaming, []string{"d1"}, hangUntilCanceled(), 504},
		"no response":                     {configuration.NonIdempotent, []string{"d1"}, hangUntilCanceled(), 504},
		"a late response":                 {configuration.Idempotent, []string{"d1"}, delayed(routeTimeout+time.Millisecond, respondWith(200, "late", signedFields)), 504},
		"a stream stops":                  {configuration.Streaming, []string{"d1"}, streamEvents(1, 3, stalled), 0},
		"a stream goes on":                {configuration.Streaming, []string{"d1"}, streamEvents(1, 1000, nil), 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, h *testHarness) {
				h.route.Type, h.route.Timeout = c.kind, routeTimeout
				h.setRoute()
				for h.dispatcher.shared.spendBudget(testService, 1) {
				}
				h.chooser.addChoices(c.choices...)
				h.addScripts(c.choices[0][:2], c.script)
				client := h.send(func(request *httpserver.Request) { request.Header = request.Header.Without(fieldRequestDeadline) })
				if client.duration < routeTimeout-time.Millisecond || client.duration > routeTimeout+time.Millisecond {
					t.Errorf("the request took %v, want %v", client.duration, routeTimeout)
				}
				if client.writeDeadline-client.sentAt != routeTimeout {
					t.Errorf("the write timeout is %v, want %v", client.writeDeadline-client.sentAt, routeTimeout)
				}
				if c.status == 0 && !client.aborted || c.status > 0 && client.status != c.status {
					t.Errorf("status %d, aborted %v; want status %d, or an abort if that is 0", client.status, client.aborted, c.status)
				}
			})
		})
	}
}

// TestDispatcher_Serve_receiveTimeCountsTowardsDeadline sends a request that took a second to receive. Its remaining time must be a second
// shorter.
func TestDispatcher_Serve_receiveTimeCountsTowardsDeadline(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("d1")
		h.addScripts("d1", hangUntilCanceled())
		client := h.send(func(request *httpserver.Request) {
			request.ReadAt = time.Now()
			request.FirstByteAt = request.ReadAt.Add(-time.Second)
		})
		if client.duration != 2*time.Second || h.calls[0].field(fieldRequestDeadline) != "2000" {
			t.Fatalf("the request took %v with deadline field %s, want 2s with 2000", client.duration, h.calls[0].field(fieldRequestDeadline))
		}
	})
}

// TestDispatcher_Serve_laterCallsGetRemainingTime checks the deadlines of the calls of a request with two prefills, a run and a run
// that resumes its stream.
func TestDispatcher_Serve_laterCallsGetRemainingTime(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.route.Resumable, h.route.MaxAttempts = true, 4
		h.setRoute()
		h.chooser.addChoices("p1>d1", "p2>d1", "d2")
		h.addScripts("p1", delayed(100*time.Millisecond, breakConnection()))
		h.addScripts("p2", delayed(100*time.Millisecond, respondWithHandle("3fa0")))
		h.addScripts("d1", delayed(100*time.Millisecond, streamEvents(1, 3, truncated)))
		h.addScripts("d2", streamEvents(4, 6, nil))
		client := h.send(nil)
		if client.body != eventTexts(1, 6) || !client.finished || h.workersCalled() != "p1 p2 d1 d2 " {
			t.Fatalf("finished %v with body %q, called workers %q; want events 1 to 6 from %q",
				client.finished, client.body, h.workersCalled(), "p1 p2 d1 d2 ")
		}
		for i, want := range []string{"3000", "2900", "2800", "2670"} {
			if got := h.calls[i].field(fieldRequestDeadline); got != want {
				t.Errorf("the deadline field of call %d is %s, want %s", i+1, got, want)
			}
		}
	})
}

// TestDispatcher_TimeLimit_ofRouteAndClient checks the time limits with and without X-Request-Deadline, and without a route.
func TestDispatcher_TimeLimit_ofRouteAndClient(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		var limits []time.Duration
		recordLimit := func(request *httpserver.Request) { limits = append(limits, h.dispatcher.TimeLimit(request)) }
		h.defaultScript = func(string, *upstream.Request) script { return respondWith(200, "complete", signedFields) }
		h.send(recordLimit)
		h.send(func(request *httpserver.Request) {
			request.Header = request.Header.Without(fieldRequestDeadline)
			recordLimit(request)
		})
		h.send(func(request *httpserver.Request) {
			request.Path = "/none/"
			recordLimit(request)
		})
		if limits[0] != 3*time.Second || limits[1] != 4*time.Second || limits[2] != 0 {
			t.Fatalf("the time limits are %v, want [3s 4s 0s]", limits)
		}
	})
}
