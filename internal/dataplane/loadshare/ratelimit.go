package loadshare

import (
	"slices"
	"time"

	"ospreybend/internal/dataplane/selection"
)

const (
	usualRate = 400. // datagrams a second that a node of a fleet may send
	largeRate = 8.   // the same in a large fleet, where states come too late to help
	largeFrom = 128  // peers from which a fleet is large
	rounding  = 1e-6 // datagrams below which nothing is missing
	burst     = 40.  // datagrams that may be sent at once after a rest
	// Repeat is after how long an unchanged state that is not empty is sent again.
	Repeat = 300 * time.Millisecond
)

// foremost are the entries of failing workers, and those with most work, as many as a message holds.
func foremost(list []selection.Outstanding) []selection.Outstanding {
	if len(list) <= mostEntries {
		return list
	}
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b selection.Outstanding) int {
		switch {
		case a.Failing != b.Failing:
			if a.Failing {
				return -1
			}
			return 1
		case a.Waiting > b.Waiting:
			return -1
		case a.Waiting < b.Waiting:
			return 1
		}
		return 0
	})
	return list[:mostEntries]
}

// Pace bounds how many datagrams a node sends, so that the cost at a node does not grow with the fleet.
type Pace struct {
	tokens float64
	at     time.Duration
}

// rateFor is how many datagrams a second a node with so many peers may send.
func rateFor(peers int) float64 {
	if peers > largeFrom {
		return largeRate
	}
	return usualRate
}

// Wait returns how long a state for so many peers is to be held back, and takes the datagrams from the budget
// if that is zero.
func (p *Pace) Wait(now time.Duration, peers int) time.Duration {
	rate := rateFor(peers)
	most := max(burst, float64(peers))
	p.tokens = min(most, p.tokens+rate*(now-p.at).Seconds())
	p.at = now
	missing := float64(peers) - p.tokens
	if missing <= rounding {
		p.tokens -= float64(peers)
		return 0
	}
	return time.Duration(missing / rate * float64(time.Second))
}

// Order drops messages that are older than what their sender told last.
type Order struct{ last map[uint64]uint64 }

const mostSenders = 4096

// Newer tells whether a message is newer than all before from its sender.
func (o *Order) Newer(m Message) bool {
	if o.last == nil || len(o.last) > mostSenders {
		o.last = map[uint64]uint64{}
	}
	if m.Sequence <= o.last[m.Node] {
		return false
	}
	o.last[m.Node] = m.Sequence
	return true
}
