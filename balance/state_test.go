package balance

import (
	"flag"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "20261201") }

// stateFixture is a balancer with workers that complete jobs, and a clock.
type stateFixture struct {
	*Balancer
	now time.Duration
	id  RequestID // of the last request
}

func newStateFixture(t testing.TB, workers ...WorkerListing) *stateFixture {
	t.Helper()
	class := Class{LatencyTarget: time.Second, Timeout: 4 * time.Second, Value: 1, Kind: -1}
	nonIdempotent := class
	nonIdempotent.Effect = NonIdempotent
	b, err := New(Settings{Balancers: 1, Resolution: 2 * time.Millisecond,
		Classes: []Class{class, nonIdempotent}, ReportFields: []ReportField{FieldFreeSlots},
		Limits: Limits{MaxAttempts: 2}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	f := &stateFixture{Balancer: b, now: time.Hour}
	f.list(workers...)
	return f
}

func (f *stateFixture) list(workers ...WorkerListing) {
	f.Handle(f.now, ListUpdate{Kind: ListFull, Version: 1, Workers: workers})
}

// request passes one request and returns the worker that it was sent to. With a runTime other than nil the
// request is then served in that time.
func (f *stateFixture) request(runTime func(WorkerID) time.Duration) (worker WorkerID) {
	f.id++
	cost := time.Duration(1+f.id%7) * 10 * time.Millisecond
	r := Request{ID: f.id, Cost: cost, HasCost: true, Deadline: f.now + 4*time.Second}
	for _, a := range f.Handle(f.now, r) {
		if a, ok := a.(Send); ok {
			worker = a.Worker
		}
	}
	if runTime != nil && worker != 0 {
		f.now += runTime(worker)
		f.Handle(f.now, AttemptDone{Request: f.id, Worker: worker, Outcome: Served, Elapsed: runTime(worker),
			Over: true, Report: []float32{3}})
	}
	return worker
}

func unevenRunTime(worker WorkerID) time.Duration {
	return time.Duration(worker) * 20 * time.Millisecond
}

// A restarted worker gets a job soon, although the other workers are known and idle, but is not preferred
// again before it has answered.
func TestBalancer_restartedWorkerGetsFirstJob(t *testing.T) {
	f := newStateFixture(t, WorkerListing{Worker: 1}, WorkerListing{Worker: 2}, WorkerListing{Worker: 9})
	for range 200 {
		f.request(unevenRunTime)
	}
	f.list(WorkerListing{Worker: 1}, WorkerListing{Worker: 2}, WorkerListing{Worker: 9, Started: f.now})
	if to := f.request(nil); to != 9 {
		t.Errorf("first request after the restart of worker 9: got sent to worker %d, want 9", to)
	}
	r := &request{class: &f.settings.Classes[0], job: job{size: 0.04, slots: 1}, Request: Request{Slots: 1}}
	total := func(id WorkerID) float64 { return f.predict(f.now, r, f.fleet.byID[id], 0.1, 1, 1).totalCost }
	if total(9) <= total(1) {
		t.Errorf("cost of worker 9 before it answered: got %.4f, want above worker 1's %.4f", total(9), total(1))
	}
}

// A balancer that imports another's state predicts as that one does. A truncated or corrupted state is
// rejected as a whole or accepted, and in both cases the balancer handles further requests.
func TestBalancer_ImportState(t *testing.T) {
	previous := newStateFixture(t, WorkerListing{Worker: 1}, WorkerListing{Worker: 3, Kind: 1})
	for range 200 {
		previous.request(unevenRunTime)
	}
	successor := newStateFixture(t, WorkerListing{Worker: 1}, WorkerListing{Worker: 3, Kind: 1})
	predictionsDiffer := func() bool {
		r := &request{Request: Request{Slots: 1}, class: &previous.settings.Classes[0],
			job: job{bucket: 3, size: 0.05, slots: 1}}
		difference := 0.0
		predict := func(f *stateFixture, id WorkerID) forecast {
			return f.predict(previous.now, r, f.fleet.byID[id], f.estimator.meanRun.Blend(0, 0), 1, 1)
		}
		for id := range previous.fleet.byID {
			a, b := predict(previous, id), predict(successor, id)
			difference += math.Abs(a.totalCost-b.totalCost) + math.Abs(a.delay-b.delay) +
				math.Abs(a.fullProbability-b.fullProbability)
		}
		return difference > 1e-9
	}
	state, differedBefore := previous.ExportState(), predictionsDiffer()
	if err := successor.ImportState(previous.now, state); err != nil || !differedBefore || predictionsDiffer() {
		t.Errorf("import: got error %v, predictions differed before: %v, after: %v; want no error, true, false",
			err, differedBefore, predictionsDiffer())
	}
	rapid.Check(t, func(t *rapid.T) {
		corrupted := append([]uint64(nil), state...)
		corrupted[rapid.IntRange(0, len(state)-1).Draw(t, "at")] = rapid.Uint64().Draw(t, "word")
		corrupted = corrupted[:rapid.IntRange(0, len(state)).Draw(t, "cut")]
		next, err := New(previous.settings, 2)
		if err != nil {
			t.Fatal(err)
		}
		next.Handle(previous.now, ListUpdate{Kind: ListFull, Workers: []WorkerListing{{Worker: 1}}})
		err = next.ImportState(previous.now, corrupted)
		if (err != nil || len(corrupted) < len(state)) && next.estimator.meanRun.N != 0 {
			t.Fatalf("import of %d of %d words with error %v: got changed estimates, want none",
				len(corrupted), len(state), err)
		}
		next.Handle(previous.now, Request{ID: 1, Deadline: previous.now + time.Second})
	})
}

// An adopted request keeps its attempts: their slots count as in use, a non-idempotent request that may have
// run is not sent again, and an attempt at a worker that is not listed still ends with AttemptDone.
func TestBalancer_Handle_adopted(t *testing.T) {
	f := newStateFixture(t, WorkerListing{Worker: 1}, WorkerListing{Worker: 2})
	adopt := func(id RequestID, attempts ...PriorAttempt) {
		r := Request{ID: id, Class: 1, Deadline: f.now + 4*time.Second}
		f.Handle(f.now, Adopted{Request: r, Attempts: attempts})
	}
	adopt(9, PriorAttempt{Worker: 1}, PriorAttempt{Worker: 2, Out: true, MayHave: true})
	if w := f.fleet.byID[2]; w.inFlightSlots != 1 || f.inFlight != 1 {
		t.Errorf("after adopting one attempt in flight: got %v slots at the worker and %d attempts, want 1 and 1",
			w.inFlightSlots, f.inFlight)
	}
	actions := f.Handle(f.now, AttemptDone{Request: 9, Attempt: 1, Worker: 2, Outcome: Reset})
	if len(actions) != 1 || actions[0] != (Fail{Request: 9}) {
		t.Errorf("after an attempt that may have run was reset: got actions %+v, want one Fail", actions)
	}
	adopt(10, PriorAttempt{Worker: 77, Out: true, MayHave: true})
	f.Handle(f.now, AttemptDone{Request: 10, Worker: 77, Outcome: Served, Over: true})
	if f.inFlight != 0 || len(f.requests) != 0 {
		t.Errorf("after all attempts ended: got %d attempts in flight and %d requests, want 0 and 0",
			f.inFlight, len(f.requests))
	}
}
