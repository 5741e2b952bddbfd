package selection

import (
	"math"
	"time"

	"ospreybend/internal/util/estimate"
	"ospreybend/internal/util/stats"
)

// Prefix cache affinity: requests that share a prompt segment are preferably sent to the same few workers,
// the segment's affinity targets, so that its KV cache is computed only there. Every node orders the
// workers of a class by rendezvous hashing of the segment's ID, so that all nodes agree on the targets
// without communication. The targets are the first workers in that order, as many as the segment's share
// of the requests needs. Requests beyond their capacity go to the workers that follow.

const (
	segmentSamples       = 2048. // counted segments after which all counts are halved
	segmentPriorSamples  = 16.   // occurrences of other segments that are assumed before any is seen
	affinityTargetFactor = 1.5   // targets per worker that a segment's share needs; more than 1, as not all are free at once
	cacheRetention       = 20.   // seconds for which a worker is assumed to cache an unused segment
	affinityDecay        = 3.    // exponential decay, per rank beyond the targets, of the probability that a segment is cached
	priorUses            = 1.    // uses of a segment that are assumed before any is seen
	requestRateSamples   = 32.   // requests over which the node's request rate is averaged
	maxRequestGap        = 5.    // seconds; upper bound on a gap between requests
	minRequestGap        = 0.001 // seconds; lower bound on the mean gap
)

// segmentPopularity tracks this node's request rate and how popular shared segments are among its requests.
type segmentPopularity struct {
	keyShares, ancestorShares stats.Shares
	requestGap                stats.Mean // seconds between requests
	lastRequest               time.Duration
	started                   bool
}

// record counts a request. It sets keyShare and ancestorShares of its info to the values before this
// request.
func (p *segmentPopularity) record(now time.Duration, info *requestInfo) {
	if p.started {
		p.requestGap.Add(min((now-p.lastRequest).Seconds(), maxRequestGap), requestRateSamples)
	}
	p.lastRequest, p.started = now, true
	if info.affinityKey != 0 {
		info.keyShare = p.keyShares.Add(info.affinityKey, segmentSamples, segmentPriorSamples)
	}
	for i := range min(len(info.ancestorShares), max(0, len(info.sharedSegments)-1)) {
		info.ancestorShares[i] = p.ancestorShares.Add(info.sharedSegments[i].ID, segmentSamples, segmentPriorSamples)
	}
}

// rate returns this node's requests per second.
func (p *segmentPopularity) rate() float64 {
	return 1 / max(minRequestGap, p.requestGap.Blend(1, 1))
}

// targetRankLimit returns the rank in the rendezvous order of the affinity key up to which workers are
// affinity targets.
func targetRankLimit(info *requestInfo, workers []*worker) float64 {
	lowestRank := math.Inf(1)
	for _, w := range workers {
		lowestRank = min(lowestRank, estimate.RendezvousRank(info.affinityKey, w.hash, len(workers)))
	}
	return lowestRank + info.keyShare*affinityTargetFactor*float64(len(workers))
}

// cachedTokens estimates how many tokens of a prompt are in a worker's prefix cache. It is the larger of
// what this node has sent there and what all nodes, which agree on the affinity targets, are expected to
// have sent.
func (s *service) cachedTokens(info *requestInfo, w *worker, rankLimit float64, workers int) float64 {
	own := w.cache.cachedTokens(info.prompt)
	if info.affinityKey == 0 || len(info.sharedSegments) == 0 {
		return own
	}
	total, probability := 0., 1.
	retainedRequests := cacheRetention * s.popularity.rate() * float64(s.selector.nodes)
	for i, segment := range info.sharedSegments {
		probability = min(probability, s.cachedProbability(info, w, i, rankLimit, workers, retainedRequests))
		total += probability * float64(segment.Tokens)
	}
	return min(max(own, total), info.promptTokens)
}

// cachedProbability returns the probability that a worker has the shared segment with the given index
// cached. RetainedRequests is the number of requests that all nodes together send during cacheRetention.
func (s *service) cachedProbability(info *requestInfo, worker *worker, index int, rankLimit float64, workers int,
	retainedRequests float64) float64 {
	ranksBeyond := max(0, estimate.RendezvousRank(info.affinityKey, worker.hash, workers)-rankLimit)
	expectedUses := priorUses + info.keyShare*retainedRequests
	probability := expectedUses / (1 + expectedUses) * math.Exp(-affinityDecay*ranksBeyond)
	if index < len(info.ancestorShares) && index < len(info.sharedSegments)-1 {
		// An earlier segment is cached on the targets of all affinity keys that follow it; its uses are
		// assumed to spread evenly over the workers.
		expectedUses = info.ancestorShares[index] * retainedRequests / float64(max(1, workers))
		probability = max(probability, expectedUses/(1+expectedUses))
	}
	return probability
}
