package roleplanner

import "math"

// Target utilization of workers. Above it, queueing times grow quickly, since requests arrive in bursts and are not balanced
// perfectly. Decode workers are kept further below their limit, because the prefill of a request that fails there is wasted.
const (
	prefillUtilization  = 0.7
	slotUtilization     = 0.35
	memoryUtilization   = 0.4
	transferUtilization = 0.2 // a worker performs one transfer at a time, and the first tokens wait for it
)

// surplusFactor is the multiple of the required workers from which on a different division between the stages brings no
// benefit.
const surplusFactor = 1.5

// redundancyThreshold is the number of workers from which on a service keeps at least two workers in each stage, so that it
// survives the loss of one.
const redundancyThreshold = 4

// requirement is the number of workers of each stage that a demand requires at the target utilization.
type requirement struct{ PrefillWorkers, DecodeWorkers float64 }

// requiredWorkers returns the requirement of a demand rate. The number of decode workers is determined by the scarcest of
// slots, memory and transfers.
func requiredWorkers(demand Demand) requirement {
	return requirement{
		PrefillWorkers: demand.Prefill / prefillUtilization,
		DecodeWorkers:  max(demand.Slots/slotUtilization, demand.Memory/memoryUtilization, demand.Transfers/transferUtilization),
	}
}

// total returns the number of workers required in both stages together.
func (r requirement) total() float64 { return r.PrefillWorkers + r.DecodeWorkers }

// proportionalPrefill returns how many of a service's workers are to run prefill. The workers are divided in proportion to
// the requirement, so that both stages have the same utilization, whether there are too few workers or too many. The result
// is not rounded. It is NaN if no workers are required.
func (r requirement) proportionalPrefill(workers int) float64 {
	if r.total() <= 0 {
		return math.NaN()
	}
	return float64(workers) * r.PrefillWorkers / r.total()
}

// metWithSurplus reports whether each stage has at least surplusFactor times the workers that it requires.
func (r requirement) metWithSurplus(prefillWorkers, decodeWorkers float64) bool {
	return prefillWorkers >= surplusFactor*r.PrefillWorkers && decodeWorkers >= surplusFactor*r.DecodeWorkers
}

// minPerStage returns the minimum number of workers in each stage for a service with the given number of workers.
func minPerStage(workers int) int {
	if workers >= redundancyThreshold {
		return 2
	}
	return 1
}

// clampPrefill limits the number of prefill workers so that both stages have at least minPerStage workers.
func clampPrefill(prefillWorkers, workers int) int {
	minimum := minPerStage(workers)
	return min(max(prefillWorkers, minimum), workers-minimum)
}
