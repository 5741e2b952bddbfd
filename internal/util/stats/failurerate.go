package stats

import (
	"math"
	"time"
)

// FailureRate estimates the probability of a failure from outcomes that count exponentially less the older
// they are. The zero value has seen none.
type FailureRate struct {
	Failures, Outcomes float64       // as of At
	At                 time.Duration // instant of the last outcome
}

// decay returns the factor by which the counts have fallen at an instant: they fall by e in a time constant.
func (r *FailureRate) decay(now, timeConstant time.Duration) float64 {
	return math.Exp(-(now - r.At).Seconds() / timeConstant.Seconds())
}

// Add adds an outcome.
func (r *FailureRate) Add(now, timeConstant time.Duration, failed bool) {
	decay := r.decay(now, timeConstant)
	r.Failures, r.Outcomes, r.At = r.Failures*decay, r.Outcomes*decay+1, now
	if failed {
		r.Failures++
	}
}

// Probability returns the estimate, shrunk towards a prior that counts as weight outcomes.
func (r *FailureRate) Probability(now, timeConstant time.Duration, prior, weight float64) float64 {
	decay := r.decay(now, timeConstant)
	return (r.Failures*decay + prior*weight) / (r.Outcomes*decay + weight)
}
