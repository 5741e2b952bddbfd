package selection

import (
	"time"

	"ospreybend/internal/util/stats"
)

const (
	peerStateTTL       = 900 * time.Millisecond // the state of another node is used for this long
	minOutstandingWork = 0.0005                 // minimum seconds of work of a call without a response
)

// Outstanding summarizes the calls that one node has in flight at one worker.
type Outstanding struct {
	WorkerHash     uint64  // hash of the worker's ID; all nodes compute the same
	WaitingWork    float64 // remaining seconds of work of the calls without a response yet
	Running        float64 // number of calls whose response has begun
	ReservedTokens float64 // tokens of KV cache that the calls reserve
	Failing        bool    // the node has ejected the worker due to failures of its own calls
}

// peerState is the latest state received from another node.
type peerState struct {
	receivedAt time.Duration
	byWorker   map[uint64]Outstanding
}

// Outstanding returns this node's state for its peers: an entry for each worker with calls in flight or
// with an ejection to report.
func (s *Selector) Outstanding(now time.Duration) []Outstanding {
	var list []Outstanding
	for _, service := range s.services {
		for _, w := range service.workers {
			if len(w.calls) > 0 || w.health.ejectedByOwnCalls(now) {
				list = append(list, outstandingOf(now, w))
			}
		}
	}
	return list
}

// outstandingOf summarizes this node's calls at a worker.
func outstandingOf(now time.Duration, w *worker) Outstanding {
	sum := Outstanding{WorkerHash: w.hash, ReservedTokens: w.reservedTokens, Failing: w.health.ejectedByOwnCalls(now)}
	for _, call := range w.calls {
		if call.started || w.class == classPlain {
			sum.Running++
			continue
		}
		sum.WaitingWork += max(minOutstandingWork, call.remainingWork(now))
	}
	return sum
}

// remainingWork estimates the seconds of work that remain of a call without a response yet.
func (c *Call) remainingWork(now time.Duration) float64 {
	elapsed, expected := (now - c.sentAt).Seconds(), c.forecast.total()
	return c.forecast.processing * min(1, max(minRemainingShare, 1-elapsed/max(expected, minSeconds)))
}

// SetPeerLoad replaces the state of another node. It also drops expired states, and ejects workers that
// enough nodes report as failing.
func (s *Selector) SetPeerLoad(now time.Duration, node uint64, list []Outstanding) {
	if s.peers == nil {
		s.peers = map[uint64]peerState{}
	}
	state := peerState{receivedAt: now, byWorker: make(map[uint64]Outstanding, len(list))}
	for _, entry := range list {
		state.byWorker[entry.WorkerHash] = entry
	}
	s.peers[node] = state
	s.applyFailureReports(now, list)
	for other, old := range s.peers {
		if now-old.receivedAt > peerStateTTL {
			delete(s.peers, other)
		}
	}
}

// peerCoverage returns the share of the other nodes whose state is known and has not expired.
func (s *Selector) peerCoverage(now time.Duration) float64 {
	if s.nodes <= 1 {
		return 0
	}
	fresh := 0.
	for _, state := range s.peers {
		if now-state.receivedAt <= peerStateTTL {
			fresh++
		}
	}
	return min(1, fresh/float64(s.nodes-1))
}

// peerLoad sums up what other nodes have in flight at a worker. The waiting work in a state decreases with
// the state's age, as the worker processes it.
func (s *Selector) peerLoad(now time.Duration, w *worker) Outstanding {
	sum := Outstanding{WorkerHash: w.hash}
	for _, state := range s.peers {
		entry, found := state.byWorker[w.hash]
		age := now - state.receivedAt
		if !found || age > peerStateTTL {
			continue
		}
		sum.WaitingWork += max(0, entry.WaitingWork-age.Seconds())
		sum.Running += entry.Running
		sum.ReservedTokens += entry.ReservedTokens
	}
	return sum
}

// blendPeerLoad returns the mean of an estimate of the foreign load and the load by the states of the other
// nodes, which has the weight of peerCoverage.
func (s *service) blendPeerLoad(now time.Duration, w *worker, waiting, running float64) (blendedWaiting, blendedRunning float64) {
	coverage := s.selector.peerCoverage(now)
	if coverage == 0 {
		return waiting, running
	}
	sum := s.selector.peerLoad(now, w)
	waitingByPeers := sum.WaitingWork / max(minSeconds, s.estimates[w.class].typicalUnloadedTime(w.class))
	return stats.WeightedMean(waitingByPeers, waiting, coverage), stats.WeightedMean(sum.Running, running, coverage)
}
