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

// candidate is a worker as one half of a pair, or alone.
type candidate struct {
	worker         *worker
	forecast       forecast // reading, for a decode worker alone
	score          float64  // its estimate with what is added to it, in seconds
	kvForecast     forecast // of a decode worker: the first event of what another has read, without the move
	kvScore        float64  // score of the same
	uncachedTokens float64  // tokens of the prompt that it does not keep
}

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

// eligibleWorkers are the workers of a class that may be sent to: those in good health, or the least bad one
// of a class that cannot be done without.
func (s *service) eligibleWorkers(now time.Duration, class workerClass, excluded []string) []*worker {
	eligible := s.scratch.workers[:0]
	var fallback *worker
	for _, w := range s.byClass[class] {
		if slices.Contains(excluded, w.entry.ID) {
			continue
		}
		if w.health.available(now, len(w.calls)) {
			eligible = append(eligible, w)
		} else if class == classPrefill {
			continue // a decode worker can do without
		} else if fallback == nil || w.health.ejectedUntil < fallback.health.ejectedUntil {
			fallback = w
		}
	}
	if len(eligible) == 0 && fallback != nil {
		eligible = append(eligible, fallback)
	}
	s.scratch.workers = eligible
	return eligible
}

// appendCandidates works out the estimates of a class's workers.
func (s *service) appendCandidates(now time.Duration, info *requestInfo, class workerClass, excluded []string, candidates []candidate, load *serviceLoad) []candidate {
	workers := s.eligibleWorkers(now, class, excluded)
	reach := 0.
	if class != classPlain {
		reach = affinityReach(info, workers)
	}
	for _, w := range workers {
		estimated := s.estimateLoad(now, w)
		load.add(class, estimated, s.slotsOf(w))
		candidates = append(candidates, s.newCandidate(now, info, w, estimated, reach, len(workers)))
	}
	return candidates
}

// newCandidate works out one worker's estimate.
func (s *service) newCandidate(now time.Duration, info *requestInfo, worker *worker, load workerLoad, reach float64, workers int) candidate {
	cached := 0.
	if worker.class != classPlain {
		cached = s.cachedTokens(info, worker, reach, workers)
	}
	result := candidate{worker: worker, uncachedTokens: info.promptTokens - cached}
	result.forecast = s.predict(now, worker, promptTask(worker.class, info.promptTokens, cached), load)
	result.score = result.forecast.total() + s.ownBacklog(worker, result.forecast) + sendPrice(worker, info.promptTokens) + s.rereadCost(info, cached)
	if worker.class == classDecode {
		decode := s.decodeCost(now, info, worker, load)
		result.kvForecast = s.predict(now, worker, task{bucket: transferBucket, unloaded: firstEventTime, transfersKV: true}, load)
		result.kvScore = result.kvForecast.total() + s.ownBacklog(worker, result.kvForecast) + sendPrice(worker, info.promptTokens) + decode
		result.score += decode + streamDisturbanceWeight*load.running*result.forecast.run
	}
	return result
}

// promptTask is the task to read a prompt, or of a plain worker to answer.
func promptTask(class workerClass, tokens, cached float64) task {
	uncached := max(1, tokens-cached)
	if class == classPlain {
		return task{unloaded: plainRequestTime, size: tokens}
	}
	return task{bucket: bucketOf(uncached), unloaded: unloadedTime(class, uncached, cached), size: tokens}
}

// ownBacklog is the work of this node's unfinished requests at a worker.
func (s *service) ownBacklog(w *worker, forecast forecast) float64 {
	own := w.ownCalls()
	if w.class == classPrefill {
		return own.waiting * unfinishedPrefillWeight * forecast.run
	}
	return (own.waiting + own.running) * forecast.run / s.slotsOf(w)
}

// rereadCost is what shared parts count as that are read though others keep them.
func (s *service) rereadCost(info *requestInfo, cached float64) float64 {
	shared := 0
	for _, part := range info.sharedSegments {
		shared += part.Tokens
	}
	uses := assumedUses + info.keyShare*s.popularity.rate()*float64(s.selector.nodes)*s.selector.options.RereadSpan.Seconds()
	return max(0, float64(shared)-cached) * (rereadDelayPerToken + rereadPricePerToken*uses/(1+uses))
}

// decodeCost is what making tokens adds to a decode worker's estimate.
func (s *service) decodeCost(now time.Duration, info *requestInfo, worker *worker, load workerLoad) float64 {
	perToken, output := worker.secondsPerToken(now, load), float64(info.request.OutputTokens)
	cost := decodeTimeWeight*perToken*output + s.memoryPenalty(worker, load, info.promptTokens+output)
	if s.engine != nil {
		cost += tokenGapPenalty * max(0, perToken*float64(s.engine.MaxTokensPerEvent)-targetTokenGap)
	}
	return cost
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
