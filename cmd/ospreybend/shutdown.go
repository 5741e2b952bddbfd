package main

import (
	"log/slog"
	"time"

	"ospreybend/internal/node/hotrestart"
)

// Limits of a graceful shutdown. After the signal, the platform waits for the longest deadline of a request, at most
// maxDrainTime, and 0.7 s more before it may kill the process.
const (
	shutdownAcceptTime = 600 * time.Millisecond // new connections arrive for up to 0.4 s after the signal
	maxDrainTime       = 3 * time.Second
	drainMargin        = 550 * time.Millisecond // of the platform's 0.7 s
	disconnectWait     = 100 * time.Millisecond // for clients to close their side: the exit of the process cuts off data that they have not read
	flushTime          = 50 * time.Millisecond  // for the last responses to be written
	shutdownGrace      = time.Second            // after the longest deadline, for connections that are handed over late

	lastAcceptMargin    = 700 * time.Millisecond // before the drain deadline; no connection is accepted after it
	peerInterval        = 50 * time.Millisecond  // between checks whether a peer serves
	maxPeerHeartbeatAge = 500 * time.Millisecond // a serving node sends heartbeats to its peers more often
	maxAwaitedPeers     = 10                     // with more peers, a planned restart leaves some nodes serving at any time
)

// shutdownPlan holds the deadlines of the steps of a graceful shutdown.
type shutdownPlan struct {
	acceptUntil time.Time // new connections are expected at least until then
	lastAccept  time.Time // no connection is accepted after it
	drained     time.Time // the deadlines of all pending requests end by then
}

// planShutdown returns the plan of a shutdown that began at the given time, for requests with the given longest deadline.
func planShutdown(began time.Time, longest time.Duration) shutdownPlan {
	drained := began.Add(min(longest, maxDrainTime) + drainMargin)
	return shutdownPlan{acceptUntil: began.Add(shutdownAcceptTime), lastAccept: drained.Add(-lastAcceptMargin), drained: drained}
}

// clientsGone returns the time after which the process no longer waits for clients to close their connections.
func (p shutdownPlan) clientsGone() time.Time { return p.drained.Add(disconnectWait) }

// end returns the latest time at which the process exits, not counting the shutdown of the batch API.
func (p shutdownPlan) end() time.Time { return p.clientsGone().Add(flushTime) }

// shutdown finishes the accepted requests and returns once all responses are written. A node with its own listener keeps
// accepting connections for a while after the signal. With an inherited listener, the successor accepts new connections
// and takes over the open ones; the remaining requests are finished before the platform may kill the process. It must not
// be called on the event loop.
func (n *node) shutdown() {
	began := time.Now()
	slog.Info("shutting down", "inherited", n.inherited != nil)
	n.beginShutdown()
	defer n.leaveDirectory()
	longest := n.longestTimeout()
	plan := planShutdown(began, longest)
	successor := n.successor()
	remaining := shutdownAcceptTime
	if n.inherited == nil {
		n.loop.Call(func() { n.limitDeadlines(plan.drained) })
		n.keepAccepting(plan)
		remaining = 0
	}
	drained := n.stopAccepting(successor, plan.drained, remaining)
	latest := time.Now().Add(longest + shutdownGrace)
	if successor != nil {
		n.handOver(successor, drained, latest)
	}
	select {
	case <-drained:
	case <-time.After(time.Until(plan.clientsGone())):
		slog.Warn("shutting down: some clients have not closed their connections")
	}
	if n.batch != nil {
		n.batch.shutdown(n, latest)
	}
	time.Sleep(flushTime)
	n.loop.Call(n.logCounts)
	slog.Info("shut down")
}

// beginShutdown marks the parts as shutting down. It must not be called on the event loop.
func (n *node) beginShutdown() {
	if n.stopReceiving != nil {
		n.stopReceiving() // the next process that shuts down must find the one that remains, not this one
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
}

// longestTimeout returns the longest default deadline of all request classes.
func (n *node) longestTimeout() (longest time.Duration) {
	for _, class := range n.cfg.Settings.Classes {
		longest = max(longest, class.Timeout)
	}
	return longest
}

// stopAccepting makes the front stop accepting connections after the remaining time. The returned channel is closed once
// the front is drained. It must not be called on the event loop.
func (n *node) stopAccepting(successor *hotrestart.Successor, deadline time.Time, remaining time.Duration) <-chan struct{} {
	drained := make(chan struct{})
	n.loop.Call(func() {
		n.collectHandovers(successor)
		if n.inherited != nil {
			n.limitDeadlines(deadline)
		}
		slog.Info("shutting down: no new connections", "open", n.core.OpenOperations())
		n.front.Stop(remaining, func() {
			select {
			case <-drained:
			default:
				close(drained)
			}
		})
	})
	return drained
}

// limitDeadlines shortens the deadlines of all pending requests to the given time if they are later.
func (n *node) limitDeadlines(latest time.Time) {
	n.core.LimitDeadlines(n.front, n.loop.Now()+time.Until(latest))
}

// keepAccepting returns when no more clients are expected and a peer reports that it serves, or at plan.lastAccept. In a
// rolling restart, the next node may stop before the previous one is back, and clients would reach no node at all. Large
// groups do not wait: some of their nodes always serve, and they are too large for each node to send heartbeats to all
// others. It must not be called on the event loop.
func (n *node) keepAccepting(plan shutdownPlan) {
	time.Sleep(time.Until(plan.acceptUntil))
	for alone := true; time.Now().Before(plan.lastAccept); time.Sleep(peerInterval) {
		n.loop.Call(func() { alone = !n.core.PeersHeardWithin(maxPeerHeartbeatAge) })
		if !alone || n.cfg.PeerListen == "" || len(n.cfg.Peers) < 2 || len(n.cfg.Peers) > maxAwaitedPeers {
			return
		}
	}
}
