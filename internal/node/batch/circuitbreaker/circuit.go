// Package circuitbreaker tells from the calls of the store of record whether it answers,
// so that new work is turned away at once while it does not. It does no I/O and
// takes the clock as an argument.
//
// The calls are served one after the other, so that progress is one call's end: a
// store that has calls to serve and has made none for a while is stalled. One whose
// last call failed is failing, and one submission after each pause tries it, as
// long as nothing else does. Any call that succeeds closes the circuit: the calls
// that must not be dropped, as those that record results, go on throughout and are
// the probes.
package circuitbreaker

import "time"

// Config is what a circuit is told.
type Config struct {
	StallTime     time.Duration // without progress for longer the store is stalled
	RetryInterval time.Duration // between two tries of a failing one
}

// State is a circuit's state, as it is shown.
type State string

// The states.
const (
	Healthy State = "well"
	Stalled State = "stalled" // calls wait and none ends
	Failing State = "failing" // the last call failed
)

// Circuit is for one goroutine.
type Circuit struct {
	config       Config
	inFlight     int           // calls not ended
	lastProgress time.Duration // the last call's end, or the first one's beginning after none was out
	failing      bool
	lastTrial    time.Duration
	rejected     uint64
}

// New makes a closed circuit.
func New(c Config) *Circuit { return &Circuit{config: c} }

// CallBegan tells of a call handed to the store.
func (c *Circuit) CallBegan(now time.Duration) {
	if c.inFlight == 0 {
		c.lastProgress = now
	}
	c.inFlight++
}

// CallEnded tells of a call's end.
func (c *Circuit) CallEnded(now time.Duration, failed bool) {
	c.inFlight--
	c.lastProgress = now
	c.failing = failed
	if failed {
		c.lastTrial = now
	}
}

// State returns the state.
func (c *Circuit) State(now time.Duration) State {
	switch {
	case c.inFlight > 0 && now-c.lastProgress > c.config.StallTime:
		return Stalled
	case c.failing:
		return Failing
	}
	return Healthy
}

// Admit tells whether new work may be taken, and where not when to return.
func (c *Circuit) Admit(now time.Duration) (after time.Duration, ok bool) {
	switch c.State(now) {
	case Healthy:
		return 0, true
	case Failing:
		if c.inFlight == 0 && now-c.lastTrial >= c.config.RetryInterval {
			c.lastTrial = now // this one tries it
			return 0, true
		}
	}
	c.rejected++
	return c.config.RetryInterval, false
}

// CountRejected counts work that had been admitted and was turned away after all.
func (c *Circuit) CountRejected() { c.rejected++ }

// InFlight returns the number of calls that have not ended.
func (c *Circuit) InFlight() int { return c.inFlight }

// Rejected returns how much work was turned away.
func (c *Circuit) Rejected() uint64 { return c.rejected }
