package balance

import (
	"math"

	"ospreybend/internal/util/estimate"
)

const (
	keySamples    = 2048. // requests with a key after which the counts are halved
	keyPrior      = 16.   // requests of other keys assumed
	homeHeadroom  = 1.5   // homes per home that a key's request share needs: not all are free at once
	fetchCostRuns = 4.    // cost of a fetch in mean run times, evictions and load on the store included
)

// A worker caches the data of a few keys and fetches that of others from a shared store. So a key has
// affinity to its homes: all dispatchers compute the same order of workers for a key (rendezvous hashing),
// and as many of the first are homes as its share of the requests needs. Overflow goes to the next ones.

// nearness returns a worker's expected position in a key's order; the least is the first home.
func (f *fleet) nearness(key uint64, w *worker) float64 {
	return estimate.RendezvousRank(key, uint64(w.id), len(f.workers))
}

// assignHomes sets how far down its key's order a request's homes go. Without a key all workers are homes.
func (b *Balancer) assignHomes(r *request) {
	if r.homeRange = math.Inf(1); r.Key == 0 {
		return
	}
	for _, w := range b.fleet.workers {
		if b.fleet.isReady(w) {
			r.homeRange = min(r.homeRange, b.fleet.nearness(r.Key, w))
		}
	}
	r.homeRange += b.keyShares.Add(r.Key, keySamples, keyPrior) * homeHeadroom * float64(len(b.fleet.workers))
}

// fetchCost returns the expected cost, in seconds, of a cache miss of the request's key at a worker.
func (b *Balancer) fetchCost(r *request, w *worker) float64 {
	chance := 1 - 1/(1+max(0, b.fleet.nearness(r.Key, w)-r.homeRange))
	return chance * fetchCostRuns * b.estimator.run.Or(b.estimator.sizeOf(r.job), 1)
}
