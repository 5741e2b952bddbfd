package selection

import "math"

// Workers let in the more urgent requests ahead of the rest, and keep the order of arrival within one
// urgency. Short readings before long ones make the waits of all least; the steps are coarse, so that a
// request is overtaken only by much shorter ones.
const (
	highestUrgency = 1    // 0 is left to requests whose prompt has been read
	lowestUrgency  = 7    // the longest readings are not put behind all others for good
	shortPrefill   = 0.01 // seconds of reading up to which a request is most urgent
)

// urgencyOf gives the urgency of a reading that takes so many seconds by itself; 0 comes first.
func urgencyOf(seconds float64) int {
	if seconds <= shortPrefill {
		return highestUrgency
	}
	return min(lowestUrgency, highestUrgency+int(math.Ceil(math.Log2(seconds/shortPrefill))))
}
