package stats

import "maps"

// Shares counts how often each of many keys comes. It forgets by halves beyond a weight, and then drops
// what has come once.
type Shares struct {
	counts map[uint64]float64
	total  float64
}

// Add takes in that a key has come, and returns its share of those before it, shrunk by a prior of some
// that were all others.
func (s *Shares) Add(key uint64, memory, prior float64) float64 {
	if s.counts == nil {
		s.counts = map[uint64]float64{}
	}
	share := s.counts[key] / (s.total + prior)
	s.counts[key]++
	if s.total++; s.total >= memory {
		s.total = 0
		maps.DeleteFunc(s.counts, func(key uint64, n float64) bool { return n < 2 })
		for key := range s.counts {
			s.counts[key] /= 2
			s.total += s.counts[key]
		}
	}
	return share
}
