package selection

import (
	"slices"
	"time"
)

const (
	unfinishedPrefillWeight = 0.3  // cost of each own unfinished call at a prefill worker, as a share of the new call's processing time
	decodeTimeWeight        = 0.05 // cost of a second of decoding; a second before the first event costs 1
	streamDelayWeight       = 0.3  // cost of a prefill on a decode worker for each stream that it delays, as a share of its processing time
	targetEventInterval     = 0.15 // seconds between the events of a stream above which a decode worker is penalized
	eventIntervalPenalty    = 2.   // cost of each second above targetEventInterval
	recomputeDelayPerToken  = 3e-5 // seconds for each shared token that is recomputed: the delay of other calls
	recomputeCostPerToken   = 6e-5 // seconds for each shared token that is recomputed within Options.RecomputeWindow of another use
)

// candidate is an eligible worker with its estimated costs. Scores are in seconds; lower is better.
type candidate struct {
	worker         *worker
	forecast       forecast // of the call that computes the prompt; for a decode worker, one that serves the request alone
	score          float64  // total of forecast plus the costs
	pairedForecast forecast // of a decode worker: the run after a prefill elsewhere, without the KV cache transfer
	pairedScore    float64  // total of pairedForecast plus the costs
	uncachedTokens float64  // tokens of the prompt that are not in the worker's prefix cache
}

// eligibleWorkers returns the workers of a class that are neither excluded nor ejected. If all are
// ejected, it returns the one whose ejection ends first. Prefill workers have no such fallback, since a
// decode worker can prefill the prompt itself.
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

// appendCandidates appends a candidate for each eligible worker of a class, and adds the workers' load to
// load.
func (s *service) appendCandidates(now time.Duration, info *requestInfo, class workerClass, excluded []string,
	candidates []candidate, load *serviceLoad) []candidate {
	workers := s.eligibleWorkers(now, class, excluded)
	rankLimit := 0.
	if class != classPlain {
		rankLimit = targetRankLimit(info, workers)
	}
	for _, w := range workers {
		estimated := s.estimateLoad(now, w)
		load.add(class, estimated, s.slotsOf(w))
		candidates = append(candidates, s.newCandidate(now, info, w, estimated, rankLimit, len(workers)))
	}
	return candidates
}

// newCandidate estimates the costs of a worker at its load. Workers is the number of eligible workers of
// its class, rankLimit the rank up to which they are affinity targets.
func (s *service) newCandidate(now time.Duration, info *requestInfo, worker *worker, load workerLoad, rankLimit float64,
	workers int) candidate {
	cached := 0.
	if worker.class != classPlain {
		cached = s.cachedTokens(info, worker, rankLimit, workers)
	}
	sending := sendCost(worker, info.promptTokens)
	result := candidate{worker: worker, uncachedTokens: info.promptTokens - cached}
	result.forecast = s.predict(now, worker, promptTask(worker.class, info.promptTokens, cached), load)
	result.score = result.forecast.total() + s.ownCallsCost(worker, result.forecast) + sending + s.recomputeCost(info, cached)
	if worker.class == classDecode {
		decode := s.decodeCost(now, info, worker, load)
		result.pairedForecast = s.predict(now, worker, task{bucket: transferBucket, unloaded: firstEventTime, transfersKV: true}, load)
		result.pairedScore = result.pairedForecast.total() + s.ownCallsCost(worker, result.pairedForecast) + sending + decode
		result.score += decode + streamDelayWeight*load.running*result.forecast.processing
	}
	return result
}

// promptTask returns the task of computing a prompt or, on a plain worker, of serving the request.
func promptTask(class workerClass, tokens, cached float64) task {
	uncached := max(1, tokens-cached)
	if class == classPlain {
		return task{unloaded: plainRequestTime, size: tokens}
	}
	return task{bucket: bucketOf(uncached), unloaded: unloadedTime(class, uncached, cached), size: tokens}
}

// ownCallsCost returns the cost of this node's unfinished calls at a worker. They are added to the
// estimated load, since several choices are made before a response reports these calls.
func (s *service) ownCallsCost(w *worker, forecast forecast) float64 {
	own := w.ownCalls()
	if w.class == classPrefill {
		return own.waiting * unfinishedPrefillWeight * forecast.processing
	}
	return (own.waiting + own.running) * forecast.processing / s.slotsOf(w)
}

// recomputeCost returns the cost of recomputing the shared segments that are not cached on a worker but
// are likely to be on others.
func (s *service) recomputeCost(info *requestInfo, cached float64) float64 {
	shared := 0
	for _, segment := range info.sharedSegments {
		shared += segment.Tokens
	}
	expectedUses := priorUses + info.keyShare*s.popularity.rate()*float64(s.selector.nodes)*s.selector.options.RecomputeWindow.Seconds()
	return max(0, float64(shared)-cached) * (recomputeDelayPerToken + recomputeCostPerToken*expectedUses/(1+expectedUses))
}

// decodeCost returns the cost of decoding on a worker: the time it takes, the use of the worker's KV
// cache, and a penalty if the events of the stream would be too far apart.
func (s *service) decodeCost(now time.Duration, info *requestInfo, worker *worker, load workerLoad) float64 {
	perToken, output := worker.secondsPerToken(now, load), float64(info.request.OutputTokens)
	cost := decodeTimeWeight*perToken*output + s.memoryPenalty(worker, load, info.promptTokens+output)
	if s.engine != nil {
		cost += eventIntervalPenalty * max(0, perToken*float64(s.engine.MaxTokensPerEvent)-targetEventInterval)
	}
	return cost
}
