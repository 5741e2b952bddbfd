package proxy

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"ospreybend/internal/dataplane/httpserver"
)

// drained plays a drain on the fake clock; counts tells what the front has at a time since its start.
func drained(t *testing.T, limit time.Duration, counts func(time.Duration) httpserver.Counts) (quiet bool, took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		started := time.Now()
		quiet = awaitQuiet(ctx, func() httpserver.Counts { return counts(time.Since(started)) })
		took = time.Since(started)
	})
	return quiet, took
}

func TestDrainWaitsUntilThePlatformHasNoticed(t *testing.T) {
	quiet, took := drained(t, 7*time.Second, func(time.Duration) httpserver.Counts { return httpserver.Counts{} })
	if !quiet || took != noticeTime {
		t.Fatalf("%v after %v", quiet, took)
	}
}

func TestDrainWaitsForRequestsInWork(t *testing.T) {
	quiet, took := drained(t, 7*time.Second, func(at time.Duration) httpserver.Counts {
		if at < 4*time.Second {
			return httpserver.Counts{InWork: 1}
		}
		return httpserver.Counts{}
	})
	if !quiet || took != 4*time.Second {
		t.Fatalf("%v after %v", quiet, took)
	}
}

func TestDrainWaitsWhileConnectionsCome(t *testing.T) {
	quiet, took := drained(t, 7*time.Second, func(at time.Duration) httpserver.Counts {
		return httpserver.Counts{Accepted: int64(min(at, 3*time.Second) / (200 * time.Millisecond))}
	})
	if !quiet || took != 3500*time.Millisecond {
		t.Fatalf("%v after %v", quiet, took)
	}
}

func TestDrainEndsBeforeTheGraceIsOver(t *testing.T) {
	quiet, took := drained(t, 7*time.Second, func(time.Duration) httpserver.Counts { return httpserver.Counts{InWork: 1} })
	if quiet || took != 7*time.Second {
		t.Fatalf("%v after %v", quiet, took)
	}
}

// TestDrainTakesLateOnlyWhatEndsInTime: what comes 3 s after SIGTERM or later must have its whole answer.
func TestDrainTakesLateOnlyWhatEndsInTime(t *testing.T) {
	const grace = 7300 * time.Millisecond
	told := time.Now()
	span := closing{told: told, end: told.Add(grace)}
	for _, c := range []struct {
		since, wait time.Duration
		takes       bool
	}{
		{0, time.Hour, true},
		{2700 * time.Millisecond, 10 * time.Second, true},
		{3 * time.Second, 10 * time.Second, false},
		{3 * time.Second, 4 * time.Second, true},
		{4728 * time.Millisecond, 2500 * time.Millisecond, true},
		{4728 * time.Millisecond, 2600 * time.Millisecond, false},
		{grace, time.Millisecond, false},
	} {
		at := told.Add(c.since)
		if got := span.takes(at, at, c.wait); got != c.takes {
			t.Errorf("%v after SIGTERM, a client that waits %v: taken %v", c.since, c.wait, got)
		}
	}
}

// TestDrainingProxyRefusesWhatMayOutlastIt asks a proxy that drains for 4 s already.
func TestDrainingProxyRefusesWhatMayOutlastIt(t *testing.T) {
	s := newSystem(t)
	s.awaitReady()
	now := time.Now()
	s.proxy.closing.Store(&closing{told: now.Add(-4 * time.Second), end: now.Add(3 * time.Second)})
	if status, _, err := s.ask("/a/x"); status != 503 || err != nil {
		t.Fatal(status, err)
	}
}
