package selection

import (
	"math"
	"time"
)

// Nodes tell each other which workers fail them, so that each need not find out by requests of its own. What several have
// found counts for all.

const (
	leastClaims   = 2    // nodes that must have found that a worker fails
	claimShare    = 0.03 // and at least this part of the nodes
	ownFault      = 0.5  // a node to which more than this part of a service's workers fail is at fault itself
	mostSetAside  = 0.2  // part of a class's workers that are set aside by what others have found
	leastSetAside = 500 * time.Millisecond
	longestAside  = 3 * time.Second // drawn, so that not all nodes try a worker again at one moment
)

// takeFindings sets workers aside that, with what a node has just told, enough nodes have found to fail.
func (s *Selector) takeFindings(now time.Duration, list []Outstanding) {
	for _, service := range s.services {
		var failing []*worker
		for _, entry := range list {
			if w := service.byNumber[entry.Worker]; entry.Failing && w != nil {
				failing = append(failing, w)
			}
		}
		if float64(len(failing)) > ownFault*float64(len(service.workers)) {
			continue
		}
		for _, w := range failing {
			service.setAside(now, w)
		}
	}
}

// setAside sends a worker nothing for a while if enough nodes claim that it fails, and not too many workers are set aside.
func (s *service) setAside(now time.Duration, w *worker) {
	needed := max(leastClaims, int(math.Ceil(claimShare*float64(s.selector.nodes))))
	if now < w.health.until || s.selector.claims(now, w) < needed {
		return
	}
	aside, class := 1, s.byClass[w.class]
	for _, other := range class {
		if other != w && now < other.health.until && !other.health.own {
			aside++
		}
	}
	if float64(aside) > max(1, mostSetAside*float64(len(class))) {
		return
	}
	span := leastSetAside + time.Duration(s.selector.random.Float64()*float64(longestAside-leastSetAside))
	w.health.setAside(now + span)
}

// claims counts the nodes that lately told that a worker fails.
func (s *Selector) claims(now time.Duration, w *worker) int {
	count := 0
	for _, told := range s.peers {
		if now-told.at <= peerLife && told.list[w.number].Failing {
			count++
		}
	}
	return count
}
