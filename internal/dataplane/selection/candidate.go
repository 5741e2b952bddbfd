package selection

import (
	"slices"
	"time"
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
