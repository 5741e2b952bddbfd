package roleplanner

import (
	"math"
	"time"
)

// Time for which demand must be observed.
const (
	minObservation  = 400 * time.Millisecond // before the first decision
	fullObservation = 2 * time.Second        // before decode may get less than earlyDecodeShare of the workers
)

// earlyDecodeShare is the share of the workers that stay in decode until fullObservation. Only few streams have started by
// then, so the demand for decode is underestimated.
const earlyDecodeShare = 0.25

// Hysteresis of the target: it changes only if the required number of prefill workers differs from it by this number of
// workers, or by this share of all workers if that is more. The thresholds for a shortage of decode workers are lower than
// those for a surplus.
const (
	hysteresisShare     = 0.06
	minHysteresis       = 1.
	decodeShortageShare = 0.03
	minDecodeShortage   = 0.25
)

// updateTarget decides how many of the workers are to run prefill.
func (p *Planner) updateTarget(workers []Worker) {
	total := len(workers)
	if total < 2 {
		p.targetPrefill = 0
		return
	}
	if p.targetPrefill == 0 {
		p.targetPrefill = countTargetPrefill(workers)
	}
	if countTargetPrefill(workers) == total { // without a decode worker no request is served and no demand is observed
		p.targetPrefill = clampPrefill(total, total)
		return
	}
	if !p.demand.observedFor(minObservation) {
		return
	}
	required := requiredWorkers(p.demand.mean())
	requiredPrefill := required.proportionalPrefill(total)
	if math.IsNaN(requiredPrefill) || required.metWithSurplus(float64(p.targetPrefill), float64(total-p.targetPrefill)) {
		p.targetPrefill = clampPrefill(p.targetPrefill, total)
		return
	}
	if p.exceedsHysteresis(requiredPrefill, total) {
		p.targetPrefill = int(requiredPrefill) // rounded down in favor of decode
	}
	p.targetPrefill = clampPrefill(p.targetPrefill, total)
	if !p.demand.observedFor(fullObservation) {
		earlyLimit := total - int(math.Ceil(earlyDecodeShare*float64(total)))
		p.targetPrefill = min(p.targetPrefill, max(countTargetPrefill(workers), earlyLimit))
	}
}

// exceedsHysteresis reports whether the required number of prefill workers differs enough from the target to change it.
func (p *Planner) exceedsHysteresis(requiredPrefill float64, total int) bool {
	shortage := max(minDecodeShortage, decodeShortageShare*float64(total))
	surplus := max(minHysteresis, hysteresisShare*float64(total))
	return requiredPrefill < float64(p.targetPrefill)-shortage || requiredPrefill >= float64(p.targetPrefill)+surplus
}

// countTargetPrefill returns the number of workers that run prefill, or will after their transitions.
func countTargetPrefill(workers []Worker) int {
	prefillWorkers := 0
	for i := range workers {
		if workers[i].targetStage() == Prefill {
			prefillWorkers++
		}
	}
	return prefillWorkers
}
