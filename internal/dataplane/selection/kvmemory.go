package selection

const (
	memoryHighWatermark       = 0.85  // part of a worker's memory up to which running requests may fill it
	memoryPenaltySeconds      = 4.    // seconds that the whole memory beyond this counts as
	requestTokensPriorSamples = 4.    // samples that a usual request's tokens count as
	defaultRequestTokens      = 3000. // tokens of a running request, until shown
)

// occupiedTokens estimates the tokens that the running requests of a worker hold: this node's are known, those
// of other nodes are of the usual size.
func (s *service) occupiedTokens(w *worker, l workerLoad) float64 {
	own := w.ownCalls()
	others := max(0, l.running+l.waiting-own.running-own.waiting)
	return w.reservedTokens + others*s.pools[classDecode].requestTokens.Or(defaultRequestTokens, requestTokensPriorSamples)
}

// memoryPenalty is what a request adds to a worker's estimate as its memory runs out, in seconds.
func (s *service) memoryPenalty(w *worker, l workerLoad, tokens float64) float64 {
	over := s.occupiedTokens(w, l) + tokens - memoryHighWatermark*s.kvCapacity()
	return max(0, over/s.kvCapacity()) * memoryPenaltySeconds
}
