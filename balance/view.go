package balance

import (
	"slices"
	"time"

	"ospreybend/internal/util/stats"
)

// FailureProbability is the chance that an operation of any kind fails at a worker, as this
// dispatcher sees it now: for those who look on. It decides nothing.
func (b *Balancer) FailureProbability(now time.Duration, id WorkerID) float64 {
	w := b.fleet.byID[id]
	if w == nil {
		return 0
	}
	worst := 0.0
	for class := range b.settings.Classes {
		worst = max(worst, b.fleet.failureProbability(now, w, class))
	}
	return worst
}

// ZoneView is what a dispatcher knows of a zone's ready workers.
type ZoneView struct {
	Zone          int
	Slots         float64
	WarmupDeficit float64 // part of their capacity that they lack as they are cold
}

// Zones tells what is known of the zones, for those who look on. It decides nothing.
func (b *Balancer) Zones(now time.Duration) []ZoneView {
	by := map[int]*ZoneView{}
	var out []ZoneView
	for _, w := range b.fleet.workers {
		if !b.fleet.isReady(w) {
			continue
		}
		z := stats.Of(by, w.zone)
		slots := b.fleet.slotsOf(w)
		z.WarmupDeficit += slots * (1 - b.fleet.warmCapacity(now, w))
		z.Slots += slots
	}
	for zone, z := range by {
		out = append(out, ZoneView{Zone: zone, Slots: z.Slots, WarmupDeficit: z.WarmupDeficit / z.Slots})
	}
	slices.SortFunc(out, func(a, b ZoneView) int { return a.Zone - b.Zone })
	return out
}
