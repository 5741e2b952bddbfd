package retrybudget

import "time"

// requestCounts counts the requests within a sliding window, in a ring of time buckets. It leaves out a bucket
// that is not entirely within the window, so that the count is never too high.
type requestCounts struct {
	bucketLength  time.Duration
	counts        [bucketsPerWindow + 1]int
	bucketNumbers [bucketsPerWindow + 1]int64 // number of the bucket that each entry of counts belongs to; -1: none
}

// newRequestCounts returns empty counts for a window.
func newRequestCounts(window time.Duration) requestCounts {
	counts := requestCounts{bucketLength: max(window/bucketsPerWindow, 1)}
	for i := range counts.bucketNumbers {
		counts.bucketNumbers[i] = -1
	}
	return counts
}

// add counts a request at the time now.
func (c *requestCounts) add(now time.Duration) {
	bucket := int64(now / c.bucketLength)
	index := int(bucket % int64(len(c.counts)))
	if c.bucketNumbers[index] != bucket {
		c.bucketNumbers[index] = bucket
		c.counts[index] = 0
	}
	c.counts[index]++
}

// inWindow returns the number of requests within the window that ends now.
func (c *requestCounts) inWindow(now time.Duration) int {
	newest := int64(now / c.bucketLength)
	oldest := newest - bucketsPerWindow + 1
	sum := 0
	for index, bucket := range c.bucketNumbers {
		if bucket >= oldest && bucket <= newest {
			sum += c.counts[index]
		}
	}
	return sum
}
