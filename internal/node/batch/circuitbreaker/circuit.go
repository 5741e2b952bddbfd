// Package circuitbreaker is the circuit breaker of the batch front's store: it judges from the
// store's calls whether it answers, so that submissions are rejected at once while it does not.
// It does no I/O and takes the clock as an argument. Package jobs uses it.
//
// The store serves one call after the other, so that each end of a call is progress. A store with
// calls in flight and no progress for StallTime is stalled. One whose last call failed is failing:
// one submission per RetryInterval is admitted as a trial, unless other calls are in flight. Any
// successful call closes the circuit. Calls that must not be dropped, such as those that record
// results, are made throughout and serve as trials too.
package circuitbreaker

import "time"

// Config configures a circuit breaker.
type Config struct {
	StallTime     time.Duration // without progress for longer the store is stalled
	RetryInterval time.Duration // between two trials of a failing store
}

// State is the state of a circuit breaker, as the administration shows it.
type State string

// The states.
const (
	Healthy State = "well"
	Stalled State = "stalled" // calls are in flight and none ends
	Failing State = "failing" // the last call failed
)

// Circuit is a circuit breaker. It is not safe for concurrent use.
type Circuit struct {
	config       Config
	inFlight     int           // calls that have not ended
	lastProgress time.Duration // the last call's end, or the start of the first call after none was in flight
	failing      bool
	lastTrial    time.Duration
	rejected     uint64
}

// New returns a closed circuit breaker.
func New(c Config) *Circuit { return &Circuit{config: c} }

// CallBegan records a call handed to the store.
func (c *Circuit) CallBegan(now time.Duration) {
	if c.inFlight == 0 {
		c.lastProgress = now
	}
	c.inFlight++
}

// CallEnded records the end of a call.
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

// Admit reports whether a submission may be accepted, and if not after which time to retry.
func (c *Circuit) Admit(now time.Duration) (after time.Duration, ok bool) {
	switch c.State(now) {
	case Healthy:
		return 0, true
	case Failing:
		if c.inFlight == 0 && now-c.lastTrial >= c.config.RetryInterval {
			c.lastTrial = now // this submission is the trial
			return 0, true
		}
	}
	c.rejected++
	return c.config.RetryInterval, false
}

// CountRejected counts a submission that was admitted and rejected later.
func (c *Circuit) CountRejected() { c.rejected++ }

// InFlight returns the number of calls that have not ended.
func (c *Circuit) InFlight() int { return c.inFlight }

// Rejected returns the number of rejected submissions.
func (c *Circuit) Rejected() uint64 { return c.rejected }
