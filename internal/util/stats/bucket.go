package stats

import "math"

// Bucket returns the index of x among exponential buckets: bucket i holds the values from base^i - 1 up to base^(i+1) - 1.
func Bucket(x, base float64) int { return int(math.Log(x+1) / math.Log(base)) }
