package selection

import (
	"math"
	"time"

	"ospreybend/internal/util/estimate"
	"ospreybend/internal/util/stats"
)

// Requests that share a prompt segment are sent to the same few workers, its affinity targets, so that
// its KV cache is computed only there. Every node orders the workers of a class by rendezvous hashing of
// the segment's ID, so that all agree on the targets without talking to each other: the first workers in
// that order, as many as the segment's share of the requests needs. What the targets cannot take goes to
// the workers that follow.

const (
	segmentSamples       = 2048. // segments after which their counts are halved
	segmentPriorSamples  = 16.   // other segments that are assumed before any is seen
	affinityTargetFactor = 1.5   // targets for each worker that a segment's share needs: not all are free at once
	cacheRetention       = 20.   // seconds for which a worker caches a segment that is not used
	affinityDecay        = 3.    // how fast the probability of a cached segment falls beyond its targets
	assumedUses          = 1.    // uses of a segment at its targets that are assumed before any is seen
	requestRateSamples   = 32.   // requests after which the node's request rate forgets
	maxRequestGap        = 5.    // seconds; longer gaps between requests count as this
	minRequestGap        = 0.001 // seconds; shorter mean gaps count as this
)

// segmentPopularity counts how often shared segments are requested on this node.
type segmentPopularity struct {
	keyShares, ancestorShares stats.Shares
	requestGap                stats.Mean // seconds between requests
	lastRequest               time.Duration
	started                   bool
}

// record counts a request, and sets its shares: that of its affinity key among the requests, and those
// of the segments before it.
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

// rate returns the requests per second on this node.
func (p *segmentPopularity) rate() float64 {
	return 1 / max(minRequestGap, p.requestGap.Or(1, 1))
}

// affinityReach returns the rank in the key's rendezvous order up to which workers are affinity targets.
func affinityReach(info *requestInfo, workers []*worker) float64 {
	nearest := math.Inf(1)
	for _, w := range workers {
		nearest = min(nearest, estimate.RendezvousRank(info.affinityKey, w.hash, len(workers)))
	}
	return nearest + info.keyShare*affinityTargetFactor*float64(len(workers))
}

// cachedTokens estimates how many tokens of a prompt are in a worker's prefix cache: what this node has
// sent there, or what the other nodes, which agree on the affinity targets, are likely to have sent.
func (s *service) cachedTokens(info *requestInfo, w *worker, reach float64, workers int) float64 {
	own := w.cache.cachedTokens(info.prompt)
	if info.affinityKey == 0 || len(info.sharedSegments) == 0 {
		return own
	}
	total, probability := 0., 1.
	span := cacheRetention * s.popularity.rate() * float64(s.selector.nodes)
	for i, segment := range info.sharedSegments {
		probability = min(probability, s.cachedProbability(info, w, i, reach, workers, span))
		total += probability * float64(segment.Tokens)
	}
	return min(max(own, total), info.promptTokens)
}

// cachedProbability returns the probability that a worker has the shared segment of that index cached,
// given that all nodes together send span requests while it retains one.
func (s *service) cachedProbability(info *requestInfo, worker *worker, index int, reach float64, workers int,
	span float64) float64 {
	beyond := max(0, estimate.RendezvousRank(info.affinityKey, worker.hash, workers)-reach)
	uses := assumedUses + info.keyShare*span
	probability := uses / (1 + uses) * math.Exp(-affinityDecay*beyond)
	if index < len(info.ancestorShares) && index < len(info.sharedSegments)-1 {
		// An earlier segment is spread over the targets of all the segments that follow it.
		uses = info.ancestorShares[index] * span / float64(max(1, workers))
		probability = max(probability, uses/(1+uses))
	}
	return probability
}
