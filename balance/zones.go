package balance

import (
	"maps"
	"slices"
	"time"

	"ospreybend/internal/util/stats"
)

const (
	evacuationSpread     = time.Second // the hedges out of a failed zone are spread over this time
	evacuationPerRequest = 0.1         // hedges out of failed zones allowed per accepted request
	maxEvacuationBudget  = 10.0        // at most this many at once, as all balancers evacuate at the same time
)

// withinZoneShare reports if a request may go to a zone, by a hash of its ID: it changes only with the share.
func (f *fleet) withinZoneShare(id RequestID, zone int) bool {
	share := f.zoneShare(zone)
	return share >= 1 || stats.UniformHash(uint64(id), uint64(zone)) < share
}

// zoneShare returns the share of a zone, 0 to 1.
func (f *fleet) zoneShare(zone int) float64 {
	if zone < len(f.zoneShares) {
		return f.zoneShares[zone]
	}
	return 1
}

// handleZoneShares applies the zones' shares, and hedges requests out of the zones that have just failed.
func (b *Balancer) handleZoneShares(now time.Duration, ev ZoneShares) {
	previous := b.fleet.zoneShares
	b.fleet.zoneShares = slices.Clone(ev.Shares)
	newlyFailed := func(zone int) bool {
		return slices.Contains(ev.Failed, zone) && (zone >= len(previous) || previous[zone] > 0)
	}
	for _, w := range b.fleet.workers {
		if w.zone < len(previous) && previous[w.zone] == 0 && b.fleet.zoneShare(w.zone) > 0 {
			clear(w.failureRates) // the voters put the zone back in use: past failures do not count
			w.lastSeenAt = 0
		}
	}
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		r := b.requests[id]
		for index, a := range r.attempts {
			if !a.inFlight || !newlyFailed(a.worker.zone) || b.evacuationBudget < 1 {
				continue
			}
			if maySend, _ := b.permit(now, r); maySend {
				b.evacuationBudget--
				delay := time.Duration(b.rng.Float64() * float64(evacuationSpread))
				b.schedule(delay, func(now time.Duration) { b.hedge(now, r, index, true) })
			}
		}
	}
}
