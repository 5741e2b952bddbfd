package balance

import (
	"slices"
	"time"

	"ospreybend/internal/util/stats"
)

// FailureProbability returns the estimated probability that a request of the worst affected class fails at a
// worker; 0 for an unknown worker. It is for observers and changes nothing.
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

// ZoneView is the capacity of a zone's ready workers, as known to a dispatcher.
type ZoneView struct {
	Zone          int
	Slots         float64
	WarmupDeficit float64 // capacity fraction lacking as workers warm up
}

// Zones returns the capacity of all zones, by zone number. It is for observers and changes nothing.
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
