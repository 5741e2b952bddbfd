package balance

import (
	"math"

	"ospreybend/internal/util/estimate"
)

const (
	keySamples    = 2048. // requests with a key after which the counts are halved
	keyPrior      = 16.   // number of requests of other keys that is assumed at first
	homeHeadroom  = 1.5   // homes relative to those that the key's share needs: not all are free at once
	fetchCostRuns = 4.    // cost of a fetch, evictions and load on the store included, in mean run times
)

// A worker caches the data of a few keys and fetches other data from a shared store. So a key has affinity to
// some workers, its homes: all balancers compute the same order of workers for a key (rendezvous hashing), of
// which the first are homes, as many as the key's share of the requests needs. Overflow goes to the next.

// keyRank returns the expected rank of a worker in a key's order. The worker of least rank is the first home.
func (f *fleet) keyRank(key uint64, w *worker) float64 {
	return estimate.RendezvousRank(key, uint64(w.id), len(f.workers))
}

// setMaxHomeRank sets the rank up to which workers are homes of a request's key. Without a key all are.
func (b *Balancer) setMaxHomeRank(r *request) {
	if r.maxHomeRank = math.Inf(1); r.Key == 0 {
		return
	}
	for _, w := range b.fleet.workers {
		if b.fleet.isReady(w) {
			r.maxHomeRank = min(r.maxHomeRank, b.fleet.keyRank(r.Key, w))
		}
	}
	r.maxHomeRank += b.keyShares.Add(r.Key, keySamples, keyPrior) * homeHeadroom * float64(len(b.fleet.workers))
}

// fetchCost returns the expected cost, in seconds, of fetching the data of the request's key at a worker.
func (b *Balancer) fetchCost(r *request, w *worker) float64 {
	missProbability := 1 - 1/(1+max(0, b.fleet.keyRank(r.Key, w)-r.maxHomeRank))
	return missProbability * fetchCostRuns * b.estimator.meanRun.Blend(b.estimator.sizeOf(r.job), 1)
}
