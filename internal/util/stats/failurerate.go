package stats

import (
	"math"
	"time"
)

// FailureRate counts failures among outcomes, and forgets both over time.
type FailureRate struct {
	Failures, Outcomes float64
	At                 time.Duration
}

// decay is the part of what was counted that stands at a time, where it falls by e in a life.
func (o *FailureRate) decay(now, timeConstant time.Duration) float64 {
	return math.Exp(-(now - o.At).Seconds() / timeConstant.Seconds())
}

// Add takes in an outcome.
func (o *FailureRate) Add(now, timeConstant time.Duration, failed bool) {
	decay := o.decay(now, timeConstant)
	o.Failures, o.Outcomes, o.At = o.Failures*decay, o.Outcomes*decay+1, now
	if failed {
		o.Failures++
	}
}

// Probability estimates the chance of a failure, shrunk to a prior that counts as weight outcomes.
func (o *FailureRate) Probability(now, timeConstant time.Duration, prior, weight float64) float64 {
	decay := o.decay(now, timeConstant)
	return (o.Failures*decay + prior*weight) / (o.Outcomes*decay + weight)
}
