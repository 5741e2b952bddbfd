package nodesim

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"ospreybend/balance"
)

// clientResult is the result of an operation as its client sees it.
type clientResult uint8

const (
	served clientResult = iota
	rejected
	failed
	lost // no response: the connection broke, or no node is up
)

const (
	messagePriceBytes = 256 // size of a message with price 1
	frameBytes        = 16  // bytes added to the payload of each message
)

// start starts the node's process, which knows nothing but the endpoint list.
func (n *node) start() error {
	s := n.world.day.Settings
	s.Balancers, s.Ordinal = n.world.day.Nodes, n.number
	b, err := balance.New(s, rand.New(rand.NewPCG(n.world.day.Seed, uint64(n.number)<<16|uint64(n.incarnation))).Uint64())
	if err != nil {
		return err
	}
	n.balancer, n.down = b, false
	n.incarnation++
	n.operations, n.connected = map[balance.RequestID]*operation{}, map[balance.WorkerID]bool{}
	n.listedStart = map[balance.WorkerID]time.Duration{}
	up := balance.ListUpdate{Kind: balance.ListCached}
	for _, k := range n.world.workers {
		if k.state != balance.Gone {
			n.listedStart[k.id] = k.started
			up.Workers = append(up.Workers, k.listing())
		}
	}
	n.handle(up)
	return nil
}

// kill ends the process. Its clients' connections break, and its attempts are cancelled.
func (n *node) kill() {
	n.down = true
	// Sorted, because map order differs between runs and the simulation must be deterministic.
	for _, id := range slices.Sorted(maps.Keys(n.operations)) {
		op := n.operations[id]
		for _, s := range op.attempts {
			if !s.done {
				n.world.after(n.world.day.NetworkDelay.seconds(n.world.rng), func() { s.worker.cancel(s) })
			}
		}
		n.world.finish(op, lost, 0)
	}
}

// submit passes a new operation to the balancer.
func (n *node) submit(op *operation) {
	w := n.world
	w.lastID++
	op.id = w.lastID
	n.operations[op.id] = op
	in := balance.Request{ID: op.id, Class: op.class, Slots: op.slots, Deadline: op.deadline}
	if op.hint > 0 {
		in.Cost, in.HasCost = op.hint, true
	}
	n.handle(in)
}

// handle passes an event to the balancer and executes the resulting actions.
func (n *node) handle(ev balance.Event) {
	w := n.world
	for _, a := range n.balancer.Handle(w.now, ev) {
		switch a := a.(type) {
		case balance.Send:
			n.send(a)
		case balance.Reject:
			n.answer(a.Request, rejected, a.RetryAfter)
		case balance.Fail:
			n.answer(a.Request, failed, 0)
		case balance.Cancel:
			s := n.operations[a.Request].attempts[a.Attempt]
			w.after(w.day.NetworkDelay.seconds(w.rng), func() { s.worker.cancel(s) })
			incarnation := n.incarnation
			w.after(0, func() {
				if !n.down && n.incarnation == incarnation && !s.done {
					s.done = true
					n.handle(balance.AttemptDone{Request: s.operation.id, Attempt: s.number, Worker: s.worker.id, Outcome: balance.Cancelled,
						Elapsed: w.now - s.sentAt, Over: s.operation.ended})
				}
			})
		case balance.SetTimer:
			incarnation := n.incarnation
			w.after(a.After, func() {
				if !n.down && n.incarnation == incarnation {
					n.handle(balance.TimerFired{Token: a.Token})
				}
			})
		case balance.Probe:
			n.probe(a.Worker)
		case balance.SendToPeers:
			n.sendToPeers(a)
		}
	}
}

// connectDelay returns the time to open a connection to a worker, or 0 if one is open.
func (n *node) connectDelay(id balance.WorkerID) time.Duration {
	if n.connected[id] {
		return 0
	}
	n.connected[id] = true
	n.world.result.Handshakes++
	return 4 * n.world.day.NetworkDelay.seconds(n.world.rng)
}

func (n *node) send(a balance.Send) {
	w, op, k := n.world, n.operations[a.Request], n.world.byID[a.Worker]
	s := &attempt{operation: op, number: len(op.attempts), node: n, incarnation: n.incarnation, worker: k, sentAt: w.now,
		remainingWork: op.work * lognormal(w.rng, w.day.AttemptNoise)}
	op.attempts = append(op.attempts, s)
	w.after(n.connectDelay(a.Worker)+w.day.NetworkDelay.seconds(w.rng), func() { k.arrive(s) })
}

func (n *node) probe(id balance.WorkerID) {
	w, k := n.world, n.world.byID[id]
	w.result.Probes++
	incarnation, began := n.incarnation, w.now
	w.after(n.connectDelay(id)+w.day.NetworkDelay.seconds(w.rng), func() {
		if k.unreachable {
			return
		}
		report, outcome := k.publishedReport, balance.Served
		if k.state == balance.Gone {
			report, outcome = nil, balance.ConnectFailed
		}
		w.deliver(n, incarnation, func() {
			n.handle(balance.ProbeDone{Worker: id, Outcome: outcome, Elapsed: w.now - began, Report: report})
		})
	})
}

func (n *node) sendToPeers(message balance.SendToPeers) {
	w := n.world
	for _, to := range w.nodes {
		if to == n || message.To >= 0 && message.To != to.number {
			continue
		}
		w.result.Messages += float64(len(message.Payload)+frameBytes) / messagePriceBytes
		if w.rng.Float64() < w.day.PeerLoss {
			continue
		}
		text := append([]byte(nil), message.Payload...)
		w.after(w.day.PeerDelay.seconds(w.rng), func() {
			if !to.down {
				to.handle(balance.PeerMessage{From: n.number, Payload: text})
			}
		})
	}
}

// attemptEnded passes the outcome of an attempt to the balancer, and ends the operation at the client if it was served.
func (n *node) attemptEnded(s *attempt, outcome balance.Outcome, report []float32) {
	if s.operation.ended && outcome == balance.Served {
		outcome = balance.Cancelled
	}
	if outcome == balance.Served {
		s.operation.servedBy = s
		n.world.finish(s.operation, served, 0)
	}
	n.handle(balance.AttemptDone{Request: s.operation.id, Attempt: s.number, Worker: s.worker.id, Outcome: outcome,
		Elapsed: n.world.now - s.sentAt, Over: s.operation.ended, Report: report})
}

func (n *node) answer(id balance.RequestID, ended clientResult, wait time.Duration) {
	n.world.finish(n.operations[id], ended, wait)
}
