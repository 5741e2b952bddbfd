package stats

import (
	"math"
	"time"
)

// FailureRate estimates the probability of a failure from outcomes whose weights decay exponentially with
// their age. The zero value has no outcomes.
type FailureRate struct {
	Failures, Outcomes float64       // decayed counts as of At
	At                 time.Duration // time of the last outcome
}

// decay returns the factor by which the counts have decayed since At: 1/e per time constant.
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

// Probability returns the estimate, shrunk towards a prior that has the weight of the given number of
// outcomes.
func (r *FailureRate) Probability(now, timeConstant time.Duration, prior, weight float64) float64 {
	decay := r.decay(now, timeConstant)
	return (r.Failures*decay + prior*weight) / (r.Outcomes*decay + weight)
}
