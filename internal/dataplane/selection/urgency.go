package selection

import "math"

// Workers admit more urgent calls first, and calls of equal urgency in order of arrival. Short prefills
// before long ones minimize the mean wait; the steps are coarse, so that a call is overtaken only by
// much shorter ones.
const (
	highestUrgency = 1    // 0 is reserved for runs whose prompt has been prefilled
	lowestUrgency  = 7    // bounded, so that the longest prefills are not starved
	shortPrefill   = 0.01 // seconds of prefill up to which a call is most urgent
)

// urgencyOf returns the urgency of a prefill that takes that many seconds on an unloaded worker. It
// rises by one each time that the duration doubles; lower values are served first.
func urgencyOf(seconds float64) int {
	if seconds <= shortPrefill {
		return highestUrgency
	}
	return min(lowestUrgency, highestUrgency+int(math.Ceil(math.Log2(seconds/shortPrefill))))
}
