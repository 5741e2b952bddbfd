package roleplanner

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the age at which the weight of past demand has fallen to 1/e.
	demandTimeConstant = 3 * time.Second
	// queueingFactor is the ratio of the queueing time at prefill workers to that at servers whose work arrives at random.
	// It is below 1, since proxies send prompts to workers with short queues.
	queueingFactor = 0.5
	// minStartedShare limits the extrapolation of decode demand from the requests that started to stream to all requests:
	// a lower share of started requests is treated as this one.
	minStartedShare = 0.2
	// negligibleDemand is the rate, in workers, below which demand is treated as absent.
	negligibleDemand = 1e-6
)

// demandAverage is the exponentially weighted average of a service's demand and of its number of prefill workers.
type demandAverage struct {
	demandSum        Demand        // integral of the demand, weighted by age
	prefillWorkerSum float64       // integral of the number of prefill workers, weighted by age
	observedSeconds  float64       // integral of the weights
	lastObservedAt   time.Duration // 0: never
}

// observe adds the demand rate and the number of prefill workers for the time since the previous call.
func (a *demandAverage) observe(now time.Duration, demand Demand, prefillWorkers int) {
	elapsed := (now - a.lastObservedAt).Seconds()
	if a.lastObservedAt == 0 || elapsed <= 0 {
		a.lastObservedAt = now
		return
	}
	a.lastObservedAt = now
	if demand == (Demand{}) && a.observedSeconds == 0 {
		return // no request has arrived yet
	}
	decay := math.Exp(-elapsed / demandTimeConstant.Seconds())
	a.demandSum = a.demandSum.Scale(decay).Add(demand.Scale(elapsed))
	a.prefillWorkerSum = a.prefillWorkerSum*decay + float64(prefillWorkers)*elapsed
	a.observedSeconds = a.observedSeconds*decay + elapsed
}

// observedFor reports whether demand has been observed for at least a duration. The observed time is weighted by age, so
// that it does not grow far beyond demandTimeConstant.
func (a *demandAverage) observedFor(duration time.Duration) bool {
	return a.observedSeconds >= duration.Seconds()
}

// mean returns the average demand rate, in workers. Prefill demand is corrected by the slowdown derived from the observed
// prompt times, and decode demand is extrapolated to the requests that were rejected before they started to stream.
func (a *demandAverage) mean() Demand {
	if a.observedSeconds <= 0 {
		return Demand{}
	}
	demand := a.demandSum.Scale(1 / a.observedSeconds)
	slowdown := prefillSlowdown(demand, a.prefillWorkerSum/a.observedSeconds)
	demand.Prefill *= slowdown
	demand.PrefillDone *= slowdown
	startedShare := min(1, max(minStartedShare, demand.Started/max(demand.Offered, negligibleDemand)))
	demand.Slots /= startedShare
	demand.Memory /= startedShare
	return demand
}

// prefillSlowdown estimates the time that a prefill worker needs for a prompt without queueing, relative to the prompt's
// expected time.
//
// Only the time including queueing is observed. At a slowdown p, n workers that complete prompts of expected work D per
// second have the utilization b = p*D/n, and a prompt takes p*(1 + queueingFactor*b/(1-b)) times its expected time. The
// function solves this quadratic equation for p. However long the queueing time, the result is at most the p at which all
// workers are busy.
func prefillSlowdown(demand Demand, prefillWorkers float64) float64 {
	if demand.PrefillDone < negligibleDemand || prefillWorkers < negligibleDemand {
		return 1
	}
	timeRatio, completedPerWorker := demand.PrefillTime/demand.PrefillDone, demand.PrefillDone/prefillWorkers
	quadratic, linear := (1-queueingFactor)*completedPerWorker, 1+timeRatio*completedPerWorker
	return (linear - math.Sqrt(max(0, linear*linear-4*quadratic*timeRatio))) / (2 * quadratic)
}
