package stats

import (
	"math"
	"time"
)

// Odds counts failures among outcomes, and forgets both over time.
type Odds struct {
	Failures, Outcomes float64
	At                 time.Duration
}

// left is the part of what was counted that stands at a time, where it falls by e in a life.
func (o *Odds) left(now, life time.Duration) float64 {
	return math.Exp(-(now - o.At).Seconds() / life.Seconds())
}

// Add takes in an outcome.
func (o *Odds) Add(now, life time.Duration, failed bool) {
	k := o.left(now, life)
	o.Failures, o.Outcomes, o.At = o.Failures*k, o.Outcomes*k+1, now
	if failed {
		o.Failures++
	}
}

// Chance estimates the chance of a failure, shrunk to a prior that counts as weight outcomes.
func (o *Odds) Chance(now, life time.Duration, prior, weight float64) float64 {
	k := o.left(now, life)
	return (o.Failures*k + prior*weight) / (o.Outcomes*k + weight)
}
