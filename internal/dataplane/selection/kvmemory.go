package selection

const (
	memoryHighWatermark       = 0.85  // share of a worker's KV cache that running requests may occupy without a penalty
	memoryPenaltySeconds      = 4.    // penalty for exceeding the watermark by one full capacity, proportional to the excess
	requestTokensPriorSamples = 4.    // weight of defaultRequestTokens, in samples
	defaultRequestTokens      = 3000. // assumed tokens of a running request before any is observed
)

// occupiedTokens estimates how many tokens of a worker's KV cache its requests occupy. The tokens of this
// node's calls are known; requests of other nodes are assumed to have the mean size.
func (s *service) occupiedTokens(w *worker, load workerLoad) float64 {
	own := w.ownCalls()
	others := max(0, load.running+load.waiting-own.running-own.waiting)
	return w.reservedTokens + others*s.estimates[classDecode].requestTokens.Blend(defaultRequestTokens, requestTokensPriorSamples)
}

// memoryPenalty returns the penalty, in seconds, for a request of that many tokens on a worker whose KV
// cache it would fill beyond memoryHighWatermark.
func (s *service) memoryPenalty(w *worker, load workerLoad, tokens float64) float64 {
	over := s.occupiedTokens(w, load) + tokens - memoryHighWatermark*s.kvCapacity()
	return max(0, over/s.kvCapacity()) * memoryPenaltySeconds
}
