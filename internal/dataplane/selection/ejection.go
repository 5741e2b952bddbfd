package selection

import (
	"math"
	"time"
)

// Nodes report to each other which workers fail, so that a node need not lose requests of its own to find
// out. Every node ejects the workers that enough nodes report.

const (
	minReporters        = 2    // minimum number of nodes that must report a worker
	minReporterShare    = 0.03 // minimum share of the nodes that must report a worker
	maxFailingShare     = 0.5  // a node that reports more than this share of a service's workers is assumed to be faulty itself
	maxPeerEjectedShare = 0.2  // maximum share of a class's workers that are ejected because of reports
	minPeerEjection     = 500 * time.Millisecond
	maxPeerEjection     = 3 * time.Second // the duration is random, so that not all nodes probe a worker at the same time
)

// applyFailureReports ejects the workers that are reported by enough nodes, now that one node has reported
// list.
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

// ejectByReports ejects a worker for a random time if enough nodes report it and not too many workers of
// its class are already ejected because of reports.
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
	duration := minPeerEjection + time.Duration(s.selector.random.Float64()*float64(maxPeerEjection-minPeerEjection))
	worker.health.ejectByPeers(now + duration)
}

// failureReporters counts the other nodes whose latest state reports that a worker fails.
func (s *Selector) failureReporters(now time.Duration, w *worker) int {
	count := 0
	for _, peer := range s.peers {
		if now-peer.receivedAt <= peerStateTTL && peer.byWorker[w.hash].Failing {
			count++
		}
	}
	return count
}
