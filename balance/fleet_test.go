package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"ospreybend/internal/util/stats"
)

// A worker that fails fast looks idle and would attract all jobs.
func TestFleet_failureProbability_risesAfterFailure(t *testing.T) {
	b := newBusyBalancer(t, testSettings(0))
	w := b.fleet.workers[0]
	for range 100 {
		b.fleet.recordResult(0, b.fleet.workers[1], 0, false)
	}
	before := b.fleet.failureProbability(0, w, 0)
	b.fleet.recordResult(0, w, 0, true)
	after := b.fleet.failureProbability(0, w, 0)
	if after < 10*before {
		t.Errorf("failure probability %v after a failure, %v before", after, before)
	}
	if later := b.fleet.failureProbability(time.Minute, w, 0); later > after/2 {
		t.Errorf("failure probability still %v after a minute", later)
	}
}

// When most workers fail, none must look much worse than the rest.
func TestFleet_failureProbability_relativeToFleet(t *testing.T) {
	b := newBusyBalancer(t, testSettings(0))
	for range 20 {
		for _, w := range b.fleet.workers {
			b.fleet.recordResult(0, w, 0, true)
		}
	}
	spared := &worker{failureRates: make([]stats.FailureRate, len(b.fleet.failureRates))}
	if tried, other := b.fleet.failureProbability(0, b.fleet.workers[0], 0), b.fleet.failureProbability(0, spared, 0); tried > 1.5*other {
		t.Errorf("failure probability %v at a used worker, %v at an unused one", tried, other)
	}
}

// A rejection by a worker that seemed free counts as a failure: such a worker once attracted 85 times the mean.
func TestBalancer_unexpectedFullCountsAsFailure(t *testing.T) {
	b := newBusyBalancer(t, testSettings(0))
	a := &b.requests[1].attempts[0]
	a.freeSlots = 4
	before := b.fleet.failureProbability(0, a.worker, 0)
	b.Handle(time.Millisecond, AttemptDone{Request: 1, Worker: a.worker.id, Outcome: Full})
	if after := b.fleet.failureProbability(time.Millisecond, a.worker, 0); after < 10*before {
		t.Errorf("failure probability %v, was %v", after, before)
	}
}

// A worker without a recent report is assumed to have its kind's mean load, not the fleet's.
func TestFleet_freeSlots_unreportedWorkerHasKindMean(t *testing.T) {
	b := newBusyBalancer(t, testSettings(0))
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

func TestBalancer_resubscribesAfterFailedCall(t *testing.T) {
	s := testSettings(0)
	s.SubscribeDiscovery = true
	st := &driver{balancer: newTestBalancer(t, s, 3), checker: newChecker(s), rng: rand.New(rand.NewPCG(1, 1))}
	st.handle(workerList(ListCached, 4))
	var asks []time.Duration
	for st.now < time.Minute {
		st.now += 5 * time.Millisecond
		n := countActions[Subscribe](st.actions)
		st.fireTimers()
		if countActions[Subscribe](st.actions) > n {
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
func TestFleet_failureProbability_byClass(t *testing.T) {
	b := newTestBalancer(t, testSettings(0), 1)
	b.Handle(0, workerList(ListFull, 3))
	failing, well := b.fleet.workers[0], b.fleet.workers[1]
	for range 8 {
		b.fleet.recordResult(0, failing, 0, false)
		b.fleet.recordResult(0, well, 0, false)
		b.fleet.recordResult(0, well, 4, false)
	}
	b.fleet.recordResult(0, failing, 4, true)
	if got, other := b.fleet.failureProbability(0, failing, 4), b.fleet.failureProbability(0, well, 4); got < 0.2 || got < 10*other {
		t.Errorf("failure probability %.3f at the failing worker, %.3f at another", got, other)
	}
	if got := b.fleet.failureProbability(0, failing, 0); got > 0.15 {
		t.Errorf("failure probability %.3f for a class that it serves", got)
	}
}
