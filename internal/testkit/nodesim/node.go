package nodesim

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"ospreybend/balance"
)

// verdict is how an operation ended at its client.
type verdict uint8

// Verdicts.
const (
	served verdict = iota
	rejected
	failed
	lost // no answer: the connection broke, or no node runs
)

const (
	messagePriceBytes = 256 // bytes; the unit of a message's price
	frameBytes        = 16  // bytes that a message has besides its text
)

// start starts the node's process with the endpoint list alone.
func (n *node) start() error {
	s := n.world.day.Settings
	s.Balancers, s.Ordinal = n.world.day.Nodes, n.number
	b, err := balance.New(s, rand.New(rand.NewPCG(n.world.day.Seed, uint64(n.number)<<16|uint64(n.incarnation))).Uint64())
	if err != nil {
		return err
	}
	n.balancer, n.down = b, false
	n.incarnation++
	n.ops, n.known = map[balance.RequestID]*operation{}, map[balance.WorkerID]bool{}
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

// kill ends the process: its clients' connections break.
func (n *node) kill() {
	n.down = true
	// In the order of their numbers: a map's own order would differ from run to run.
	for _, id := range slices.Sorted(maps.Keys(n.ops)) {
		op := n.ops[id]
		for _, s := range op.steps {
			if !s.done {
				n.world.after(n.world.day.OneWay.seconds(n.world.rng), func() { s.worker.cancel(s) })
			}
		}
		n.world.final(op, lost, 0)
	}
}

// begin passes a new operation to the decision module.
func (n *node) begin(op *operation) {
	w := n.world
	w.lastID++
	op.id = w.lastID
	n.ops[op.id] = op
	in := balance.Request{ID: op.id, Class: op.class, Slots: op.slots, Deadline: op.deadline}
	if op.hint > 0 {
		in.Cost, in.HasCost = op.hint, true
	}
	n.handle(in)
}

// handle passes an event to the decision module and executes its actions.
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
			s := n.ops[a.Request].steps[a.Attempt]
			w.after(w.day.OneWay.seconds(w.rng), func() { s.worker.cancel(s) })
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

// connect returns the time to open a connection; 0 if there is one.
func (n *node) connect(id balance.WorkerID) time.Duration {
	if n.known[id] {
		return 0
	}
	n.known[id] = true
	n.world.result.Handshakes++
	return 4 * n.world.day.OneWay.seconds(n.world.rng)
}

func (n *node) send(a balance.Send) {
	w, op, k := n.world, n.ops[a.Request], n.world.byID[a.Worker]
	s := &attempt{operation: op, number: len(op.steps), node: n, incarnation: n.incarnation, worker: k, sentAt: w.now,
		remains: op.work * lognormal(w.rng, w.day.AttemptNoise)}
	op.steps = append(op.steps, s)
	w.after(n.connect(a.Worker)+w.day.OneWay.seconds(w.rng), func() { k.arrive(s) })
}

func (n *node) probe(id balance.WorkerID) {
	w, k := n.world, n.world.byID[id]
	w.result.Probes++
	incarnation, began := n.incarnation, w.now
	w.after(n.connect(id)+w.day.OneWay.seconds(w.rng), func() {
		if k.silent {
			return
		}
		report, outcome := k.shown, balance.Served
		if k.state == balance.Gone {
			report, outcome = nil, balance.ConnectFailed
		}
		w.reach(n, incarnation, func() {
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

// attemptEnded notifies the decision module of an attempt's outcome, and the client if it was served.
func (n *node) attemptEnded(s *attempt, outcome balance.Outcome, report []float32) {
	if s.operation.ended && outcome == balance.Served {
		outcome = balance.Cancelled
	}
	if outcome == balance.Served {
		s.operation.servedBy = s
		n.world.final(s.operation, served, 0)
	}
	n.handle(balance.AttemptDone{Request: s.operation.id, Attempt: s.number, Worker: s.worker.id, Outcome: outcome,
		Elapsed: n.world.now - s.sentAt, Over: s.operation.ended, Report: report})
}

func (n *node) answer(id balance.RequestID, ended verdict, wait time.Duration) {
	n.world.final(n.ops[id], ended, wait)
}
