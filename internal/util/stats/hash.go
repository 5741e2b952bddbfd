package stats

import "math"

// Mix is the finalizer of splitmix64.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Draw is a number from 0 to 1 that two others fix: who draws for the same two draws the same.
func Draw(a, b uint64) float64 { return float64(Mix(a^Mix(b))>>11) / (1 << 53) }

// Bucket gives the place of x among buckets that each reach base times as far as the one before.
func Bucket(x, base float64) int { return int(math.Log(x+1) / math.Log(base)) }
