package selection

import (
	"math"
	"time"

	"ospreybend/internal/util/estimate"
	"ospreybend/internal/util/stats"
)

// A part that requests share is read at its homes: all nodes order the workers of a class alike for it
// and take the first, as many as its share of the requests needs. What overflows goes on in that order.

const (
	segmentSamples       = 2048. // parts after which their counts are halved
	segmentPriorSamples  = 16.   // parts of others taken for granted
	affinityTargetFactor = 1.5   // homes for each that a part's share needs: they are not all free at once
	cacheRetention       = 20.   // seconds for which a worker keeps a part that is not used
	affinityDecay        = 3.    // how fast the chance that a part is kept falls beyond its homes
	assumedUses          = 1.    // uses of a part at its home that are taken for granted
	requestRateSamples   = 32.   // requests over which the node's own rate is taken
	maxRequestGap        = 5.    // seconds between two requests at most, as counted
)

// segmentPopularity counts how often shared parts come.
type segmentPopularity struct {
	keyShares, ancestorShares stats.Shares
	requestGap                stats.Mean // seconds between this node's requests
	lastRequest               time.Duration
	started                   bool
}

// record takes in a request: the share of the requests that its last shared part has, and of the one before.
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

// rate is the number of requests a second on this node.
func (p *segmentPopularity) rate() float64 { return 1 / max(0.001, p.requestGap.Or(1, 1)) }

// affinityReach is how far down a key's order its homes go, in workers of a class.
func affinityReach(info *requestInfo, workers []*worker) float64 {
	nearest := math.Inf(1)
	for _, w := range workers {
		nearest = min(nearest, estimate.RendezvousRank(info.affinityKey, w.hash, len(workers)))
	}
	return nearest + info.keyShare*affinityTargetFactor*float64(len(workers))
}

// cachedTokens estimates the tokens of a job's prompt that a worker keeps: what this node has had it read, or
// what other nodes are likely to have, which agree with it on homes.
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

// cachedProbability is the chance that a worker keeps a shared part, by what all nodes send.
func (s *service) cachedProbability(info *requestInfo, worker *worker, index int, reach float64, workers int, span float64) float64 {
	beyond := max(0, estimate.RendezvousRank(info.affinityKey, worker.hash, workers)-reach)
	uses := assumedUses + info.keyShare*span
	probability := uses / (1 + uses) * math.Exp(-affinityDecay*beyond)
	if index < len(info.ancestorShares) && index < len(info.sharedSegments)-1 { // spread over the homes of the parts that follow it
		uses = info.ancestorShares[index] * span / float64(max(1, workers))
		probability = max(probability, uses/(1+uses))
	}
	return probability
}
