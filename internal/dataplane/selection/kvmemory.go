package selection

const (
	fullMemory    = 0.85  // part of a worker's memory up to which running requests may fill it
	memoryCost    = 4.    // seconds that the whole memory beyond this counts as
	memorySamples = 4.    // samples that a usual request's tokens count as
	heldTokens    = 3000. // tokens of a running request, until shown
)

// held estimates the tokens that the running requests of a worker hold: this node's are known, those
// of other nodes are of the usual size.
func (s *service) held(w *worker, l load) float64 {
	own := w.own()
	others := max(0, l.running+l.waiting-own.running-own.waiting)
	return w.memory + others*s.pools[classDecode].memory.Or(heldTokens, memorySamples)
}

// memoryPenalty is what a request adds to a worker's estimate as its memory runs out, in seconds.
func (s *service) memoryPenalty(w *worker, l load, tokens float64) float64 {
	over := s.held(w, l) + tokens - fullMemory*s.memory()
	return max(0, over/s.memory()) * memoryCost
}
