package balance

import (
	"math"

	"ospreybend/internal/util/estimate"
)

const (
	keySamples    = 2048. // requests with a key after which their counts are halved
	keyPrior      = 16.   // requests of other keys taken for granted
	homeHeadroom  = 1.5   // homes for each that a key's share of the requests needs: they are not all free at once
	fetchCostRuns = 4.    // mean jobs that a fetch costs, with what it displaces and takes of the store
)

// A worker keeps the data of a few keys, and fetches that of others from a store which all share. So the
// requests of a key go together: all dispatchers have the same order of workers for it, without a word, and
// as many of the first are its homes as its share of the requests needs. What overflows goes on along it.

// nearness tells how far down a key's order a worker is, in workers: the least of all is its first home.
func (f *fleet) nearness(key uint64, w *worker) float64 {
	return estimate.RendezvousRank(key, uint64(w.id), len(f.workers))
}

// assignHomes takes in a request's key: how far down its order its homes go. Without a key all are homes.
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

// fetchCost is what sending the request to a worker costs, in seconds, as its key's data may not be there.
func (b *Balancer) fetchCost(r *request, w *worker) float64 {
	chance := 1 - 1/(1+max(0, b.fleet.nearness(r.Key, w)-r.homeRange))
	return chance * fetchCostRuns * b.estimator.run.Or(b.estimator.sizeOf(r.job), 1)
}
