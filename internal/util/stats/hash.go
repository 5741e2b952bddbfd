package stats

// Mix returns the finalizer of splitmix64 of x, a hash whose bits are all evenly distributed.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Draw returns a number in [0, 1) that is uniformly distributed over pairs, and always the same for the
// same pair. It is the weight of rendezvous hashing.
func Draw(a, b uint64) float64 { return float64(Mix(a^Mix(b))>>11) / (1 << 53) }
