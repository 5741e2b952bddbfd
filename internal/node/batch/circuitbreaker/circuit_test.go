package circuitbreaker

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// The circuit opens after StallTime without progress, while calls are in flight.
func TestBreaker_stalled(t *testing.T) {
	c := New(Config{StallTime: 500 * ms, RetryInterval: time.Second})
	admits := func(now time.Duration) bool { _, ok := c.Admit(now); return ok }
	c.CallBegan(0)
	if !admits(500*ms) || admits(501*ms) || c.State(501*ms) != Stalled {
		t.Errorf("%s after 501 ms without progress, want %s; submissions must be admitted until 500 ms", c.State(501*ms), Stalled)
	}
	c.CallBegan(600 * ms)
	c.CallEnded(5000*ms, false) // progress, although another call is still in flight
	if !admits(5400*ms) || admits(5501*ms) {
		t.Error("after progress at 5000 ms, want submissions admitted at 5400 ms and rejected at 5501 ms")
	}
	c.CallEnded(6000*ms, false)
	if !admits(time.Hour) || c.State(time.Hour) != Healthy {
		t.Errorf("idle store: got state %s, want %s and submissions admitted", c.State(time.Hour), Healthy)
	}
	if c.Rejected() != 2 {
		t.Errorf("counted %d rejected submissions, want 2", c.Rejected())
	}
}

// After a failed call the circuit admits one trial per RetryInterval, and a successful call closes it.
func TestBreaker_failing(t *testing.T) {
	c := New(Config{StallTime: 500 * ms, RetryInterval: time.Second})
	c.CallBegan(0)
	c.CallEnded(10*ms, true)
	if after, ok := c.Admit(20 * ms); ok || after != time.Second || c.State(20*ms) != Failing {
		t.Errorf("after a failed call: admitted %v, retry after %v, state %s; want false, 1s, %s", ok, after, c.State(20*ms), Failing)
	}
	// One submission per RetryInterval is admitted as a trial, and no other in between.
	trials := 0
	for now := 20 * ms; now < 10*time.Second; now += 10 * ms {
		if _, ok := c.Admit(now); ok {
			trials++
			c.CallBegan(now)
			c.CallEnded(now+5*ms, true)
		}
	}
	if trials < 8 || trials > 10 {
		t.Errorf("%d submissions admitted in 10 s, want 8 to 10", trials)
	}
	// A successful call closes the circuit.
	c.CallBegan(11 * time.Second)
	c.CallEnded(11*time.Second, false)
	if _, ok := c.Admit(11 * time.Second); !ok {
		t.Error("submission rejected after a successful call")
	}
}
