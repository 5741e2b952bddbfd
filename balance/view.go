package balance

import (
	"slices"
	"time"

	"ospreybend/internal/util/stats"
)

// FailureProbability returns the estimated probability that a request fails at a worker, for the class with
// the highest one; 0 for an unknown worker. The call does not change the balancer.
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

// ZoneCapacity is the capacity of a zone's ready workers, as far as this balancer knows.
type ZoneCapacity struct {
	Zone          int
	Slots         float64
	WarmupDeficit float64 // fraction of the capacity that is not yet available as workers warm up
}

// Zones returns the capacity of each zone with a ready worker, ordered by zone number. The call does not
// change the balancer.
func (b *Balancer) Zones(now time.Duration) []ZoneCapacity {
	byZone := map[int]*ZoneCapacity{}
	var zones []ZoneCapacity
	for _, w := range b.fleet.workers {
		if !b.fleet.isReady(w) {
			continue
		}
		z := stats.Ensure(byZone, w.zone)
		slots := b.fleet.slotsOf(w)
		z.WarmupDeficit += slots * (1 - b.fleet.capacityFraction(now, w))
		z.Slots += slots
	}
	for zone, z := range byZone {
		zones = append(zones, ZoneCapacity{Zone: zone, Slots: z.Slots, WarmupDeficit: z.WarmupDeficit / z.Slots})
	}
	slices.SortFunc(zones, func(a, b ZoneCapacity) int { return a.Zone - b.Zone })
	return zones
}
