package proxy

import (
	"net/http"
	"testing"
	"time"
)

func TestRequestsTakenByAProcessThatIsToEnd(t *testing.T) {
	told := time.Now()
	c := closing{told: told, end: told.Add(7300 * time.Millisecond)}
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
		if taken := c.takes(told.Add(at.now), told.Add(at.firstByte), at.held); taken != at.taken {
			t.Errorf("%+v: %v", at, taken)
		}
	}
}

// TestGraceThatIsShorterThanTheNotice holds a process with little time to the end of it.
func TestGraceThatIsShorterThanTheNotice(t *testing.T) {
	told := time.Now()
	c := closing{told: told, end: told.Add(time.Second)}
	if c.takes(told, told, 10*time.Second) || !c.takes(told, told, 900*time.Millisecond) {
		t.Fatal("a request is taken that is sure to be cut, or one refused that is not")
	}
}

// TestRequestLongAfterTheSignal asks a proxy that was told to end 3.5 s ago and goes on for 3.9 s, on a route of 4 s.
func TestRequestLongAfterTheSignal(t *testing.T) {
	s := newSystem(t)
	s.awaitReady()
	now := time.Now()
	s.proxy.closing.Store(&closing{told: now.Add(-3500 * time.Millisecond), end: now.Add(3900 * time.Millisecond)})
	if status, _, err := s.ask("/a/x"); status != http.StatusServiceUnavailable || err != nil {
		t.Fatal(status, err)
	}
	s.waits = "1500"
	s.mustAnswer("/a/x", 200, "POST /a/x "+requestBody)
	s.proxy.ending.Store(true)
	if status, _, err := s.ask("/a/x"); status != http.StatusServiceUnavailable || err != nil {
		t.Fatal(status, err)
	}
}

// TestReadinessTurnsWithTheSignal asks on a connection that got 200 before, right after the process was told to end, and while a
// request is in work.
func TestReadinessTurnsWithTheSignal(t *testing.T) {
	s := newSystem(t)
	s.awaitReady()
	answered := make(chan string, 1)
	go func() {
		_, body, _ := s.ask("/a/held")
		answered <- body
	}()
	<-s.worker.arrived
	drained := make(chan struct{})
	go func() {
		s.proxy.drain()
		close(drained)
	}()
	s.await("told to end", func() bool { return s.proxy.closing.Load() != nil })
	for range 4 {
		if status := s.readinessStatus(); status != http.StatusServiceUnavailable {
			t.Errorf("still ready: %d", status)
		}
	}
	close(s.worker.hold)
	<-answered
	<-drained
}
