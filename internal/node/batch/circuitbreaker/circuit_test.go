package circuitbreaker

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func TestCircuit_stalled(t *testing.T) {
	c := New(Config{StallTime: 500 * ms, RetryInterval: time.Second})
	admits := func(now time.Duration) bool { _, ok := c.Admit(now); return ok }
	c.CallBegan(0)
	if !admits(500*ms) || admits(501*ms) || c.State(501*ms) != Stalled {
		t.Errorf("%s at 501 ms without progress", c.State(501*ms))
	}
	c.CallBegan(600 * ms)
	c.CallEnded(5000*ms, false) // progress, though one still waits
	if !admits(5400*ms) || admits(5501*ms) {
		t.Error("progress is not seen, or for ever")
	}
	c.CallEnded(6000*ms, false)
	if !admits(time.Hour) || c.State(time.Hour) != Healthy {
		t.Error("a store with nothing to do is not well")
	}
	if c.Rejected() != 2 {
		t.Errorf("%d turned away", c.Rejected())
	}
}

func TestCircuit_failing(t *testing.T) {
	c := New(Config{StallTime: 500 * ms, RetryInterval: time.Second})
	c.CallBegan(0)
	c.CallEnded(10*ms, true)
	if after, ok := c.Admit(20 * ms); ok || after != time.Second || c.State(20*ms) != Failing {
		t.Errorf("admitted %v, %v", ok, after)
	}
	// One submission per RetryInterval is the trial, and no other meanwhile.
	tries := 0
	for now := 20 * ms; now < 10*time.Second; now += 10 * ms {
		if _, ok := c.Admit(now); ok {
			tries++
			c.CallBegan(now)
			c.CallEnded(now+5*ms, true)
		}
	}
	if tries < 8 || tries > 10 {
		t.Errorf("%d tries in 10 s", tries)
	}
	// Another call's success closes it.
	c.CallBegan(11 * time.Second)
	c.CallEnded(11*time.Second, false)
	if _, ok := c.Admit(11 * time.Second); !ok {
		t.Error("still open")
	}
}
