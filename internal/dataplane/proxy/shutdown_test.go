package proxy

import (
	"net/http"
	"testing"
	"time"
)

func TestShutdown_accepts(t *testing.T) {
	signaledAt := time.Now()
	s := shutdown{signaledAt: signaledAt, deadline: signaledAt.Add(7300 * time.Millisecond)}
	for _, at := range []struct {
		firstByte, now, requestTimeout time.Duration
		wantAccepted                   bool
	}{
		{0, 0, 10 * time.Second, true},                                                    // sent early enough: it may be aborted at the end
		{2700 * time.Millisecond, 2700 * time.Millisecond, 10 * time.Second, true},        // the same
		{2900 * time.Millisecond, 2900 * time.Millisecond, 10 * time.Second, false},       // too late for that
		{2900 * time.Millisecond, 2900 * time.Millisecond, 4 * time.Second, true},         // it ends before the deadline
		{3400 * time.Millisecond, 3400 * time.Millisecond, 4 * time.Second, false},        // it may not end before
		{5 * time.Second, 5 * time.Second, 2 * time.Second, true},                         // it ends before the deadline
		{7200 * time.Millisecond, 7200 * time.Millisecond, 0, true},                       // it takes no time
		{2 * time.Second, 6 * time.Second, 10 * time.Second, false},                       // its body was received too late
		{2 * time.Second, 5700 * time.Millisecond, 10 * time.Second, true},                // just early enough
		{-time.Second, 100 * time.Millisecond, 10 * time.Second, true},                    // its first byte came before the signal
		{6500 * time.Millisecond, 6500 * time.Millisecond, 800 * time.Millisecond, true},  // it ends just in time
		{6500 * time.Millisecond, 6500 * time.Millisecond, 801 * time.Millisecond, false}, // just too late
	} {
		if accepted := s.accepts(signaledAt.Add(at.now), signaledAt.Add(at.firstByte), at.requestTimeout); accepted != at.wantAccepted {
			t.Errorf("%+v: %v", at, accepted)
		}
	}
}

// TestShutdown_accepts_graceShorterThanNotice checks a process with less grace than the notice takes.
func TestShutdown_accepts_graceShorterThanNotice(t *testing.T) {
	signaledAt := time.Now()
	s := shutdown{signaledAt: signaledAt, deadline: signaledAt.Add(time.Second)}
	if s.accepts(signaledAt, signaledAt, 10*time.Second) || !s.accepts(signaledAt, signaledAt, 900*time.Millisecond) {
		t.Fatal("accepted a request that cannot end in time, or rejected one that can")
	}
}

// TestProxy_accepts_longAfterSignal sends requests to a proxy 3.5 s after SIGTERM and 3.9 s before its deadline, on a
// route with a timeout of 4 s.
func TestProxy_accepts_longAfterSignal(t *testing.T) {
	s := newTestSystem(t)
	s.waitUntilReady()
	now := time.Now()
	s.proxy.shutdown.Store(&shutdown{signaledAt: now.Add(-3500 * time.Millisecond), deadline: now.Add(3900 * time.Millisecond)})
	if status, _, err := s.request("/a/x"); status != http.StatusServiceUnavailable || err != nil {
		t.Fatal(status, err)
	}
	s.deadlineHeader = "1500"
	s.requireResponse("/a/x", 200, "POST /a/x "+requestBody)
	s.proxy.rejectAll.Store(true)
	if status, _, err := s.request("/a/x"); status != http.StatusServiceUnavailable || err != nil {
		t.Fatal(status, err)
	}
}

// TestProxy_drain_notReadyAfterSignal asks on a connection that got 200 before, right after SIGTERM, and while a
// request is in flight.
func TestProxy_drain_notReadyAfterSignal(t *testing.T) {
	s := newTestSystem(t)
	s.waitUntilReady()
	answered := s.startPendingRequest()
	drained := s.startDrain()
	s.waitFor("shutdown", func() bool { return s.proxy.shutdown.Load() != nil })
	for range 4 {
		if status := s.readinessStatus(); status != http.StatusServiceUnavailable {
			t.Errorf("still ready: %d", status)
		}
	}
	close(s.worker.release)
	<-answered
	<-drained
}
