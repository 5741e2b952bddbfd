package main

import (
	"log/slog"
	"time"
)

// shutdown answers what the node has taken, and returns once all of it is out. Where
// the clients' socket is this process's own, new connections come for a while after
// the signal. Where it is inherited they are the next process's, which also gets
// what is open here. What nobody takes over is answered before the process may be
// killed.
func (n *node) shutdown() {
	began := time.Now()
	slog.Info("leaving", "inherited", n.inherited != nil)
	if n.stopReceiving != nil {
		n.stopReceiving() // who leaves next is to find the one that stays
	}
	n.loop.Call(func() {
		n.shuttingDown = true
		n.front.BeginShutdown()
		if n.agent != nil {
			n.agent.Stop()
		}
		if n.inherited != nil {
			n.discovery.ExcludeWarmingUp()
			n.peers.Close()
		}
		n.peers.Mute()
		if n.batch != nil {
			n.batch.jobs.Stop()
		}
	})
	defer n.leaveDirectory()
	longest := time.Duration(0)
	for _, c := range n.cfg.Settings.Classes {
		longest = max(longest, c.Timeout)
	}
	killed := began.Add(min(longest, maxDrainTime) + drainMargin)
	next := n.successor()
	remaining := shutdownAcceptTime
	if n.inherited == nil {
		n.loop.Call(func() { n.limitDeadlines(killed) })
		n.keepAccepting(began, killed)
		remaining = 0
	}
	drained := make(chan struct{})
	n.loop.Call(func() {
		n.collectHandovers(next)
		if n.inherited != nil {
			n.limitDeadlines(killed)
		}
		slog.Info("leaving: no new connections", "open", n.core.OpenOperations())
		n.front.Stop(remaining, func() {
			select {
			case <-drained:
			default:
				close(drained)
			}
		})
	})
	latest := time.Now().Add(longest + shutdownGrace)
	if next != nil {
		n.handOver(next, drained, latest)
	}
	select {
	case <-drained:
	case <-time.After(time.Until(killed.Add(disconnectWait))):
		slog.Warn("leaving: some clients have not ended their connections")
	}
	if n.batch != nil {
		n.batch.shutdown(n, latest)
	}
	time.Sleep(flushTime)
	n.loop.Call(n.logCounts)
	slog.Info("left")
}

// limitDeadlines has all that clients wait for answered by a time.
func (n *node) limitDeadlines(at time.Time) {
	n.core.LimitDeadlines(n.front, n.loop.Now()+time.Until(at))
}

// keepAccepting lets clients in for as long as they still come, and after that until
// another node tells that it serves: where all are restarted one after the other,
// the next may go before the last is back, and clients would find nobody. A crowd is
// never all gone, and too large for each to tell all others.
func (n *node) keepAccepting(began, killed time.Time) {
	time.Sleep(time.Until(began.Add(shutdownAcceptTime)))
	for alone := true; time.Now().Before(killed.Add(-lastAcceptMargin)); time.Sleep(directoryPollInterval) {
		n.loop.Call(func() { alone = !n.core.PeersHeardWithin(maxPeerSilence) })
		if !alone || n.cfg.PeerListen == "" || len(n.cfg.Peers) < 2 || len(n.cfg.Peers) > maxHeardPeers {
			return
		}
	}
}
