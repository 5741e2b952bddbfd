package selection

import (
	"time"

	"ospreybend/internal/util/stats"
)

const (
	peerLife   = 900 * time.Millisecond // for which what another node told of its calls counts
	leastWorth = 0.0005                 // seconds of work below which a call is not worth telling of
)

// Outstanding is what one node has under way at one worker.
type Outstanding struct {
	Worker  uint64  // hash of the worker's ID, the same on all nodes
	Waiting float64 // seconds of work that is not answered yet
	Running float64 // requests that are being answered
	Memory  float64 // tokens that they hold
	Failing bool    // calls of this node have failed there: it sends nothing new for a while
}

// peer is what another node told last.
type peer struct {
	at   time.Duration
	list map[uint64]Outstanding
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
	sum := Outstanding{Worker: w.number, Memory: w.memory, Failing: w.health.failing(now)}
	for _, call := range w.calls {
		if call.begun || w.class == classPlain {
			sum.Running++
			continue
		}
		sum.Waiting += max(leastWorth, call.left(now))
	}
	return sum
}

// left is the work of a call that is not answered yet, in seconds.
func (c *Call) left(now time.Duration) float64 {
	elapsed, expected := (now - c.sent).Seconds(), c.forecast.total()
	return c.forecast.run * min(1, max(leastRemain, 1-elapsed/max(expected, leastSeconds)))
}

// Peer takes in what another node has under way. It replaces what that node told before.
func (s *Selector) Peer(now time.Duration, node uint64, list []Outstanding) {
	if s.peers == nil {
		s.peers = map[uint64]peer{}
	}
	told := peer{at: now, list: make(map[uint64]Outstanding, len(list))}
	for _, entry := range list {
		told.list[entry.Worker] = entry
	}
	s.peers[node] = told
	s.takeFindings(now, list)
	for other, old := range s.peers {
		if now-old.at > peerLife {
			delete(s.peers, other)
		}
	}
}

// coverage is the part of the other nodes that have told of their calls lately.
func (s *Selector) coverage(now time.Duration) float64 {
	if s.nodes <= 1 {
		return 0
	}
	fresh := 0.
	for _, told := range s.peers {
		if now-told.at <= peerLife {
			fresh++
		}
	}
	return min(1, fresh/float64(s.nodes-1))
}

// peersAt sums up what other nodes have under way at a worker. Work that they told of is done meanwhile.
func (s *Selector) peersAt(now time.Duration, w *worker) Outstanding {
	sum := Outstanding{Worker: w.number}
	for _, told := range s.peers {
		entry, has := told.list[w.number]
		age := now - told.at
		if !has || age > peerLife {
			continue
		}
		sum.Waiting += max(0, entry.Waiting-age.Seconds())
		sum.Running += entry.Running
		sum.Memory += entry.Memory
	}
	return sum
}

// withPeers replaces an estimate of the load by others as far as other nodes have told of theirs.
func (s *service) withPeers(now time.Duration, w *worker, waiting, running float64) (float64, float64) {
	coverage := s.selector.coverage(now)
	if coverage == 0 {
		return waiting, running
	}
	sum := s.selector.peersAt(now, w)
	told := sum.Waiting / max(leastSeconds, s.pools[w.class].usualSolo(w.class))
	return stats.Between(told, waiting, coverage), stats.Between(sum.Running, running, coverage)
}
