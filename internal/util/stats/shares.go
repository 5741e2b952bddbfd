package stats

import "maps"

// Shares counts how often each of many keys occurs. The counts are halved whenever their sum reaches a
// bound, and keys that have occurred once are then dropped, so that the memory is bounded. The zero value
// is ready for use.
type Shares struct {
	counts map[uint64]float64
	total  float64
}

// Add counts a key, and returns its share of the keys before, as if prior others had occurred. The counts
// are halved once they add up to memory.
func (s *Shares) Add(key uint64, memory, prior float64) float64 {
	if s.counts == nil {
		s.counts = map[uint64]float64{}
	}
	share := s.counts[key] / (s.total + prior)
	s.counts[key]++
	if s.total++; s.total >= memory {
		s.halve()
	}
	return share
}

// halve drops the keys that have occurred once, and halves the counts of the others.
func (s *Shares) halve() {
	s.total = 0
	maps.DeleteFunc(s.counts, func(_ uint64, count float64) bool { return count < 2 })
	for key := range s.counts {
		s.counts[key] /= 2
		s.total += s.counts[key]
	}
}
