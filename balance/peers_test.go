package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestFleet_applyPeerLoad(t *testing.T) {
	s := testSettings(0)
	s.Balancers = 2
	teller, hearer := newBusyBalancer(t, s), newTestBalancer(t, s, 2)
	hearer.Handle(0, workerList(ListFull, 4))
	at := teller.requests[1].attempts[0].worker.id
	hearer.Handle(0, PeerMessage{From: 1, Payload: teller.fleet.encodeLoad()})
	hearer.Handle(0, PeerMessage{From: 1, Payload: append(teller.fleet.encodeLoad(), 9)})
	if got := hearer.fleet.byID[at].peerSlots; got != 1 {
		t.Errorf("%v slots of peers, want 1", got)
	}
	hearer.fleet.dropSilentPeers(time.Minute)
	if got := hearer.fleet.byID[at].peerSlots; got != 0 || hearer.fleet.freshPeers != 0 {
		t.Errorf("a silent peer still counts: %v slots, %d peers", got, hearer.fleet.freshPeers)
	}
}

// The cost of all messages per request is bounded, at the low request rate of a large fleet and at that of a small one.
func TestFleet_messageInterval_boundsCost(t *testing.T) {
	for _, of := range []struct{ nodes, perSecond int }{{300, 1}, {60, 1}, {3, 30}} {
		s := testSettings(0)
		s.Balancers, s.Costs.Message = of.nodes, 0.0099
		requests, price := 0, 0.0
		for i := range of.nodes {
			s.Ordinal = i
			st := &driver{balancer: newTestBalancer(t, s, uint64(i)), checker: newChecker(s), rng: rand.New(rand.NewPCG(uint64(i), 3))}
			st.handle(workerList(ListFull, 8))
			for st.now = 0; st.now < 10*time.Second; st.now += 10 * time.Millisecond {
				st.fireTimers()
				if st.rng.IntN(100) < of.perSecond {
					requests, st.lastRequest = requests+1, st.lastRequest+1
					st.handle(Request{ID: st.lastRequest, Slots: 1, Deadline: st.now + 4*time.Second})
				}
			}
			for _, a := range st.actions {
				if a, ok := a.(SendToPeers); ok {
					price += s.Costs.Message * float64(len(a.Payload)+messageOverhead) / messageBytes * float64(of.nodes-1)
				}
			}
		}
		if share := price / float64(requests); share > 2*messageCostFraction {
			t.Errorf("%d dispatchers: messages cost %.3f for each request", of.nodes, share)
		} else if of.nodes == 3 && share == 0 {
			t.Error("three dispatchers that could afford it exchanged no messages")
		}
	}
}
