package circuitbreaker

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func TestStalls(t *testing.T) {
	c := New(Config{Slow: 500 * ms, Again: time.Second})
	admits := func(now time.Duration) bool { _, ok := c.Admit(now); return ok }
	c.Began(0)
	if !admits(500*ms) || admits(501*ms) || c.State(501*ms) != Stalled {
		t.Errorf("%s at 501 ms without progress", c.State(501*ms))
	}
	c.Began(600 * ms)
	c.Ended(5000*ms, false) // progress, though one still waits
	if !admits(5400*ms) || admits(5501*ms) {
		t.Error("progress is not seen, or for ever")
	}
	c.Ended(6000*ms, false)
	if !admits(time.Hour) || c.State(time.Hour) != Well {
		t.Error("a store with nothing to do is not well")
	}
	if c.Turned() != 2 {
		t.Errorf("%d turned away", c.Turned())
	}
}

func TestFails(t *testing.T) {
	c := New(Config{Slow: 500 * ms, Again: time.Second})
	c.Began(0)
	c.Ended(10*ms, true)
	if after, ok := c.Admit(20 * ms); ok || after != time.Second || c.State(20*ms) != Failing {
		t.Errorf("admitted %v, %v", ok, after)
	}
	// One after each pause tries it, and no other meanwhile.
	tries := 0
	for now := 20 * ms; now < 10*time.Second; now += 10 * ms {
		if _, ok := c.Admit(now); ok {
			tries++
			c.Began(now)
			c.Ended(now+5*ms, true)
		}
	}
	if tries < 8 || tries > 10 {
		t.Errorf("%d tries in 10 s", tries)
	}
	// Another call's success closes it.
	c.Began(11 * time.Second)
	c.Ended(11*time.Second, false)
	if _, ok := c.Admit(11 * time.Second); !ok {
		t.Error("still open")
	}
}
