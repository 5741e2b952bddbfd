package roleplanner

import (
	"math"
	"time"
)

// observe takes in the demand since the call before.
func (p *Planner) observe(now time.Duration, demand Demand, prefillWorkers int) {
	span := (now - p.lastObservedAt).Seconds()
	if p.lastObservedAt == 0 || span <= 0 {
		p.lastObservedAt = now
		return
	}
	p.lastObservedAt = now
	if demand == (Demand{}) && p.observedSeconds == 0 {
		return // traffic has not begun
	}
	decay := math.Exp(-span / demandTimeConstant.Seconds())
	p.demandSum = p.demandSum.Scale(decay).Add(demand.Scale(span))
	p.prefillSum = p.prefillSum*decay + float64(prefillWorkers)*span
	p.observedSeconds = p.observedSeconds*decay + span
}

// averageDemand is the demand of late, with reading as it is, and not as expected.
func (p *Planner) averageDemand() Demand {
	if p.observedSeconds <= 0 {
		return Demand{}
	}
	demand := p.demandSum.Scale(1 / p.observedSeconds)
	slowdown := prefillSlowdown(demand, p.prefillSum/p.observedSeconds)
	demand.Prefill *= slowdown
	demand.PrefillDone *= slowdown
	served := min(1, max(minServedShare, demand.Started/max(demand.Offered, negligibleDemand)))
	demand.Slots /= served // what is refused makes no streams
	demand.Memory /= served
	return demand
}

// prefillSlowdown is how long readers take for a prompt by themselves, against what is expected. Only how long prompts take together
// with their waits is seen; the waits follow from how busy the readers are at that pace p: of n readers that have read the
// work D a second, the part b = p*D/n is busy, and prompts take p*(1 + queueing*b/(1-b)) against what is expected.
// That is solved for p. However long the waits, it says no more than that all readers are busy.
func prefillSlowdown(demand Demand, prefillWorkers float64) float64 {
	if demand.PrefillDone < negligibleDemand || prefillWorkers < negligibleDemand {
		return 1
	}
	ratio, done := demand.PrefillTime/demand.PrefillDone, demand.PrefillDone/prefillWorkers
	square, linear := (1-queueingFactor)*done, 1+ratio*done
	return (linear - math.Sqrt(max(0, linear*linear-4*square*ratio))) / (2 * square)
}
