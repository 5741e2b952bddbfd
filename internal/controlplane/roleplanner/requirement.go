package roleplanner

import "math"

// Parts of a worker's capacity up to which it is meant to be used: beyond them waits grow quickly, since work comes in bursts
// and is spread unevenly. Writers are kept further from their limit: what fails there has been read for nothing.
const (
	prefillUtilization  = 0.7
	slotUtilization     = 0.35
	memoryUtilization   = 0.4
	transferUtilization = 0.2 // they are made one after the other, and first tokens wait for them
)

// surplusFactor is how many times the need is well more than enough.
const surplusFactor = 1.5

// redundancyThreshold is the size of a service from which it keeps two workers of each stage, so that the loss of one does
// not stop it.
const redundancyThreshold = 4

// Requirement is how many workers of each stage a demand needs, if each is used up to its target.
type Requirement struct{ PrefillWorkers, DecodeWorkers float64 }

// RequiredWorkers returns the need of a demand that is a rate.
func RequiredWorkers(demand Demand) Requirement {
	return Requirement{
		PrefillWorkers: demand.Prefill / prefillUtilization,
		DecodeWorkers:  max(demand.Slots/slotUtilization, demand.Memory/memoryUtilization, demand.Transfers/transferUtilization),
	}
}

// total is the number of workers that are needed.
func (r Requirement) total() float64 { return r.PrefillWorkers + r.DecodeWorkers }

// prefillShare returns how many of a service's workers are to read prompts: workers are divided in proportion to the
// need, so that both stages are used alike, whether there are too few workers or more than are needed.
// It is a fraction; the caller rounds it.
func (r Requirement) prefillShare(workers int) float64 {
	if r.total() <= 0 {
		return math.NaN()
	}
	return float64(workers) * r.PrefillWorkers / r.total()
}

// satisfiedBy tells whether so many workers of each stage are well more than are needed: another split would gain nothing.
func (r Requirement) satisfiedBy(prefillWorkers, decodeWorkers float64) bool {
	return prefillWorkers >= surplusFactor*r.PrefillWorkers && decodeWorkers >= surplusFactor*r.DecodeWorkers
}

// minPerStage is how many workers of a stage a service keeps at least.
func minPerStage(workers int) int {
	if workers >= redundancyThreshold {
		return 2
	}
	return 1
}

// clampPrefill keeps the workers that each stage has at least.
func clampPrefill(prefillWorkers, workers int) int {
	minimum := minPerStage(workers)
	return min(max(prefillWorkers, minimum), workers-minimum)
}
