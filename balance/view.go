package balance

import "time"

// Doubt is the chance that an operation of any kind fails at a worker, as this
// dispatcher sees it now: for those who look on. It decides nothing.
func (b *Balancer) Doubt(now time.Duration, id WorkerID) float64 {
	w := b.fleet.byID[id]
	if w == nil {
		return 0
	}
	worst := 0.0
	for class := range b.settings.Classes {
		worst = max(worst, b.fleet.failChance(now, w, class))
	}
	return worst
}
