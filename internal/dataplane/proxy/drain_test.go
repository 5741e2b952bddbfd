package proxy

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"ospreybend/internal/dataplane/httpserver"
)

// drainLimit is how long waitUntilQuiet may wait in these tests.
const drainLimit = 7 * time.Second

// runWaitUntilQuiet runs waitUntilQuiet on a fake clock, for a server whose counters depend on the time since the start. It returns
// the result of waitUntilQuiet and the time that it took.
func runWaitUntilQuiet(t *testing.T, counts func(time.Duration) httpserver.Counts) (quiet bool, elapsed time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), drainLimit)
		defer cancel()
		started := time.Now()
		quiet = waitUntilQuiet(ctx, func() httpserver.Counts { return counts(time.Since(started)) })
		elapsed = time.Since(started)
	})
	return quiet, elapsed
}

func TestWaitUntilQuiet_platformNoticeTime(t *testing.T) {
	quiet, elapsed := runWaitUntilQuiet(t, func(time.Duration) httpserver.Counts { return httpserver.Counts{} })
	if !quiet || elapsed != platformNoticeTime {
		t.Fatalf("an idle server: quiet %v after %v, want true after %v", quiet, elapsed, platformNoticeTime)
	}
}

func TestWaitUntilQuiet_requestsInFlight(t *testing.T) {
	quiet, elapsed := runWaitUntilQuiet(t, func(at time.Duration) httpserver.Counts {
		if at < 4*time.Second {
			return httpserver.Counts{InFlight: 1}
		}
		return httpserver.Counts{}
	})
	if !quiet || elapsed != 4*time.Second {
		t.Fatalf("a request in flight for 4 s: quiet %v after %v, want true after 4 s", quiet, elapsed)
	}
}

func TestWaitUntilQuiet_newConnections(t *testing.T) {
	quiet, elapsed := runWaitUntilQuiet(t, func(at time.Duration) httpserver.Counts {
		return httpserver.Counts{Accepted: int64(min(at, 3*time.Second) / (200 * time.Millisecond))}
	})
	if !quiet || elapsed != 3500*time.Millisecond {
		t.Fatalf("new connections for 3 s: quiet %v after %v, want true after 3.5 s", quiet, elapsed)
	}
}

func TestWaitUntilQuiet_contextEnds(t *testing.T) {
	quiet, elapsed := runWaitUntilQuiet(t, func(time.Duration) httpserver.Counts { return httpserver.Counts{InFlight: 1} })
	if quiet || elapsed != drainLimit {
		t.Fatalf("a request that does not end: quiet %v after %v, want false after %v", quiet, elapsed, drainLimit)
	}
}

// TestShutdownPolicy_accepts_onlyWhatEndsInTime checks that a request which arrives 3 s after SIGTERM or later is accepted only
// if there is time for its complete response.
func TestShutdownPolicy_accepts_onlyWhatEndsInTime(t *testing.T) {
	const grace = 7300 * time.Millisecond
	signaledAt := time.Now()
	s := shutdownPolicy{signaledAt: signaledAt, deadline: signaledAt.Add(grace)}
	for _, c := range []struct {
		sinceSignal, requestTimeout time.Duration
		wantAccepted                bool
	}{
		{0, time.Hour, true},
		{2700 * time.Millisecond, 10 * time.Second, true},
		{3 * time.Second, 10 * time.Second, false},
		{3 * time.Second, 4 * time.Second, true},
		{4728 * time.Millisecond, 2500 * time.Millisecond, true},
		{4728 * time.Millisecond, 2600 * time.Millisecond, false},
		{grace, time.Millisecond, false},
	} {
		at := signaledAt.Add(c.sinceSignal)
		if got := s.accepts(at, at, c.requestTimeout); got != c.wantAccepted {
			t.Errorf("a request %v after SIGTERM with a timeout of %v: accepted %v, want %v", c.sinceSignal, c.requestTimeout, got, c.wantAccepted)
		}
	}
}

// TestProxy_drain_rejectsWhatMayOutlastIt sends a request with a timeout of 4 s to a proxy that has been draining for 4 s and has
// 3 s left until its deadline.
func TestProxy_drain_rejectsWhatMayOutlastIt(t *testing.T) {
	s := newTestSystem(t)
	s.waitUntilReady()
	now := time.Now()
	s.proxy.shutdown.Store(&shutdownPolicy{signaledAt: now.Add(-4 * time.Second), deadline: now.Add(3 * time.Second)})
	if status, _, err := s.request("/a/x"); status != 503 || err != nil {
		t.Fatalf("a request that may outlast the drain: got status %d and error %v, want 503", status, err)
	}
}
