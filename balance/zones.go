package balance

import (
	"maps"
	"slices"
	"time"

	"ospreybend/internal/util/stats"
)

const (
	evacuationSpread     = time.Second // copies of what a failed zone has go out spread over it
	evacuationPerRequest = 0.1         // such copies for each request, and at most so many at once: all
	maxEvacuationBudget  = 10.0        // dispatchers move out together, to workers that have work of their own
)

// withinZoneShare tells whether a request may go to a zone. It may or may not for as long as the share stands:
// looking again does not get round it.
func (f *fleet) withinZoneShare(id RequestID, zone int) bool {
	share := f.zoneShare(zone)
	return share >= 1 || stats.Draw(uint64(id), uint64(zone)) < share
}

// zoneShare gives what a zone takes.
func (f *fleet) zoneShare(zone int) float64 {
	if zone < len(f.shares) {
		return f.shares[zone]
	}
	return 1
}

// zoneShares takes up what the fleet has decided.
func (b *Balancer) zoneShares(now time.Duration, ev ZoneShares) {
	before := b.fleet.shares
	b.fleet.shares = slices.Clone(ev.Shares)
	newlyFailed := func(zone int) bool {
		return slices.Contains(ev.Failed, zone) && (zone >= len(before) || before[zone] > 0)
	}
	for _, w := range b.fleet.workers {
		if w.zone < len(before) && before[w.zone] == 0 && b.fleet.zoneShare(w.zone) > 0 {
			clear(w.health) // what was held against it the fleet has weighed: it is to be tried
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
				wait := time.Duration(b.rng.Float64() * float64(evacuationSpread))
				b.schedule(wait, func(now time.Duration) { b.hedge(now, r, index, true) })
			}
		}
	}
}
