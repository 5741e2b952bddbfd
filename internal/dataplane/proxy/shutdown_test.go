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
		firstByte, now, held time.Duration
		taken                bool
	}{
		{0, 0, 10 * time.Second, true},                                                    // it may be cut at the end: it was sent early enough
		{2700 * time.Millisecond, 2700 * time.Millisecond, 10 * time.Second, true},        // the same
		{2900 * time.Millisecond, 2900 * time.Millisecond, 10 * time.Second, false},       // it may not
		{2900 * time.Millisecond, 2900 * time.Millisecond, 4 * time.Second, true},         // it ends before
		{3400 * time.Millisecond, 3400 * time.Millisecond, 4 * time.Second, false},        // it need not
		{5 * time.Second, 5 * time.Second, 2 * time.Second, true},                         // it ends before
		{7200 * time.Millisecond, 7200 * time.Millisecond, 0, true},                       // nothing is held of it
		{2 * time.Second, 6 * time.Second, 10 * time.Second, false},                       // its body took too long to come
		{2 * time.Second, 5700 * time.Millisecond, 10 * time.Second, true},                // not quite
		{-time.Second, 100 * time.Millisecond, 10 * time.Second, true},                    // it began to come before the signal
		{6500 * time.Millisecond, 6500 * time.Millisecond, 800 * time.Millisecond, true},  // it ends just in time
		{6500 * time.Millisecond, 6500 * time.Millisecond, 801 * time.Millisecond, false}, // and this one does not
	} {
		if accepted := s.accepts(signaledAt.Add(at.now), signaledAt.Add(at.firstByte), at.held); accepted != at.taken {
			t.Errorf("%+v: %v", at, accepted)
		}
	}
}

// TestShutdown_accepts_graceShorterThanNotice holds a process with little time to the end of it.
func TestShutdown_accepts_graceShorterThanNotice(t *testing.T) {
	signaledAt := time.Now()
	c := shutdown{signaledAt: signaledAt, deadline: signaledAt.Add(time.Second)}
	if c.accepts(signaledAt, signaledAt, 10*time.Second) || !c.accepts(signaledAt, signaledAt, 900*time.Millisecond) {
		t.Fatal("a request is taken that is sure to be cut, or one refused that is not")
	}
}

// TestProxy_accepts_longAfterSignal asks a proxy that was told to end 3.5 s ago and goes on for 3.9 s, on a route of 4 s.
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

// TestProxy_drain_notReadyAfterSignal asks on a connection that got 200 before, right after the process was told to end, and while a
// request is in work.
func TestProxy_drain_notReadyAfterSignal(t *testing.T) {
	s := newTestSystem(t)
	s.waitUntilReady()
	answered := make(chan string, 1)
	go func() {
		_, body, _ := s.request("/a/held")
		answered <- body
	}()
	<-s.worker.arrived
	drained := make(chan struct{})
	go func() {
		s.proxy.drain()
		close(drained)
	}()
	s.waitFor("told to end", func() bool { return s.proxy.shutdown.Load() != nil })
	for range 4 {
		if status := s.readinessStatus(); status != http.StatusServiceUnavailable {
			t.Errorf("still ready: %d", status)
		}
	}
	close(s.worker.release)
	<-answered
	<-drained
}
