package selection

import (
	"math"
	"slices"
	"time"
)

const (
	shortlistSize           = 6     // workers of each side that are combined, besides the best of each zone
	unfinishedPrefillWeight = 0.3   // part of its processing time that each unfinished request at a reader counts as
	decodeTimeWeight        = 0.05  // a second of making tokens against one before the first event
	streamDisturbanceWeight = 0.3   // what reading counts as for each stream that it holds up
	targetTokenGap          = 0.15  // seconds between events from which a decode worker is avoided
	tokenGapPenalty         = 2.    // seconds for each second beyond it
	rereadDelayPerToken     = 3e-5  // seconds that reading a shared token again counts as, for what it holds up
	rereadPricePerToken     = 6e-5  // the same for its price, if it was used within the span that is priced
	tieSeconds              = 0.001 // totals as near as this are ties
	tieShare                = 0.02  // and as near as this part of the least
	noWorkerRetryAfter      = 500 * time.Millisecond
)

// placement is a way to serve a request.
type placement struct {
	prefill, run                 *candidate // from is nil if run reads by itself
	score, firstEvent, queueWait float64
}

// scratchSpace is reused from choice to choice.
type scratchSpace struct {
	workers          []*worker
	prefill, run     []candidate
	prefillShortlist []*candidate
	runShortlist     []*candidate
	placements       []placement
}

// Choose returns where to send a request, or its refusal. Workers whose IDs are excluded are not chosen.
func (s *Selector) Choose(now time.Duration, request *Request, excluded []string) (Choice, Verdict) {
	svc := s.services[request.Service]
	if svc == nil {
		return Choice{}, Verdict{RetryAfter: noWorkerRetryAfter}
	}
	firstChoice := request.info == nil
	info := svc.infoFor(now, request)
	best, load, found := svc.bestPlacement(now, info, excluded)
	if !found {
		return Choice{}, Verdict{RetryAfter: noWorkerRetryAfter}
	}
	if firstChoice && best.run.worker.class != classPlain {
		svc.recordOffered(info, best)
	}
	choice := Choice{Run: best.run.worker.entry, TimeToFirstEvent: seconds(best.firstEvent), Urgency: urgencyOf(best.run.forecast.run)}
	if best.prefill != nil {
		choice.Prefill = best.prefill.worker.entry
		choice.Urgency = urgencyOf(best.prefill.forecast.run)
	}
	return choice, svc.admit(now, info, best, load)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// bestPlacement weighs all ways to serve a request.
func (s *service) bestPlacement(now time.Duration, info *requestInfo, excluded []string) (placement, serviceLoad, bool) {
	var load serviceLoad
	runClass := classPlain
	if len(s.byClass[classDecode]) > 0 || len(s.byClass[classPrefill]) > 0 {
		runClass = classDecode
	}
	scratch := &s.scratch
	scratch.run = s.appendCandidates(now, info, runClass, excluded, scratch.run[:0], &load)
	scratch.prefill = scratch.prefill[:0]
	if runClass == classDecode {
		scratch.prefill = s.appendCandidates(now, info, classPrefill, excluded, scratch.prefill, &load)
	}
	scratch.placements = scratch.placements[:0]
	for i := range scratch.run {
		candidate := &scratch.run[i]
		scratch.placements = append(scratch.placements, placement{nil, candidate, candidate.score, candidate.forecast.total(), candidate.forecast.wait})
	}
	s.appendPairs(now, info)
	best, found := s.selector.lowestScore(scratch.placements)
	return best, load, found
}

// appendPairs adds the pairs of the best workers of each side to the options.
func (s *service) appendPairs(now time.Duration, info *requestInfo) {
	scratch := &s.scratch
	if len(scratch.prefill) == 0 || len(scratch.run) == 0 {
		return
	}
	scratch.prefillShortlist = s.shortlist(scratch.prefill, scratch.prefillShortlist[:0], func(at *candidate) float64 { return at.score })
	scratch.runShortlist = s.shortlist(scratch.run, scratch.runShortlist[:0], func(at *candidate) float64 { return at.kvScore })
	failure := s.transferFailureProbability(now)
	for _, prefill := range scratch.prefillShortlist {
		for _, run := range scratch.runShortlist {
			scratch.placements = append(scratch.placements, s.scorePair(now, prefill, run, failure))
		}
	}
}

// shortlist picks the best few of a side, and the best of each zone.
func (s *service) shortlist(candidates []candidate, selected []*candidate, score func(*candidate) float64) []*candidate {
	for i := range candidates {
		position := len(selected)
		for position > 0 && score(selected[position-1]) > score(&candidates[i]) {
			position--
		}
		if position < shortlistSize {
			selected = slices.Insert(selected, position, &candidates[i])
			selected = selected[:min(len(selected), shortlistSize)]
		}
	}
	var zoneBest [64]*candidate
	for i := range candidates {
		index := candidates[i].worker.zone % len(zoneBest)
		if zoneBest[index] == nil || score(&candidates[i]) < score(zoneBest[index]) {
			zoneBest[index] = &candidates[i]
		}
	}
	for _, best := range zoneBest {
		if best != nil && !slices.Contains(selected, best) {
			selected = append(selected, best)
		}
	}
	return selected
}

// scorePair weighs a hand-over between two workers.
func (s *service) scorePair(now time.Duration, prefill, run *candidate, failure float64) placement {
	size := transferSize(prefill.worker, run.worker, run.uncachedTokens)
	transfer := s.transferTime(now, prefill.worker, run.worker, size)
	firstEvent := prefill.forecast.total() + run.kvForecast.total() + transfer
	score := prefill.score + run.kvScore + transfer
	score += s.transferPrice(prefill.worker, run.worker, run.uncachedTokens) + s.pairPenalty(now, prefill.worker, run.worker)
	score += firstEvent * failure / (1 - failure) // a hand-over that fails is done again
	return placement{prefill, run, score, firstEvent, prefill.forecast.wait + run.kvForecast.wait}
}

// lowestScore picks the option with the least sum, and among ties one at random.
func (s *Selector) lowestScore(placements []placement) (placement, bool) {
	if len(placements) == 0 {
		return placement{}, false
	}
	lowest := math.Inf(1)
	for i := range placements {
		lowest = min(lowest, placements[i].score)
	}
	bound, ties, chosen := lowest+max(tieSeconds, tieShare*lowest), 0, 0
	for i := range placements {
		if placements[i].score > bound {
			continue
		}
		if ties++; s.random.IntN(ties) == 0 {
			chosen = i
		}
	}
	return placements[chosen], true
}
