package selection

import (
	"math"
	"time"

	"ospreybend/internal/util/estimate"
	"ospreybend/internal/util/stats"
)

const (
	windowLength = estimate.WindowLength
	moveSetup    = 0.003           // seconds that a hand-over takes besides moving
	usualLink    = 1e11            // bits a second of a worker's link, where nobody tells
	usualToken   = 160e3           // bytes of a token's memory, where nobody tells
	farMove      = 2.              // times as long between zones
	linkLife     = 4 * time.Second // in which a pair's failures fall by e
	linkPenalty  = 0.25            // seconds that each failure of a pair counts as
	mostLinks    = 4096            // pairs whose failures are remembered
	handoverLife = 5 * time.Second // in which the outcomes of hand-overs fall by e
	handoverOdds = 0.01            // of a failure, until shown
	handoverHold = 4.              // outcomes that this counts as
	mostChance   = 0.95            // that a hand-over is taken to fail with
	moveHold     = 0.05            // seconds of moving that the configuration's word counts as
	mostRatio    = 100.            // times longer than told that a hand-over counts as taking at most
	movedPrice   = 0.006           // seconds that moving a gigabyte within a zone counts as
	farPrice     = 3.              // times as dear between zones
	sentPrice    = 1e-6            // seconds that sending a token to another zone counts as
)

// link names a pair of workers.
type link struct{ from, to uint64 }

// strikes are failures that fall by e in a life.
type strikes struct {
	count float64
	at    time.Duration
}

func (s strikes) now(now, life time.Duration) float64 {
	return s.count * math.Exp(-max(0, now-s.at).Seconds()/life.Seconds())
}

// outcomes is what became of hand-overs.
type outcomes struct {
	all   stats.Odds
	pairs map[link]strikes
}

// moveToken is the seconds that moving a token takes by the configuration.
func (s *service) moveToken() float64 {
	bits, bytes := usualLink, usualToken
	if s.engine != nil && s.engine.LinkMbps > 0 {
		bits = s.engine.LinkMbps * 1e6
	}
	if s.engine != nil && s.engine.KVBytesPerToken > 0 {
		bytes = s.engine.KVBytesPerToken
	}
	return bytes * 8 / bits
}

// moveTold is what moving takes by the configuration, in seconds.
func (s *service) moveTold(size float64) float64 { return moveSetup + size*s.moveToken() }

// moveRatio is how many times longer hand-overs take than that, over all workers.
func (s *service) moveRatio(now time.Duration) float64 {
	all := s.moved.Fit(now, sampleLife, 0)
	return (all.SumY + moveHold) / (all.SumX + moveHold)
}

// moveSize is the tokens to be moved between two workers, weighed by distance.
func moveSize(from, to *worker, tokens float64) float64 {
	if from.zone != to.zone {
		return tokens * farMove
	}
	return tokens
}

// moveOf predicts what a worker's part of a hand-over takes, in seconds.
func (s *service) moveOf(now time.Duration, w *worker, size float64) float64 {
	line := w.moved.Fit(now, sampleLife, 1)
	prior := s.moveTold(size) * s.moveRatio(now)
	return estimate.Blend(line.At(size), line.N, prior, estimate.PriorSamples)
}

// learnMove takes in how long a hand-over took, at both of its ends.
func (s *service) learnMove(now time.Duration, call *Call, seconds float64) {
	told := s.moveTold(call.forecast.size)
	s.moved.Add(now, told, min(seconds, told*mostRatio), windowLength)
	for _, w := range []*worker{call.worker, call.source} {
		w.moved.Add(now, call.forecast.size, seconds, windowLength)
	}
}

// handedOver takes in whether a hand-over worked.
func (s *service) handedOver(now time.Duration, call *Call, failed bool) {
	s.handover.all.Add(now, handoverLife, failed)
	if !failed {
		return
	}
	if s.handover.pairs == nil || len(s.handover.pairs) >= mostLinks {
		s.handover.pairs = map[link]strikes{}
	}
	key := link{call.source.number, call.worker.number}
	s.handover.pairs[key] = strikes{s.handover.pairs[key].now(now, linkLife) + 1, now}
}

// linkCost is what a pair's failures add to its estimate, in seconds.
func (s *service) linkCost(now time.Duration, from, to *worker) float64 {
	if len(s.handover.pairs) == 0 {
		return 0
	}
	return linkPenalty * s.handover.pairs[link{from.number, to.number}].now(now, linkLife)
}

// handoverChance is the chance that a hand-over fails.
func (s *service) handoverChance(now time.Duration) float64 {
	return min(mostChance, s.handover.all.Chance(now, handoverLife, handoverOdds, handoverHold))
}

// movePrice is what moving memory counts as, in seconds, by its amount and distance.
func (s *service) movePrice(from, to *worker, tokens float64) float64 {
	bytes := usualToken
	if s.engine != nil && s.engine.KVBytesPerToken > 0 {
		bytes = s.engine.KVBytesPerToken
	}
	price := tokens * bytes / 1e9 * movedPrice
	if from.zone != to.zone {
		price *= farPrice
	}
	return price
}

// sendPrice is what sending a prompt counts as, in seconds.
func sendPrice(w *worker, tokens float64) float64 {
	if w.near {
		return 0
	}
	return tokens * sentPrice
}

// moveBetween predicts a hand-over by the slower of its two ends, in seconds.
func (s *service) moveBetween(now time.Duration, from, to *worker, size float64) float64 {
	return max(s.moveOf(now, from, size), s.moveOf(now, to, size))
}
