package roleplanner

import "math"

// updateTarget works out how many workers are to read.
func (p *Planner) updateTarget(workers []Worker) {
	total := len(workers)
	if total < 2 {
		p.targetPrefill = 0
		return
	}
	if p.targetPrefill == 0 {
		p.targetPrefill = countTargetPrefill(workers)
	}
	if countTargetPrefill(workers) == total { // nothing is served without a writer, and so no demand is seen
		p.targetPrefill = clampPrefill(total, total)
		return
	}
	if p.observedSeconds < minObservation.Seconds() {
		return
	}
	need := RequiredWorkers(p.averageDemand())
	share := need.prefillShare(total)
	if math.IsNaN(share) || need.satisfiedBy(float64(p.targetPrefill), float64(total-p.targetPrefill)) {
		p.targetPrefill = clampPrefill(p.targetPrefill, total)
		return
	}
	if p.exceedsHysteresis(share, total) {
		p.targetPrefill = int(share) // what is left of a worker writes
	}
	p.targetPrefill = clampPrefill(p.targetPrefill, total)
	if p.observedSeconds < fullObservation.Seconds() {
		p.targetPrefill = min(p.targetPrefill, max(countTargetPrefill(workers), total-int(math.Ceil(earlyDecodeShare*float64(total)))))
	}
}

// exceedsHysteresis tells whether the share of readers is far enough from the target to be worth orders. More writers are wanted sooner
// than fewer.
func (p *Planner) exceedsHysteresis(share float64, total int) bool {
	shortage, surplus := max(minDecodeShortage, decodeShortageShare*float64(total)), max(minHysteresis, hysteresisShare*float64(total))
	return share < float64(p.targetPrefill)-shortage || share >= float64(p.targetPrefill)+surplus
}

// countTargetPrefill counts the workers that read, or will.
func countTargetPrefill(workers []Worker) int {
	prefillWorkers := 0
	for i := range workers {
		if workers[i].targetStage() == Prefill {
			prefillWorkers++
		}
	}
	return prefillWorkers
}
