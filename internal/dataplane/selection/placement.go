package selection

import (
	"math"
	"slices"
	"time"
)

const (
	shortlistSize      = 6     // candidates of each stage that are paired, in addition to the best of each zone
	maxShortlistZones  = 64    // zones beyond this number share an entry
	tieSeconds         = 0.001 // scores within this many seconds of the lowest are ties
	tieShare           = 0.02  // scores within this share of the lowest are ties as well
	noWorkerRetryAfter = 500 * time.Millisecond
)

// placement is a possible assignment of a request: to a pair of a prefill and a decode worker, or to a
// single worker.
type placement struct {
	prefill, run *candidate // prefill is nil if run prefills the prompt itself
	score        float64    // seconds; the placement with the lowest score is chosen
	firstEvent   float64    // predicted seconds to the first event
	queueWait    float64    // the part of firstEvent that is spent in queues
}

// scratchSpace has buffers that are reused by all choices, so that a choice does not allocate.
type scratchSpace struct {
	workers          []*worker
	prefill, run     []candidate
	prefillShortlist []*candidate
	runShortlist     []*candidate
	placements       []placement
}

// Choose returns the workers to send a request to, and whether it is admitted. Workers whose IDs are in
// excluded are not chosen. The Choice is empty if no worker is eligible.
func (s *Selector) Choose(now time.Duration, request *Request, excluded []string) (Choice, AdmissionDecision) {
	svc := s.services[request.Service]
	if svc == nil {
		return Choice{}, AdmissionDecision{RetryAfter: noWorkerRetryAfter}
	}
	firstChoice := request.info == nil
	info := svc.infoFor(now, request)
	best, load, found := svc.bestPlacement(now, info, excluded)
	if !found {
		return Choice{}, AdmissionDecision{RetryAfter: noWorkerRetryAfter}
	}
	if firstChoice && best.run.worker.class != classPlain {
		svc.recordOffered(info, best)
	}
	return best.choice(), svc.admit(now, info, best, load)
}

// Admits reports whether Choose would now find workers for a request that has been placed before, and admit it. Unlike Choose it does not
// count the request as a further one. Where load is shed at random, it draws the decision as Choose does. For a last attempt the workers
// must have room too, since the request could not be sent to another one after a rejection.
func (s *Selector) Admits(now time.Duration, request *Request, excluded []string, lastAttempt bool) bool {
	svc := s.services[request.Service]
	if svc == nil {
		return false
	}
	info := svc.infoFor(now, request)
	best, load, found := svc.bestPlacement(now, info, excluded)
	if !found || lastAttempt && !svc.hasRoom(now, best) {
		return false
	}
	typicalUnloaded := svc.admission.typicalUnloaded(request, best.firstEvent-best.queueWait)
	return svc.drawAdmission(now, request, best, load, typicalUnloaded).Admit
}

// hasRoom reports whether each worker of a placement is available and has a free slot, as far as this node knows.
func (s *service) hasRoom(now time.Duration, p placement) bool {
	return s.hasFreeSlot(now, p.run.worker) && (p.prefill == nil || s.hasFreeSlot(now, p.prefill.worker))
}

// hasFreeSlot reports whether a worker is not ejected and has fewer calls, of this node and others, than slots.
func (s *service) hasFreeSlot(now time.Duration, w *worker) bool {
	waiting, running := s.foreignLoad(now, w)
	return w.health.available(now, len(w.calls)) && waiting+running+float64(len(w.calls)) < s.slotsOf(w)
}

// choice returns the placement as a Choice.
func (p placement) choice() Choice {
	promptWorker := p.run
	choice := Choice{Run: p.run.worker.entry, TimeToFirstEvent: seconds(p.firstEvent)}
	if p.prefill != nil {
		promptWorker = p.prefill
		choice.Prefill = p.prefill.worker.entry
	}
	choice.Urgency = urgencyOf(promptWorker.forecast.processing)
	return choice
}

// seconds returns a duration of s seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// bestPlacement returns the placement with the lowest score, and the total load of the eligible workers.
// It returns false if no worker is eligible.
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
		scratch.placements = append(scratch.placements, unpairedPlacement(&scratch.run[i]))
	}
	s.appendPairs(now)
	best, found := s.selector.lowestScore(scratch.placements)
	return best, load, found
}

// unpairedPlacement returns the placement on a worker that serves the request without a prefill worker.
func unpairedPlacement(run *candidate) placement {
	return placement{run: run, score: run.score, firstEvent: run.forecast.total(), queueWait: run.forecast.queueWait}
}

// appendPairs appends all pairs of shortlisted prefill and decode workers to the placements.
func (s *service) appendPairs(now time.Duration) {
	scratch := &s.scratch
	if len(scratch.prefill) == 0 || len(scratch.run) == 0 {
		return
	}
	scratch.prefillShortlist = shortlist(scratch.prefill, scratch.prefillShortlist[:0], func(c *candidate) float64 { return c.score })
	scratch.runShortlist = shortlist(scratch.run, scratch.runShortlist[:0], func(c *candidate) float64 { return c.pairedScore })
	failureProbability := s.transferFailureProbability(now)
	for _, prefill := range scratch.prefillShortlist {
		for _, run := range scratch.runShortlist {
			scratch.placements = append(scratch.placements, s.scorePair(now, prefill, run, failureProbability))
		}
	}
}

// shortlist appends to selected the shortlistSize candidates with the lowest scores, and the best one of
// each zone, so that there are pairs within a zone.
func shortlist(candidates []candidate, selected []*candidate, score func(*candidate) float64) []*candidate {
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
	var zoneBest [maxShortlistZones]*candidate
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

// scorePair returns the placement of a prefill on one worker and a run on another, which the KV cache is
// transferred to. FailureProbability is that of the transfer.
func (s *service) scorePair(now time.Duration, prefill, run *candidate, failureProbability float64) placement {
	size := transferSize(prefill.worker, run.worker, run.uncachedTokens)
	transfer := s.transferTime(now, prefill.worker, run.worker, size)
	firstEvent := prefill.forecast.total() + run.pairedForecast.total() + transfer
	score := prefill.score + run.pairedScore + transfer
	score += s.transferCost(prefill.worker, run.worker, run.uncachedTokens) + s.pairPenalty(now, prefill.worker, run.worker)
	score += firstEvent * failureProbability / (1 - failureProbability) // expected repetitions because of failed transfers
	return placement{prefill: prefill, run: run, score: score, firstEvent: firstEvent,
		queueWait: prefill.forecast.queueWait + run.pairedForecast.queueWait}
}

// lowestScore returns the placement with the lowest score, or a random one of those that tie with it. It
// returns false if there are no placements.
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
		if ties++; s.random.IntN(ties) == 0 { // reservoir sampling
			chosen = i
		}
	}
	return placements[chosen], true
}
