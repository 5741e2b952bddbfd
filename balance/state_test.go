package balance

import (
	"flag"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "20261201") }

// stateFixture is a dispatcher with workers that complete jobs.
type stateFixture struct {
	*Balancer
	now time.Duration
	id  RequestID
}

func newStateFixture(t testing.TB, workers ...WorkerListing) *stateFixture {
	t.Helper()
	c := Class{LatencyTarget: time.Second, Timeout: 4 * time.Second, Value: 1, Kind: -1}
	once := c
	once.Effect = NonIdempotent
	b, err := New(Settings{Balancers: 1, Resolution: 2 * time.Millisecond, Classes: []Class{c, once},
		ReportFields: []ReportField{FieldFreeSlots}, Limits: Limits{MaxAttempts: 2}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	l := &stateFixture{Balancer: b, now: time.Hour}
	l.list(workers...)
	return l
}

func (l *stateFixture) list(workers ...WorkerListing) {
	l.Handle(l.now, ListUpdate{Kind: ListFull, Version: 1, Workers: workers})
}

// request sends one request and returns its worker. took, if given, ends it, too.
func (l *stateFixture) request(took func(WorkerID) time.Duration) (to WorkerID) {
	l.id++
	cost := time.Duration(1+l.id%7) * 10 * time.Millisecond
	for _, a := range l.Handle(l.now, Request{ID: l.id, Cost: cost, HasCost: true, Deadline: l.now + 4*time.Second}) {
		if a, ok := a.(Send); ok {
			to = a.Worker
		}
	}
	if took != nil && to != 0 {
		l.now += took(to)
		l.Handle(l.now, AttemptDone{Request: l.id, Worker: to, Outcome: Served, Elapsed: took(to), Over: true, Report: []float32{3}})
	}
	return to
}

func unevenRunTime(to WorkerID) time.Duration { return time.Duration(to) * 20 * time.Millisecond }

// A restarted worker gets a job soon, though the others are known and idle, and no second one before it has answered.
func TestBalancer_restartedWorkerGetsFirstJob(t *testing.T) {
	l := newStateFixture(t, WorkerListing{Worker: 1}, WorkerListing{Worker: 2}, WorkerListing{Worker: 9})
	for range 200 {
		l.request(unevenRunTime)
	}
	l.list(WorkerListing{Worker: 1}, WorkerListing{Worker: 2}, WorkerListing{Worker: 9, Started: l.now})
	if to := l.request(nil); to != 9 {
		t.Errorf("the first job after the restart went to %d", to)
	}
	r := &request{class: &l.settings.Classes[0], job: job{size: 0.04, slots: 1}, Request: Request{Slots: 1}}
	total := func(id WorkerID) float64 { return l.predict(l.now, r, l.fleet.byID[id], 0.1, 1, 1).totalCost }
	if total(9) <= total(1) {
		t.Errorf("still preferred before it answered: %.4f beside %.4f", total(9), total(1))
	}
}

// A dispatcher that imports another's state predicts as that one does. A truncated or changed state is rejected as a
// whole, or read; it breaks nothing.
func TestBalancer_ImportState(t *testing.T) {
	old := newStateFixture(t, WorkerListing{Worker: 1}, WorkerListing{Worker: 3, Kind: 1})
	for range 200 {
		old.request(unevenRunTime)
	}
	next := newStateFixture(t, WorkerListing{Worker: 1}, WorkerListing{Worker: 3, Kind: 1})
	differ := func() bool {
		r := &request{Request: Request{Slots: 1}, class: &old.settings.Classes[0], job: job{bucket: 3, size: 0.05, slots: 1}}
		far := 0.0
		for id := range old.fleet.byID {
			a := old.predict(old.now, r, old.fleet.byID[id], old.estimator.meanRun.Or(0, 0), 1, 1)
			b := next.predict(old.now, r, next.fleet.byID[id], next.estimator.meanRun.Or(0, 0), 1, 1)
			far += math.Abs(a.totalCost-b.totalCost) + math.Abs(a.delay-b.delay) + math.Abs(a.fullProbability-b.fullProbability)
		}
		return far > 1e-9
	}
	row, before := old.ExportState(), differ()
	if err := next.ImportState(old.now, row); err != nil || !before || differ() {
		t.Errorf("%v; other predictions before %v, after %v", err, before, differ())
	}
	rapid.Check(t, func(t *rapid.T) {
		spoilt := append([]uint64(nil), row...)
		spoilt[rapid.IntRange(0, len(row)-1).Draw(t, "at")] = rapid.Uint64().Draw(t, "word")
		spoilt = spoilt[:rapid.IntRange(0, len(row)).Draw(t, "cut")]
		next, err := New(old.settings, 2)
		if err != nil {
			t.Fatal(err)
		}
		next.Handle(old.now, ListUpdate{Kind: ListFull, Workers: []WorkerListing{{Worker: 1}}})
		err = next.ImportState(old.now, spoilt)
		if (err != nil || len(spoilt) < len(row)) && next.estimator.meanRun.N != 0 {
			t.Fatalf("applied in part: %v", err)
		}
		next.Handle(old.now, Request{ID: 1, Deadline: old.now + time.Second})
	})
}

// An adopted request keeps its attempts: a non-idempotent one that may have run is not sent again, its worker's slots are
// taken, and an attempt at an unlisted worker ends by its own event.
func TestBalancer_Handle_adopted(t *testing.T) {
	l := newStateFixture(t, WorkerListing{Worker: 1}, WorkerListing{Worker: 2})
	take := func(id RequestID, tries ...PriorAttempt) {
		l.Handle(l.now, Adopted{Request: Request{ID: id, Class: 1, Deadline: l.now + 4*time.Second}, Attempts: tries})
	}
	take(9, PriorAttempt{Worker: 1}, PriorAttempt{Worker: 2, Out: true, MayHave: true})
	if w := l.fleet.byID[2]; w.inFlightSlots != 1 || l.inFlight != 1 {
		t.Errorf("%v slots in flight at the worker, %d attempts in all", w.inFlightSlots, l.inFlight)
	}
	acts := l.Handle(l.now, AttemptDone{Request: 9, Attempt: 1, Worker: 2, Outcome: Reset})
	if len(acts) != 1 || acts[0] != (Fail{Request: 9}) {
		t.Errorf("after it may have run: %v", acts)
	}
	take(10, PriorAttempt{Worker: 77, Out: true, MayHave: true})
	l.Handle(l.now, AttemptDone{Request: 10, Worker: 77, Outcome: Served, Over: true})
	if l.inFlight != 0 || len(l.requests) != 0 {
		t.Errorf("%d in flight, %d requests left", l.inFlight, len(l.requests))
	}
}
