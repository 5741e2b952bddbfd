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
	Slow  time.Duration // without progress for longer the store is stalled
	Again time.Duration // between two tries of a failing one
}

// State is a circuit's state, as it is shown.
type State string

// The states.
const (
	Well    State = "well"
	Stalled State = "stalled" // calls wait and none ends
	Failing State = "failing" // the last call failed
)

// Circuit is for one goroutine.
type Circuit struct {
	config   Config
	out      int           // calls not ended
	progress time.Duration // the last call's end, or the first one's beginning after none was out
	failing  bool
	triedAt  time.Duration
	turned   uint64
}

// New makes a closed circuit.
func New(c Config) *Circuit { return &Circuit{config: c} }

// Began tells of a call handed to the store.
func (c *Circuit) Began(now time.Duration) {
	if c.out == 0 {
		c.progress = now
	}
	c.out++
}

// Ended tells of a call's end.
func (c *Circuit) Ended(now time.Duration, failed bool) {
	c.out--
	c.progress = now
	c.failing = failed
	if failed {
		c.triedAt = now
	}
}

// State returns the state.
func (c *Circuit) State(now time.Duration) State {
	switch {
	case c.out > 0 && now-c.progress > c.config.Slow:
		return Stalled
	case c.failing:
		return Failing
	}
	return Well
}

// Admit tells whether new work may be taken, and where not when to return.
func (c *Circuit) Admit(now time.Duration) (after time.Duration, ok bool) {
	switch c.State(now) {
	case Well:
		return 0, true
	case Failing:
		if c.out == 0 && now-c.triedAt >= c.config.Again {
			c.triedAt = now // this one tries it
			return 0, true
		}
	}
	c.turned++
	return c.config.Again, false
}

// Turn counts work that had been admitted and was turned away after all.
func (c *Circuit) Turn() { c.turned++ }

// Out returns the number of calls that have not ended.
func (c *Circuit) Out() int { return c.out }

// Turned returns how much work was turned away.
func (c *Circuit) Turned() uint64 { return c.turned }
