package retrybudget

import "time"

// requestCounts counts requests in pieces of a window. A count leaves out a piece that
// is not wholly within the window, so that it is never too high.
type requestCounts struct {
	piece  time.Duration
	counts [parts + 1]int
	pieces [parts + 1]int64 // which piece of time an entry holds
}

func newRequestCounts(window time.Duration) requestCounts {
	counts := requestCounts{piece: max(window/parts, 1)}
	for i := range counts.pieces {
		counts.pieces[i] = -1
	}
	return counts
}

func (c *requestCounts) add(now time.Duration) {
	piece := int64(now / c.piece)
	entry := int(piece % int64(len(c.counts)))
	if c.pieces[entry] != piece {
		c.pieces[entry] = piece
		c.counts[entry] = 0
	}
	c.counts[entry]++
}

// last returns the requests of the window that ends now.
func (c *requestCounts) last(now time.Duration) int {
	newest := int64(now / c.piece)
	oldest := newest - parts + 1
	sum := 0
	for entry, piece := range c.pieces {
		if piece >= oldest && piece <= newest {
			sum += c.counts[entry]
		}
	}
	return sum
}
