package proxy

import (
	"net/http"
	"testing"
	"time"
)

func TestShutdownPolicy_accepts(t *testing.T) {
	signaledAt := time.Now()
	s := shutdownPolicy{signaledAt: signaledAt, deadline: signaledAt.Add(7300 * time.Millisecond)}
	for _, c := range []struct {
		firstByte, now, requestTimeout time.Duration
		wantAccepted                   bool
	}{
		{0, 0, 10 * time.Second, true},                                                    // early enough: it may be aborted at the end
		{2700 * time.Millisecond, 2700 * time.Millisecond, 10 * time.Second, true},        // the same
		{2900 * time.Millisecond, 2900 * time.Millisecond, 10 * time.Second, false},       // too late to be aborted at the end
		{2900 * time.Millisecond, 2900 * time.Millisecond, 4 * time.Second, true},         // it ends before the deadline
		{3400 * time.Millisecond, 3400 * time.Millisecond, 4 * time.Second, false},        // it may not end before the deadline
		{5 * time.Second, 5 * time.Second, 2 * time.Second, true},                         // it ends before the deadline
		{7200 * time.Millisecond, 7200 * time.Millisecond, 0, true},                       // it takes no time
		{2 * time.Second, 6 * time.Second, 10 * time.Second, false},                       // its body arrived within the final window
		{2 * time.Second, 5700 * time.Millisecond, 10 * time.Second, true},                // its body arrived just before the final window
		{-time.Second, 100 * time.Millisecond, 10 * time.Second, true},                    // its first byte arrived before the signal
		{6500 * time.Millisecond, 6500 * time.Millisecond, 800 * time.Millisecond, true},  // it ends exactly at the deadline
		{6500 * time.Millisecond, 6500 * time.Millisecond, 801 * time.Millisecond, false}, // it may end just after the deadline
	} {
		if accepted := s.accepts(signaledAt.Add(c.now), signaledAt.Add(c.firstByte), c.requestTimeout); accepted != c.wantAccepted {
			t.Errorf("first byte %v after SIGTERM, accepted or rejected after %v, timeout %v: accepted %v, want %v",
				c.firstByte, c.now, c.requestTimeout, accepted, c.wantAccepted)
		}
	}
}

// TestShutdownPolicy_accepts_graceShorterThanNotice checks a grace period that is shorter than platformNoticeTime.
func TestShutdownPolicy_accepts_graceShorterThanNotice(t *testing.T) {
	signaledAt := time.Now()
	s := shutdownPolicy{signaledAt: signaledAt, deadline: signaledAt.Add(time.Second)}
	if s.accepts(signaledAt, signaledAt, 10*time.Second) || !s.accepts(signaledAt, signaledAt, 900*time.Millisecond) {
		t.Fatal("a request that may not end in time was accepted, or one that will was rejected")
	}
}

// TestProxy_accepts_longAfterSignal sends requests 3.5 s after SIGTERM and 3.9 s before the deadline, on a route with a timeout of 4 s.
// A request is accepted only if a client deadline makes it end in time.
func TestProxy_accepts_longAfterSignal(t *testing.T) {
	s := newTestSystem(t)
	s.waitUntilReady()
	now := time.Now()
	s.proxy.shutdown.Store(&shutdownPolicy{signaledAt: now.Add(-3500 * time.Millisecond), deadline: now.Add(3900 * time.Millisecond)})
	if status, _, err := s.request("/a/x"); status != http.StatusServiceUnavailable || err != nil {
		t.Fatalf("a request with a timeout of 4 s: got status %d and error %v, want %d", status, err, http.StatusServiceUnavailable)
	}
	s.deadlineHeader = "1500"
	s.requireResponse("/a/x", 200, "POST /a/x "+requestBody)
	s.proxy.rejectAll.Store(true)
	if status, _, err := s.request("/a/x"); status != http.StatusServiceUnavailable || err != nil {
		t.Fatalf("a request after rejectAll was set: got status %d and error %v, want %d", status, err, http.StatusServiceUnavailable)
	}
}

// TestProxy_drain_notReadyAfterSignal checks that readiness checks fail right after SIGTERM while a request is in flight, also on a
// connection on which an earlier check succeeded.
func TestProxy_drain_notReadyAfterSignal(t *testing.T) {
	s := newTestSystem(t)
	s.waitUntilReady()
	answered := s.startPendingRequest()
	drained := s.startDrain()
	s.waitFor("the shutdown to begin", func() bool { return s.proxy.shutdown.Load() != nil })
	for range 4 {
		if status := s.readinessStatus(); status != http.StatusServiceUnavailable {
			t.Errorf("readiness check after SIGTERM: got status %d, want %d", status, http.StatusServiceUnavailable)
		}
	}
	close(s.worker.release)
	<-answered
	<-drained
}
