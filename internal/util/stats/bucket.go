package stats

import "math"

// Bucket returns the index of x among buckets whose upper bounds, plus one, are the powers of base.
func Bucket(x, base float64) int { return int(math.Log(x+1) / math.Log(base)) }
