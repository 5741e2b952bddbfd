package balance

import (
	"maps"
	"slices"
	"time"

	"ospreybend/internal/util/stats"
)

const (
	moveWithin = time.Second // copies of what a failed zone has go out spread over it
	movePart   = 0.1         // such copies for each request, and at most so many at once: all
	moveMost   = 10.0        // dispatchers move out together, to workers that have work of their own
)

// inShare tells whether a request may go to a zone. It may or may not for as long as the share stands:
// looking again does not get round it.
func (f *fleet) inShare(id RequestID, zone int) bool {
	share := f.shareOf(zone)
	return share >= 1 || stats.Draw(uint64(id), uint64(zone)) < share
}

// shareOf gives what a zone takes.
func (f *fleet) shareOf(zone int) float64 {
	if zone < len(f.shares) {
		return f.shares[zone]
	}
	return 1
}

// zoneShares takes up what the fleet has decided.
func (b *Balancer) zoneShares(now time.Duration, ev ZoneShares) {
	before := b.fleet.shares
	b.fleet.shares = slices.Clone(ev.Shares)
	newly := func(zone int) bool {
		return slices.Contains(ev.Failed, zone) && (zone >= len(before) || before[zone] > 0)
	}
	for _, w := range b.fleet.list {
		if w.zone < len(before) && before[w.zone] == 0 && b.fleet.shareOf(w.zone) > 0 {
			clear(w.health) // what was held against it the fleet has weighed: it is to be tried
			w.heardAt = 0
		}
	}
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		r := b.requests[id]
		for at, a := range r.attempts {
			if !a.out || !newly(a.worker.zone) || b.moves < 1 {
				continue
			}
			if maySend, _ := b.permit(now, r); maySend {
				b.moves--
				wait := time.Duration(b.rng.Float64() * float64(moveWithin))
				b.after(wait, func(now time.Duration) { b.copyOut(now, r, at, true) })
			}
		}
	}
}
