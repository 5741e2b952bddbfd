package selection

const (
	memoryHighWatermark       = 0.85  // share of a worker's KV cache up to which running requests may fill it
	memoryPenaltySeconds      = 4.    // cost of exceeding the watermark by the capacity of the KV cache
	requestTokensPriorSamples = 4.    // samples that defaultRequestTokens counts as
	defaultRequestTokens      = 3000. // tokens of a running request before any is seen
)

// occupiedTokens estimates the tokens of KV cache that the running requests of a worker occupy. Those of
// this node's calls are known; requests of other nodes count with the mean size.
func (s *service) occupiedTokens(w *worker, load workerLoad) float64 {
	own := w.ownCalls()
	others := max(0, load.running+load.waiting-own.running-own.waiting)
	return w.reservedTokens + others*s.pools[classDecode].requestTokens.Or(defaultRequestTokens, requestTokensPriorSamples)
}

// memoryPenalty returns the seconds that a request of that many tokens adds to a worker's score as its
// KV cache fills up.
func (s *service) memoryPenalty(w *worker, load workerLoad, tokens float64) float64 {
	over := s.occupiedTokens(w, load) + tokens - memoryHighWatermark*s.kvCapacity()
	return max(0, over/s.kvCapacity()) * memoryPenaltySeconds
}
