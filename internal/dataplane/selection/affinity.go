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
	partMemory  = 2048. // parts after which their counts are halved
	partPrior   = 16.   // parts of others taken for granted
	homesOver   = 1.5   // homes for each that a part's share needs: they are not all free at once
	keptSpan    = 20.   // seconds for which a worker keeps a part that is not used
	homeSharp   = 3.    // how fast the chance that a part is kept falls beyond its homes
	unseenHits  = 1.    // uses of a part at its home that are taken for granted
	rateMemory  = 32.   // requests over which the node's own rate is taken
	longestRest = 5.    // seconds between two requests at most, as counted
)

// popularity counts how often shared parts come.
type popularity struct {
	keys, inner stats.Shares
	gap         stats.Mean // seconds between this node's requests
	last        time.Duration
	seen        bool
}

// count takes in a request: the share of the requests that its last shared part has, and of the one before.
func (p *popularity) count(now time.Duration, j *job) {
	if p.seen {
		p.gap.Add(min((now-p.last).Seconds(), longestRest), rateMemory)
	}
	p.last, p.seen = now, true
	if j.key != 0 {
		j.share = p.keys.Add(j.key, partMemory, partPrior)
	}
	for i := range min(len(j.inner), max(0, len(j.shared)-1)) {
		j.inner[i] = p.inner.Add(j.shared[i].ID, partMemory, partPrior)
	}
}

// rate is the number of requests a second on this node.
func (p *popularity) rate() float64 { return 1 / max(0.001, p.gap.Or(1, 1)) }

// homes is how far down a key's order its homes go, in workers of a class.
func homes(j *job, list []*worker) float64 {
	least := math.Inf(1)
	for _, w := range list {
		least = min(least, estimate.Nearness(j.key, w.number, len(list)))
	}
	return least + j.share*homesOver*float64(len(list))
}

// keptAt estimates the tokens of a job's prompt that a worker keeps: what this node has had it read, or
// what other nodes are likely to have, which agree with it on homes.
func (s *service) keptAt(j *job, w *worker, homes float64, workers int) float64 {
	own := w.kept.prefix(j.prompt)
	if j.key == 0 || len(j.shared) == 0 {
		return own
	}
	total, chance := 0., 1.
	span := keptSpan * s.shared.rate() * float64(s.selector.nodes)
	for i, part := range j.shared {
		chance = min(chance, s.chanceKept(j, w, i, homes, workers, span))
		total += chance * float64(part.Tokens)
	}
	return min(max(own, total), j.tokens)
}

// chanceKept is the chance that a worker keeps a shared part, by what all nodes send.
func (s *service) chanceKept(j *job, w *worker, i int, homes float64, workers int, span float64) float64 {
	away := max(0, estimate.Nearness(j.key, w.number, workers)-homes)
	hits := unseenHits + j.share*span
	chance := hits / (1 + hits) * math.Exp(-homeSharp*away)
	if i < len(j.inner) && i < len(j.shared)-1 { // spread over the homes of the parts that follow it
		hits = j.inner[i] * span / float64(max(1, workers))
		chance = max(chance, hits/(1+hits))
	}
	return chance
}
