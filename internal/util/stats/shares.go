package stats

import "maps"

// Shares counts how often each of many keys occurs. Whenever the sum of the counts reaches a bound, the
// counts are halved and keys with a count below 2 are dropped, which bounds the memory. The zero value is
// ready for use.
type Shares struct {
	counts map[uint64]float64
	total  float64
}

// Add counts a key and returns the share that the key had before this call. prior is the number of other
// keys that are assumed to have occurred. The counts are halved once their sum reaches maxTotal.
func (s *Shares) Add(key uint64, maxTotal, prior float64) float64 {
	if s.counts == nil {
		s.counts = map[uint64]float64{}
	}
	share := s.counts[key] / (s.total + prior)
	s.counts[key]++
	if s.total++; s.total >= maxTotal {
		s.halve()
	}
	return share
}

// halve drops the keys with a count below 2 and halves the counts of the others.
func (s *Shares) halve() {
	s.total = 0
	maps.DeleteFunc(s.counts, func(_ uint64, count float64) bool { return count < 2 })
	for key := range s.counts {
		s.counts[key] /= 2
		s.total += s.counts[key]
	}
}
