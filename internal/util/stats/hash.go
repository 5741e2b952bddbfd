package stats

// SplitMix64 returns the output of the splitmix64 generator for state x: a hash in which all bits are uniformly
// distributed.
func SplitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// UniformHash returns a hash of the pair (a, b) as a number in [0, 1). It is uniformly distributed over pairs and
// serves as the weight in rendezvous hashing.
func UniformHash(a, b uint64) float64 { return float64(SplitMix64(a^SplitMix64(b))>>11) / (1 << 53) }
