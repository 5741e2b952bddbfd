package selection

import (
	"math"
	"time"
)

// Nodes report to each other which workers fail, so that each need not find out by requests of its own.
// A worker that enough nodes report is ejected at all of them.

const (
	minReporters        = 2    // nodes that must report a worker
	minReporterShare    = 0.03 // and at least this share of the nodes
	maxFailingShare     = 0.5  // a node that reports more than this share of a service's workers is at fault itself
	maxPeerEjectedShare = 0.2  // share of a class's workers that are ejected because of reports
	minPeerEjection     = 500 * time.Millisecond
	maxPeerEjection     = 3 * time.Second // drawn, so that not all nodes probe a worker at once
)

// applyFailureReports ejects the workers that, with what a node has just reported, enough nodes report.
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

// ejectByReports ejects a worker for a while if enough nodes report it, and not too many workers of its
// class are ejected because of reports.
func (s *service) ejectByReports(now time.Duration, worker *worker) {
	needed := max(minReporters, int(math.Ceil(minReporterShare*float64(s.selector.nodes))))
	if now < worker.health.ejectedUntil || s.selector.failureReporters(now, worker) < needed {
		return
	}
	ejected, sameClass := 1, s.byClass[worker.class]
	for _, other := range sameClass {
		if other != worker && now < other.health.ejectedUntil && !other.health.ejectedLocally {
			ejected++
		}
	}
	if float64(ejected) > max(1, maxPeerEjectedShare*float64(len(sameClass))) {
		return
	}
	span := minPeerEjection + time.Duration(s.selector.random.Float64()*float64(maxPeerEjection-minPeerEjection))
	worker.health.eject(now + span)
}

// failureReporters counts the nodes whose latest state reports that a worker fails.
func (s *Selector) failureReporters(now time.Duration, w *worker) int {
	count := 0
	for _, peer := range s.peers {
		if now-peer.at <= peerStateTTL && peer.byWorker[w.hash].Failing {
			count++
		}
	}
	return count
}
