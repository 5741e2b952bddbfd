package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"ospreybend/internal/util/stats"
)

// One failure raises a worker's failure probability for some time. Otherwise a worker that fails fast looks
// idle and attracts all jobs.
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
		t.Errorf("failure probability after a failure: got %v, want at least 10 times %v", after, before)
	}
	if later := b.fleet.failureProbability(time.Minute, w, 0); later > after/2 {
		t.Errorf("failure probability a minute later: got %v, want at most half of %v", later, after)
	}
}

// If all workers fail, those that were used must not look much worse than one that was not.
func TestFleet_failureProbability_relativeToFleet(t *testing.T) {
	b := newBusyBalancer(t, testSettings(0))
	for range 20 {
		for _, w := range b.fleet.workers {
			b.fleet.recordResult(0, w, 0, true)
		}
	}
	unused := &worker{failureRates: make([]stats.FailureRate, len(b.fleet.failureRates))}
	used, other := b.fleet.failureProbability(0, b.fleet.workers[0], 0), b.fleet.failureProbability(0, unused, 0)
	if used > 1.5*other {
		t.Errorf("failure probability of a used worker: got %v, want at most 1.5 times an unused one's %v",
			used, other)
	}
}

// A rejection as full counts as a failure if the worker seemed to have a free slot. A worker that rejected
// everything while it looked idle once attracted 85 times the mean number of requests.
func TestBalancer_unexpectedFullCountsAsFailure(t *testing.T) {
	b := newBusyBalancer(t, testSettings(0))
	a := &b.requests[1].attempts[0]
	a.freeSlots = 4
	before := b.fleet.failureProbability(0, a.worker, 0)
	b.Handle(time.Millisecond, AttemptDone{Request: 1, Worker: a.worker.id, Outcome: Full})
	if after := b.fleet.failureProbability(time.Millisecond, a.worker, 0); after < 10*before {
		t.Errorf("failure probability after the unexpected Full: got %v, want at least 10 times %v", after, before)
	}
}

// A worker without a report is assumed to have the mean load of its kind, not of the fleet.
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
		t.Errorf("free slots of an unreported worker whose kind has 3 queued jobs: got %v, want at most -1", got)
	}
}

// After each failed call the balancer subscribes again within 1.5 s.
func TestBalancer_resubscribesAfterFailedCall(t *testing.T) {
	s := testSettings(0)
	s.SubscribeDiscovery = true
	d := &driver{balancer: newTestBalancer(t, s, 3), checker: newChecker(s), rng: rand.New(rand.NewPCG(1, 1))}
	d.handle(workerList(ListCached, 4))
	var calls []time.Duration
	for d.now < time.Minute {
		d.now += 5 * time.Millisecond
		before := countActions[Subscribe](d.actions)
		d.fireTimers()
		if countActions[Subscribe](d.actions) > before {
			calls = append(calls, d.now)
			d.handle(ListUpdate{Kind: ListFailed})
		}
	}
	if len(calls) < 4 || calls[0] > s.Rules.SubscribeWithin {
		t.Fatalf("subscribed at %v, want at least 4 calls, the first within %v", calls, s.Rules.SubscribeWithin)
	}
	for i := range calls[1:] {
		if wait := calls[i+1] - calls[i]; i > 0 && wait < 500*time.Millisecond || wait > 1505*time.Millisecond {
			t.Errorf("call %d: got a delay of %v after the failed one, want 0.5 s (0 for the first retry) to 1.505 s",
				i+1, wait)
		}
	}
}

// A worker that fails the requests of one class is avoided for that class, but not for the others.
func TestFleet_failureProbability_byClass(t *testing.T) {
	b := newTestBalancer(t, testSettings(0), 1)
	b.Handle(0, workerList(ListFull, 3))
	failing, healthy := b.fleet.workers[0], b.fleet.workers[1]
	for range 8 {
		b.fleet.recordResult(0, failing, 0, false)
		b.fleet.recordResult(0, healthy, 0, false)
		b.fleet.recordResult(0, healthy, 4, false)
	}
	b.fleet.recordResult(0, failing, 4, true)
	got, other := b.fleet.failureProbability(0, failing, 4), b.fleet.failureProbability(0, healthy, 4)
	if got < 0.2 || got < 10*other {
		t.Errorf("failure probability for the failing class: got %.3f, want at least 0.2 and 10 times the healthy "+
			"worker's %.3f", got, other)
	}
	if got := b.fleet.failureProbability(0, failing, 0); got > 0.15 {
		t.Errorf("failure probability for another class: got %.3f, want at most 0.15", got)
	}
}
