package selection

import "math"

// Workers admit calls with a lower urgency number first, and calls of equal urgency in order of arrival.
// Shortest-first order minimizes the mean wait. The steps are coarse, so that only much shorter calls
// overtake a call.
const (
	highestUrgency = 1    // 0 is reserved for runs whose prompt is already prefilled
	lowestUrgency  = 7    // bounded, so that the longest prefills do not starve
	shortPrefill   = 0.01 // seconds of prefill up to which a call gets highestUrgency
)

// urgencyOf returns the urgency of a prefill with that many seconds of predicted processing. The number
// increases by one each time the duration doubles; lower numbers are admitted first.
func urgencyOf(seconds float64) int {
	if seconds <= shortPrefill {
		return highestUrgency
	}
	return min(lowestUrgency, highestUrgency+int(math.Ceil(math.Log2(seconds/shortPrefill))))
}
