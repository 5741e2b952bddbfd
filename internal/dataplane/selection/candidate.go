package selection

import (
	"slices"
	"time"
)

const (
	unfinishedPrefillWeight = 0.3  // share of its processing time that each own unfinished call at a prefill worker costs
	decodeTimeWeight        = 0.05 // cost of a second of decoding, against 1 for a second before the first event
	streamDisturbanceWeight = 0.3  // share of a prefill's time that it costs for each stream that it delays
	targetTokenGap          = 0.15 // seconds between events above which a decode worker is penalized
	tokenGapPenalty         = 2.   // cost of each second above targetTokenGap
	rereadDelayPerToken     = 3e-5 // seconds for each shared token that is recomputed, for the calls that it delays
	rereadPricePerToken     = 6e-5 // seconds for each shared token that is recomputed within Options.RereadSpan of another use
)

// candidate is an eligible worker and what it is estimated to cost. Scores are in seconds.
type candidate struct {
	worker         *worker
	forecast       forecast // of the call with the prompt; on a decode worker without a prefill worker
	score          float64  // of forecast, with the costs that are added to it
	kvForecast     forecast // of a decode worker: the call that takes over a KV cache, without the transfer
	kvScore        float64  // of kvForecast, with the costs that are added to it
	uncachedTokens float64  // tokens of the prompt that are not in the worker's prefix cache
}

// eligibleWorkers returns the workers of a class that may be sent to: those that are not ejected. If all
// are, it is the one whose ejection ends first; there is no such fallback for prefill workers, since a
// decode worker can do without.
func (s *service) eligibleWorkers(now time.Duration, class workerClass, excluded []string) []*worker {
	eligible := s.scratch.workers[:0]
	var fallback *worker
	for _, w := range s.byClass[class] {
		if slices.Contains(excluded, w.entry.ID) {
			continue
		}
		if w.health.available(now, len(w.calls)) {
			eligible = append(eligible, w)
			continue
		}
		if class == classPrefill {
			continue
		}
		if fallback == nil || w.health.ejectedUntil < fallback.health.ejectedUntil {
			fallback = w
		}
	}
	if len(eligible) == 0 && fallback != nil {
		eligible = append(eligible, fallback)
	}
	s.scratch.workers = eligible
	return eligible
}

// appendCandidates appends the eligible workers of a class to candidates, and adds their load to load.
func (s *service) appendCandidates(now time.Duration, info *requestInfo, class workerClass, excluded []string,
	candidates []candidate, load *serviceLoad) []candidate {
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

// newCandidate estimates what a worker costs at its load. Workers is the number of eligible workers of
// its class, reach that of the affinity targets among them.
func (s *service) newCandidate(now time.Duration, info *requestInfo, worker *worker, load workerLoad, reach float64,
	workers int) candidate {
	cached := 0.
	if worker.class != classPlain {
		cached = s.cachedTokens(info, worker, reach, workers)
	}
	send := sendPrice(worker, info.promptTokens)
	result := candidate{worker: worker, uncachedTokens: info.promptTokens - cached}
	result.forecast = s.predict(now, worker, promptTask(worker.class, info.promptTokens, cached), load)
	result.score = result.forecast.total() + s.ownBacklog(worker, result.forecast) + send + s.rereadCost(info, cached)
	if worker.class == classDecode {
		decode := s.decodeCost(now, info, worker, load)
		result.kvForecast = s.predict(now, worker, task{bucket: transferBucket, unloaded: firstEventTime, transfersKV: true}, load)
		result.kvScore = result.kvForecast.total() + s.ownBacklog(worker, result.kvForecast) + send + decode
		result.score += decode + streamDisturbanceWeight*load.running*result.forecast.run
	}
	return result
}

// promptTask returns the task to compute a prompt, or on a plain worker to serve the request.
func promptTask(class workerClass, tokens, cached float64) task {
	uncached := max(1, tokens-cached)
	if class == classPlain {
		return task{unloaded: plainRequestTime, size: tokens}
	}
	return task{bucket: bucketOf(uncached), unloaded: unloadedTime(class, uncached, cached), size: tokens}
}

// ownBacklog returns the cost of this node's unfinished calls at a worker. They count besides the
// estimated load, since several choices are made before any response reports them.
func (s *service) ownBacklog(w *worker, forecast forecast) float64 {
	own := w.ownCalls()
	if w.class == classPrefill {
		return own.waiting * unfinishedPrefillWeight * forecast.run
	}
	return (own.waiting + own.running) * forecast.run / s.slotsOf(w)
}

// rereadCost returns the cost of computing shared segments that are cached on other workers.
func (s *service) rereadCost(info *requestInfo, cached float64) float64 {
	shared := 0
	for _, segment := range info.sharedSegments {
		shared += segment.Tokens
	}
	uses := assumedUses + info.keyShare*s.popularity.rate()*float64(s.selector.nodes)*s.selector.options.RereadSpan.Seconds()
	return max(0, float64(shared)-cached) * (rereadDelayPerToken + rereadPricePerToken*uses/(1+uses))
}

// decodeCost returns what decoding adds to a decode worker's score: its time, the pressure on the
// worker's KV cache, and a pace at which events come too slowly.
func (s *service) decodeCost(now time.Duration, info *requestInfo, worker *worker, load workerLoad) float64 {
	perToken, output := worker.secondsPerToken(now, load), float64(info.request.OutputTokens)
	cost := decodeTimeWeight*perToken*output + s.memoryPenalty(worker, load, info.promptTokens+output)
	if s.engine != nil {
		cost += tokenGapPenalty * max(0, perToken*float64(s.engine.MaxTokensPerEvent)-targetTokenGap)
	}
	return cost
}
