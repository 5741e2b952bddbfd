package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"ospreybend/internal/util/stats"
)

// A worker that fails fast looks idle and would attract all jobs.
func TestBalancer_avoidsFailingWorker(t *testing.T) {
	b := busyBalancer(t, ruleSettings(0))
	w := b.fleet.workers[0]
	for range 100 {
		b.fleet.recordHealth(0, b.fleet.workers[1], 0, false)
	}
	before := b.fleet.failureProbability(0, w, 0)
	b.fleet.recordHealth(0, w, 0, true)
	after := b.fleet.failureProbability(0, w, 0)
	if after < 10*before {
		t.Errorf("failure probability %v after a failure, %v before", after, before)
	}
	if later := b.fleet.failureProbability(time.Minute, w, 0); later > after/2 {
		t.Errorf("failure probability still %v after a minute", later)
	}
}

// When most workers fail, none must look much worse than the rest.
func TestBalancer_fleetWideFailureAvoidsNobody(t *testing.T) {
	b := busyBalancer(t, ruleSettings(0))
	for range 20 {
		for _, w := range b.fleet.workers {
			b.fleet.recordHealth(0, w, 0, true)
		}
	}
	spared := &worker{health: make([]stats.FailureRate, len(b.fleet.health))}
	if tried, other := b.fleet.failureProbability(0, b.fleet.workers[0], 0), b.fleet.failureProbability(0, spared, 0); tried > 1.5*other {
		t.Errorf("failure probability %v at a used worker, %v at an unused one", tried, other)
	}
}

// A rejection by a worker that seemed free counts as a failure: such a worker once attracted 85 times the mean.
func TestBalancer_unexpectedFullIsRecorded(t *testing.T) {
	b := busyBalancer(t, ruleSettings(0))
	a := &b.requests[1].attempts[0]
	a.freeSlots = 4
	before := b.fleet.failureProbability(0, a.worker, 0)
	b.Handle(time.Millisecond, AttemptDone{Request: 1, Worker: a.worker.id, Outcome: Full})
	if after := b.fleet.failureProbability(time.Millisecond, a.worker, 0); after < 10*before {
		t.Errorf("failure probability %v, was %v", after, before)
	}
}

// A worker without a recent report is assumed to have its kind's mean load, not the fleet's.
func TestFleet_freeSlots_ageTowardsKindMean(t *testing.T) {
	b := busyBalancer(t, ruleSettings(0))
	busy, idle := b.fleet.workers[0], b.fleet.workers[1]
	busy.kind, idle.kind = 1, 2
	for range 50 {
		b.fleet.recordReport(0, busy, []float32{0, 3})
		b.fleet.recordReport(0, idle, []float32{4, 0})
	}
	unseen := &worker{kind: 1}
	if got := b.fleet.freeSlots(0, unseen, 0.1); got > -1 {
		t.Errorf("an unseen worker of a kind with three waiting has %v slots free", got)
	}
}

func TestBalancer_resubscribes(t *testing.T) {
	s := ruleSettings(0)
	s.SubscribeDiscovery = true
	st := &stream{b: balancer(t, s, 3), c: newChecker(s), rng: rand.New(rand.NewPCG(1, 1))}
	st.handle(listOf(ListCached, 4))
	var asks []time.Duration
	for st.now < time.Minute {
		st.now += 5 * time.Millisecond
		n := countOf[Subscribe](st.trace)
		st.fire()
		if countOf[Subscribe](st.trace) > n {
			asks = append(asks, st.now)
			st.handle(ListUpdate{Kind: ListFailed})
		}
	}
	if len(asks) < 4 || asks[0] > s.Rules.SubscribeWithin {
		t.Fatalf("subscribed at %v", asks)
	}
	for i := range asks[1:] {
		if wait := asks[i+1] - asks[i]; i > 0 && wait < 500*time.Millisecond || wait > 1505*time.Millisecond {
			t.Errorf("call %d comes %v after the one that failed", i+1, wait)
		}
	}
}

// A worker that fails one class alone is avoided for it and preferred no less for the others.
func TestFleet_healthIsByClass(t *testing.T) {
	b := balancer(t, ruleSettings(0), 1)
	b.Handle(0, listOf(ListFull, 3))
	failing, well := b.fleet.workers[0], b.fleet.workers[1]
	for range 8 {
		b.fleet.recordHealth(0, failing, 0, false)
		b.fleet.recordHealth(0, well, 0, false)
		b.fleet.recordHealth(0, well, 4, false)
	}
	b.fleet.recordHealth(0, failing, 4, true)
	if got, other := b.fleet.failureProbability(0, failing, 4), b.fleet.failureProbability(0, well, 4); got < 0.2 || got < 10*other {
		t.Errorf("failure probability %.3f at the failing worker, %.3f at another", got, other)
	}
	if got := b.fleet.failureProbability(0, failing, 0); got > 0.15 {
		t.Errorf("failure probability %.3f for a class that it serves", got)
	}
}
