package roleplanner

import "math"

// Target utilization of workers. Beyond it waits grow quickly, since requests arrive in bursts and are balanced imperfectly.
// Decode workers are kept further from their limit: the prefill of a request that fails there is wasted.
const (
	prefillUtilization  = 0.7
	slotUtilization     = 0.35
	memoryUtilization   = 0.4
	transferUtilization = 0.2 // a worker makes one transfer at a time, and the first tokens wait for it
)

// surplusFactor is the multiple of the required workers above which another division would gain nothing.
const surplusFactor = 1.5

// redundancyThreshold is the number of workers from which a service keeps two of each stage, so that it survives the loss
// of one.
const redundancyThreshold = 4

// requirement is the number of workers of each stage that a demand requires at their target utilization.
type requirement struct{ PrefillWorkers, DecodeWorkers float64 }

// requiredWorkers returns the requirement of a demand that is a rate. Decode is bound by the scarcest of slots, memory and
// transfers.
func requiredWorkers(demand Demand) requirement {
	return requirement{
		PrefillWorkers: demand.Prefill / prefillUtilization,
		DecodeWorkers:  max(demand.Slots/slotUtilization, demand.Memory/memoryUtilization, demand.Transfers/transferUtilization),
	}
}

// total returns the number of workers that are required.
func (r requirement) total() float64 { return r.PrefillWorkers + r.DecodeWorkers }

// prefillShare returns how many of a service's workers are to do prefill. They are divided in proportion to the requirement,
// so that both stages are utilized alike whether there are too few workers or too many. The result is not rounded; it is
// NaN without a requirement.
func (r requirement) prefillShare(workers int) float64 {
	if r.total() <= 0 {
		return math.NaN()
	}
	return float64(workers) * r.PrefillWorkers / r.total()
}

// satisfiedBy reports whether these workers of each stage exceed the requirement by surplusFactor.
func (r requirement) satisfiedBy(prefillWorkers, decodeWorkers float64) bool {
	return prefillWorkers >= surplusFactor*r.PrefillWorkers && decodeWorkers >= surplusFactor*r.DecodeWorkers
}

// minPerStage returns the minimal number of workers of each stage for a service with so many workers.
func minPerStage(workers int) int {
	if workers >= redundancyThreshold {
		return 2
	}
	return 1
}

// clampPrefill limits the number of prefill workers so that both stages have minPerStage.
func clampPrefill(prefillWorkers, workers int) int {
	minimum := minPerStage(workers)
	return min(max(prefillWorkers, minimum), workers-minimum)
}
