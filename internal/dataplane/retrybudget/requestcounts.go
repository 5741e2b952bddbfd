package retrybudget

import "time"

// requestCounts counts requests in a ring of slots of time. A slot that is not entirely within the window
// is left out, so that the count is never too high.
type requestCounts struct {
	slotLength time.Duration
	counts     [windowSlots + 1]int
	slots      [windowSlots + 1]int64 // number of the slot that an entry counts; -1: none
}

// newRequestCounts returns counts of zero.
func newRequestCounts(window time.Duration) requestCounts {
	counts := requestCounts{slotLength: max(window/windowSlots, 1)}
	for i := range counts.slots {
		counts.slots[i] = -1
	}
	return counts
}

// add counts a request.
func (c *requestCounts) add(now time.Duration) {
	slot := int64(now / c.slotLength)
	entry := int(slot % int64(len(c.counts)))
	if c.slots[entry] != slot {
		c.slots[entry] = slot
		c.counts[entry] = 0
	}
	c.counts[entry]++
}

// inWindow returns the number of requests of the window that ends now.
func (c *requestCounts) inWindow(now time.Duration) int {
	newest := int64(now / c.slotLength)
	oldest := newest - windowSlots + 1
	sum := 0
	for entry, slot := range c.slots {
		if slot >= oldest && slot <= newest {
			sum += c.counts[entry]
		}
	}
	return sum
}
