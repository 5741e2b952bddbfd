package roleplanner

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time in which the weight of past demand falls to 1/e.
	demandTimeConstant = 3 * time.Second
	// queueingFactor compares the waits for prefill workers with those for servers that get their work at random: it is
	// lower than 1, as proxies send prompts to workers with short queues.
	queueingFactor = 0.5
	// minServedShare limits the extrapolation of decode demand from the requests that started to stream to all requests.
	minServedShare = 0.2
	// negligibleDemand is a rate, in workers, below which there is none.
	negligibleDemand = 1e-6
)

// demandAverage is the exponentially weighted average of a service's demand and of its prefill workers.
type demandAverage struct {
	demandSum       Demand        // integral of the demand, weighted by age
	prefillSum      float64       // integral of the number of prefill workers, weighted alike
	observedSeconds float64       // integral of the weights
	lastObservedAt  time.Duration // 0: never
}

// observe adds the demand and the prefill workers since the call before.
func (a *demandAverage) observe(now time.Duration, demand Demand, prefillWorkers int) {
	span := (now - a.lastObservedAt).Seconds()
	if a.lastObservedAt == 0 || span <= 0 {
		a.lastObservedAt = now
		return
	}
	a.lastObservedAt = now
	if demand == (Demand{}) && a.observedSeconds == 0 {
		return // there has been no request yet
	}
	decay := math.Exp(-span / demandTimeConstant.Seconds())
	a.demandSum = a.demandSum.Scale(decay).Add(demand.Scale(span))
	a.prefillSum = a.prefillSum*decay + float64(prefillWorkers)*span
	a.observedSeconds = a.observedSeconds*decay + span
}

// observedFor reports whether demand of at least a duration has been observed.
func (a *demandAverage) observedFor(duration time.Duration) bool {
	return a.observedSeconds >= duration.Seconds()
}

// mean returns the average rate of the demand, in workers. Prefill is corrected by the slowdown that the waits show, and
// decode extrapolated to the requests that were rejected before they streamed.
func (a *demandAverage) mean() Demand {
	if a.observedSeconds <= 0 {
		return Demand{}
	}
	demand := a.demandSum.Scale(1 / a.observedSeconds)
	slowdown := prefillSlowdown(demand, a.prefillSum/a.observedSeconds)
	demand.Prefill *= slowdown
	demand.PrefillDone *= slowdown
	served := min(1, max(minServedShare, demand.Started/max(demand.Offered, negligibleDemand)))
	demand.Slots /= served
	demand.Memory /= served
	return demand
}

// prefillSlowdown estimates the time that a prompt takes a prefill worker without any wait, relative to its expected time.
//
// Only the time with the wait is observed. At a slowdown p, n workers that complete prompts of expected work D each second
// have the utilization b = p*D/n, and a prompt takes p*(1 + queueingFactor*b/(1-b)) relative to its expected time. This is
// solved for p, a quadratic equation. Arbitrarily long waits yield at most the p at which all workers are busy.
func prefillSlowdown(demand Demand, prefillWorkers float64) float64 {
	if demand.PrefillDone < negligibleDemand || prefillWorkers < negligibleDemand {
		return 1
	}
	ratio, done := demand.PrefillTime/demand.PrefillDone, demand.PrefillDone/prefillWorkers
	square, linear := (1-queueingFactor)*done, 1+ratio*done
	return (linear - math.Sqrt(max(0, linear*linear-4*square*ratio))) / (2 * square)
}
