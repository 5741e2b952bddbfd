package selection

import (
	"time"

	"ospreybend/internal/util/stats"
)

const (
	peerStateTTL       = 900 * time.Millisecond // for which what another node told of its calls counts
	minOutstandingWork = 0.0005                 // seconds of work below which a call is not worth telling of
)

// Outstanding is what one node has under way at one worker.
type Outstanding struct {
	WorkerHash uint64  // hash of the worker's ID, the same on all nodes
	Waiting    float64 // seconds of work that is not answered yet
	Running    float64 // requests that are being answered
	Memory     float64 // tokens that they hold
	Failing    bool    // calls of this node have failed there: it sends nothing new for a while
}

// peerState is what another node told last.
type peerState struct {
	at       time.Duration
	byWorker map[uint64]Outstanding
}

// Outstanding returns what this node has under way, by worker.
func (s *Selector) Outstanding(now time.Duration) []Outstanding {
	var list []Outstanding
	for _, service := range s.services {
		for _, w := range service.workers {
			if len(w.calls) > 0 || w.health.failing(now) {
				list = append(list, service.outstanding(now, w))
			}
		}
	}
	return list
}

// outstanding sums up this node's calls at a worker.
func (s *service) outstanding(now time.Duration, w *worker) Outstanding {
	sum := Outstanding{WorkerHash: w.hash, Memory: w.reservedTokens, Failing: w.health.failing(now)}
	for _, call := range w.calls {
		if call.started || w.class == classPlain {
			sum.Running++
			continue
		}
		sum.Waiting += max(minOutstandingWork, call.remainingWork(now))
	}
	return sum
}

// remainingWork is the work of a call that is not answered yet, in seconds.
func (c *Call) remainingWork(now time.Duration) float64 {
	elapsed, expected := (now - c.sentAt).Seconds(), c.forecast.total()
	return c.forecast.run * min(1, max(minRemainingShare, 1-elapsed/max(expected, minSeconds)))
}

// SetPeerLoad takes in what another node has under way. It replaces what that node told before.
func (s *Selector) SetPeerLoad(now time.Duration, node uint64, list []Outstanding) {
	if s.peers == nil {
		s.peers = map[uint64]peerState{}
	}
	state := peerState{at: now, byWorker: make(map[uint64]Outstanding, len(list))}
	for _, entry := range list {
		state.byWorker[entry.WorkerHash] = entry
	}
	s.peers[node] = state
	s.applyFailureReports(now, list)
	for other, old := range s.peers {
		if now-old.at > peerStateTTL {
			delete(s.peers, other)
		}
	}
}

// peerCoverage is the part of the other nodes that have told of their calls lately.
func (s *Selector) peerCoverage(now time.Duration) float64 {
	if s.nodes <= 1 {
		return 0
	}
	fresh := 0.
	for _, state := range s.peers {
		if now-state.at <= peerStateTTL {
			fresh++
		}
	}
	return min(1, fresh/float64(s.nodes-1))
}

// peerLoad sums up what other nodes have under way at a worker. Work that they told of is done meanwhile.
func (s *Selector) peerLoad(now time.Duration, w *worker) Outstanding {
	sum := Outstanding{WorkerHash: w.hash}
	for _, state := range s.peers {
		entry, has := state.byWorker[w.hash]
		age := now - state.at
		if !has || age > peerStateTTL {
			continue
		}
		sum.Waiting += max(0, entry.Waiting-age.Seconds())
		sum.Running += entry.Running
		sum.Memory += entry.Memory
	}
	return sum
}

// blendPeerLoad replaces an estimate of the load by others as far as other nodes have told of theirs.
func (s *service) blendPeerLoad(now time.Duration, w *worker, waiting, running float64) (float64, float64) {
	coverage := s.selector.peerCoverage(now)
	if coverage == 0 {
		return waiting, running
	}
	sum := s.selector.peerLoad(now, w)
	waitingByPeers := sum.Waiting / max(minSeconds, s.pools[w.class].typicalUnloadedTime(w.class))
	return stats.WeightedMean(waitingByPeers, waiting, coverage), stats.WeightedMean(sum.Running, running, coverage)
}
