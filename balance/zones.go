package balance

import (
	"maps"
	"slices"
	"time"

	"ospreybend/internal/util/stats"
)

const (
	evacuationSpread     = time.Second // hedges of requests in a failed zone are spread over it
	evacuationPerRequest = 0.1         // such hedges allowed for each request accepted;
	maxEvacuationBudget  = 10.0        // at most so many at once, as all dispatchers evacuate together
)

// withinZoneShare reports whether a request may go to a zone. The answer is drawn from the request's ID, so
// that it stays the same while the share does.
func (f *fleet) withinZoneShare(id RequestID, zone int) bool {
	share := f.zoneShare(zone)
	return share >= 1 || stats.Draw(uint64(id), uint64(zone)) < share
}

// zoneShare returns the share of a zone, 0 to 1.
func (f *fleet) zoneShare(zone int) float64 {
	if zone < len(f.shares) {
		return f.shares[zone]
	}
	return 1
}

// zoneShares applies the zones' shares, and hedges the requests in zones that newly failed.
func (b *Balancer) zoneShares(now time.Duration, ev ZoneShares) {
	before := b.fleet.shares
	b.fleet.shares = slices.Clone(ev.Shares)
	newlyFailed := func(zone int) bool {
		return slices.Contains(ev.Failed, zone) && (zone >= len(before) || before[zone] > 0)
	}
	for _, w := range b.fleet.workers {
		if w.zone < len(before) && before[w.zone] == 0 && b.fleet.zoneShare(w.zone) > 0 {
			clear(w.health) // the voters decided that it is tried again
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
