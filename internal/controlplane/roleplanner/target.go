package roleplanner

import (
	"math"
	"time"
)

// Minimal observation of the demand.
const (
	minObservation  = 400 * time.Millisecond // before the first decision
	fullObservation = 2 * time.Second        // before prefill may take all but earlyDecodeShare of the workers
)

// earlyDecodeShare is the part of the workers that keep decoding until fullObservation: streams that have just started
// are few, so that the demand for decode is underestimated.
const earlyDecodeShare = 0.25

// Hysteresis of the target: by how many workers, or by what part of all workers if that is more, the required number of
// prefill workers must differ from it. A shortage of decode workers counts sooner than a surplus.
const (
	hysteresisShare     = 0.06
	minHysteresis       = 1.
	decodeShortageShare = 0.03
	minDecodeShortage   = 0.25
)

// updateTarget decides how many of the workers are to do prefill.
func (p *Planner) updateTarget(workers []Worker) {
	total := len(workers)
	if total < 2 {
		p.targetPrefill = 0
		return
	}
	if p.targetPrefill == 0 {
		p.targetPrefill = countTargetPrefill(workers)
	}
	if countTargetPrefill(workers) == total { // without a decode worker nothing is served and no demand observed
		p.targetPrefill = clampPrefill(total, total)
		return
	}
	if !p.demand.observedFor(minObservation) {
		return
	}
	required := requiredWorkers(p.demand.mean())
	share := required.prefillShare(total)
	if math.IsNaN(share) || required.satisfiedBy(float64(p.targetPrefill), float64(total-p.targetPrefill)) {
		p.targetPrefill = clampPrefill(p.targetPrefill, total)
		return
	}
	if p.exceedsHysteresis(share, total) {
		p.targetPrefill = int(share) // the fraction goes to decode
	}
	p.targetPrefill = clampPrefill(p.targetPrefill, total)
	if !p.demand.observedFor(fullObservation) {
		earlyLimit := total - int(math.Ceil(earlyDecodeShare*float64(total)))
		p.targetPrefill = min(p.targetPrefill, max(countTargetPrefill(workers), earlyLimit))
	}
}

// exceedsHysteresis reports whether the required number of prefill workers differs enough from the target to change it.
func (p *Planner) exceedsHysteresis(share float64, total int) bool {
	shortage := max(minDecodeShortage, decodeShortageShare*float64(total))
	surplus := max(minHysteresis, hysteresisShare*float64(total))
	return share < float64(p.targetPrefill)-shortage || share >= float64(p.targetPrefill)+surplus
}

// countTargetPrefill returns the number of workers that do prefill, or will after their transitions.
func countTargetPrefill(workers []Worker) int {
	prefillWorkers := 0
	for i := range workers {
		if workers[i].targetStage() == Prefill {
			prefillWorkers++
		}
	}
	return prefillWorkers
}
