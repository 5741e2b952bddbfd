package selection

import (
	"math"
	"time"
)

// Nodes tell each other which workers fail them, so that each need not find out by requests of its own. What several have
// found counts for all.

const (
	minReporters        = 2    // nodes that must have found that a worker fails
	minReporterShare    = 0.03 // and at least this part of the nodes
	maxFailingShare     = 0.5  // a node to which more than this part of a service's workers fail is at fault itself
	maxPeerEjectedShare = 0.2  // part of a class's workers that are set aside by what others have found
	minPeerEjection     = 500 * time.Millisecond
	maxPeerEjection     = 3 * time.Second // drawn, so that not all nodes try a worker again at one moment
)

// applyFailureReports sets workers aside that, with what a node has just told, enough nodes have found to fail.
func (s *Selector) applyFailureReports(now time.Duration, list []Outstanding) {
	for _, service := range s.services {
		var failing []*worker
		for _, entry := range list {
			if w := service.byHash[entry.WorkerHash]; entry.Failing && w != nil {
				failing = append(failing, w)
			}
		}
		if float64(len(failing)) > maxFailingShare*float64(len(service.workers)) {
			continue
		}
		for _, w := range failing {
			service.ejectByReports(now, w)
		}
	}
}

// ejectByReports sends a worker nothing for a while if enough nodes claim that it fails, and not too many workers are set aside.
func (s *service) ejectByReports(now time.Duration, worker *worker) {
	needed := max(minReporters, int(math.Ceil(minReporterShare*float64(s.selector.nodes))))
	if now < worker.health.ejectedUntil || s.selector.failureReporters(now, worker) < needed {
		return
	}
	ejected, peers := 1, s.byClass[worker.class]
	for _, other := range peers {
		if other != worker && now < other.health.ejectedUntil && !other.health.ejectedLocally {
			ejected++
		}
	}
	if float64(ejected) > max(1, maxPeerEjectedShare*float64(len(peers))) {
		return
	}
	span := minPeerEjection + time.Duration(s.selector.random.Float64()*float64(maxPeerEjection-minPeerEjection))
	worker.health.eject(now + span)
}

// failureReporters counts the nodes that lately told that a worker fails.
func (s *Selector) failureReporters(now time.Duration, w *worker) int {
	count := 0
	for _, peer := range s.peers {
		if now-peer.at <= peerStateTTL && peer.byWorker[w.hash].Failing {
			count++
		}
	}
	return count
}
