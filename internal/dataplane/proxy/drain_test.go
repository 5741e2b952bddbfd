package proxy

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"ospreybend/internal/dataplane/httpserver"
)

// drainLimit is the time that a drain may take in the tests.
const drainLimit = 7 * time.Second

// runDrain waits on the fake clock until a server is quiet; counts returns the server's counters by the time since the start.
func runDrain(t *testing.T, counts func(time.Duration) httpserver.Counts) (quiet bool, took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), drainLimit)
		defer cancel()
		started := time.Now()
		quiet = waitUntilQuiet(ctx, func() httpserver.Counts { return counts(time.Since(started)) })
		took = time.Since(started)
	})
	return quiet, took
}

func TestWaitUntilQuiet_platformNoticeTime(t *testing.T) {
	quiet, took := runDrain(t, func(time.Duration) httpserver.Counts { return httpserver.Counts{} })
	if !quiet || took != platformNoticeTime {
		t.Fatalf("%v after %v", quiet, took)
	}
}

func TestWaitUntilQuiet_requestsInFlight(t *testing.T) {
	quiet, took := runDrain(t, func(at time.Duration) httpserver.Counts {
		if at < 4*time.Second {
			return httpserver.Counts{InFlight: 1}
		}
		return httpserver.Counts{}
	})
	if !quiet || took != 4*time.Second {
		t.Fatalf("%v after %v", quiet, took)
	}
}

func TestWaitUntilQuiet_newConnections(t *testing.T) {
	quiet, took := runDrain(t, func(at time.Duration) httpserver.Counts {
		return httpserver.Counts{Accepted: int64(min(at, 3*time.Second) / (200 * time.Millisecond))}
	})
	if !quiet || took != 3500*time.Millisecond {
		t.Fatalf("%v after %v", quiet, took)
	}
}

func TestWaitUntilQuiet_contextEnds(t *testing.T) {
	quiet, took := runDrain(t, func(time.Duration) httpserver.Counts { return httpserver.Counts{InFlight: 1} })
	if quiet || took != drainLimit {
		t.Fatalf("%v after %v", quiet, took)
	}
}

// TestShutdown_accepts_onlyWhatEndsInTime checks that a request accepted 3 s after SIGTERM or later has time for its complete response.
func TestShutdown_accepts_onlyWhatEndsInTime(t *testing.T) {
	const grace = 7300 * time.Millisecond
	signaledAt := time.Now()
	s := shutdown{signaledAt: signaledAt, deadline: signaledAt.Add(grace)}
	for _, c := range []struct {
		since, wait time.Duration
		accepted    bool
	}{
		{0, time.Hour, true},
		{2700 * time.Millisecond, 10 * time.Second, true},
		{3 * time.Second, 10 * time.Second, false},
		{3 * time.Second, 4 * time.Second, true},
		{4728 * time.Millisecond, 2500 * time.Millisecond, true},
		{4728 * time.Millisecond, 2600 * time.Millisecond, false},
		{grace, time.Millisecond, false},
	} {
		at := signaledAt.Add(c.since)
		if got := s.accepts(at, at, c.wait); got != c.accepted {
			t.Errorf("%v after SIGTERM, a client that waits %v: accepted %v", c.since, c.wait, got)
		}
	}
}

// TestProxy_drain_rejectsWhatMayOutlastIt sends a request to a proxy that has been draining for 4 s.
func TestProxy_drain_rejectsWhatMayOutlastIt(t *testing.T) {
	s := newTestSystem(t)
	s.waitUntilReady()
	now := time.Now()
	s.proxy.shutdown.Store(&shutdown{signaledAt: now.Add(-4 * time.Second), deadline: now.Add(3 * time.Second)})
	if status, _, err := s.request("/a/x"); status != 503 || err != nil {
		t.Fatal(status, err)
	}
}
