package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A peer's message replaces its earlier one, whose load is dropped once the peer is silent for too long. An
// incomplete entry at the end of a message is ignored.
func TestFleet_applyPeerLoad(t *testing.T) {
	s := testSettings(0)
	s.Balancers = 2
	sender, receiver := newBusyBalancer(t, s), newTestBalancer(t, s, 2)
	receiver.Handle(0, workerList(ListFull, 4))
	worker := sender.requests[1].attempts[0].worker.id
	receiver.Handle(0, PeerMessage{From: 1, Payload: sender.fleet.encodeLoad()})
	receiver.Handle(0, PeerMessage{From: 1, Payload: append(sender.fleet.encodeLoad(), 9)})
	if got := receiver.fleet.byID[worker].peerSlots; got != 1 {
		t.Errorf("peers' slots at the worker after two messages: got %v, want 1", got)
	}
	receiver.fleet.dropSilentPeers(time.Minute)
	if got := receiver.fleet.byID[worker].peerSlots; got != 0 || receiver.fleet.freshPeers != 0 {
		t.Errorf("after the peer was silent for a minute: got %v slots and %d peers, want 0 and 0",
			got, receiver.fleet.freshPeers)
	}
}

// The cost of all messages per request is bounded, at the low request rate of a large number of balancers and
// at the higher one of a small number.
func TestFleet_messageInterval_boundsCost(t *testing.T) {
	for _, c := range []struct{ balancers, perSecond int }{{300, 1}, {60, 1}, {3, 30}} {
		s := testSettings(0)
		s.Balancers, s.Costs.Message = c.balancers, 0.0099
		requests, cost := 0, 0.0
		for i := range c.balancers {
			s.Ordinal = i
			d := &driver{balancer: newTestBalancer(t, s, uint64(i)), checker: newChecker(s),
				rng: rand.New(rand.NewPCG(uint64(i), 3))}
			d.handle(workerList(ListFull, 8))
			for d.now = 0; d.now < 10*time.Second; d.now += 10 * time.Millisecond {
				d.fireTimers()
				if d.rng.IntN(100) < c.perSecond {
					requests, d.lastRequest = requests+1, d.lastRequest+1
					d.handle(Request{ID: d.lastRequest, Slots: 1, Deadline: d.now + 4*time.Second})
				}
			}
			for _, a := range d.actions {
				if a, ok := a.(SendToPeers); ok {
					bytes := float64(len(a.Payload) + messageOverhead)
					cost += s.Costs.Message * bytes / messageBytes * float64(c.balancers-1)
				}
			}
		}
		if costPerRequest := cost / float64(requests); costPerRequest > 2*messageCostFraction {
			t.Errorf("%d balancers: got a message cost of %.3f per request, want at most %.3f",
				c.balancers, costPerRequest, 2*messageCostFraction)
		} else if c.balancers == 3 && costPerRequest == 0 {
			t.Error("3 balancers that can afford messages sent none")
		}
	}
}
