// Package circuitbreaker is the circuit breaker for the store of the batch API. It determines from the
// ends of store calls whether the store responds, so that submissions are rejected at once while it does
// not. It does no I/O and takes the current time as an argument. Package jobs uses it.
//
// The store executes one call after the other, so each end of a call is progress. The store is stalled if
// calls are in flight and there was no progress for StallTime. It is failing if its last call failed: then
// one submission per RetryInterval is admitted as a trial, unless other calls are in flight. Any
// successful call closes the circuit. Calls that must not be dropped, such as those that record
// results, are made in every state and serve as trials too.
package circuitbreaker

import "time"

// Config configures a circuit breaker.
type Config struct {
	StallTime     time.Duration // time without progress after which the store is stalled
	RetryInterval time.Duration // between two trials of a failing store
}

// State is the state of the store, as the administration API shows it.
type State string

// The states of the store.
const (
	Healthy State = "well"    // neither stalled nor failing
	Stalled State = "stalled" // calls are in flight and none ends
	Failing State = "failing" // the last call failed
)

// Breaker is a circuit breaker. It is not safe for concurrent use.
type Breaker struct {
	config       Config
	inFlight     int           // number of calls that have not ended
	lastProgress time.Duration // end of the last call, or start of a call made while none was in flight, whichever is later
	failing      bool
	lastTrial    time.Duration // the last admitted trial or failed call, whichever is later
	rejected     uint64        // number of rejected submissions
}

// New returns a closed circuit breaker.
func New(c Config) *Breaker { return &Breaker{config: c} }

// CallBegan records the start of a store call.
func (c *Breaker) CallBegan(now time.Duration) {
	if c.inFlight == 0 {
		c.lastProgress = now
	}
	c.inFlight++
}

// CallEnded records the end of a store call.
func (c *Breaker) CallEnded(now time.Duration, failed bool) {
	c.inFlight--
	c.lastProgress = now
	c.failing = failed
	if failed {
		c.lastTrial = now
	}
}

// State returns the state of the store.
func (c *Breaker) State(now time.Duration) State {
	switch {
	case c.inFlight > 0 && now-c.lastProgress > c.config.StallTime:
		return Stalled
	case c.failing:
		return Failing
	}
	return Healthy
}

// Admit reports whether a submission may be accepted, and if not, how long to wait before a retry.
func (c *Breaker) Admit(now time.Duration) (after time.Duration, ok bool) {
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

// CountRejected counts a submission that was admitted but rejected later.
func (c *Breaker) CountRejected() { c.rejected++ }

// InFlight returns the number of store calls that have not ended.
func (c *Breaker) InFlight() int { return c.inFlight }

// Rejected returns the number of rejected submissions.
func (c *Breaker) Rejected() uint64 { return c.rejected }
