package balance

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// taught is a dispatcher that has had some jobs done.
func taught(t *testing.T, s Settings, jobs int) (*Balancer, time.Duration) {
	t.Helper()
	b, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	b.Handle(now, twoWorkers)
	for i := range jobs {
		id := RequestID(i + 1)
		now += 10 * time.Millisecond
		for _, a := range b.Handle(now, Request{ID: id, Class: i % 2, Cost: time.Duration(1+i%7) * 10 * time.Millisecond, HasCost: true,
			Deadline: now + 4*time.Second}) {
			if a, ok := a.(Send); ok {
				// Worker 2 is three times as slow, and fails now and then.
				took, outcome := time.Duration(10+i%7*10)*time.Millisecond, Served
				if a.Worker == 2 {
					took *= 3
				}
				if a.Worker == 2 && i%5 == 0 {
					outcome = Errored
				}
				now += took
				b.Handle(now, AttemptDone{Request: id, Worker: a.Worker, Outcome: outcome, Elapsed: took, Over: true, Report: []float32{3}})
			}
		}
	}
	return b, now
}

var twoWorkers = ListUpdate{Kind: ListFull, Version: 1, Workers: []Listing{{Worker: 1}, {Worker: 2, Kind: 1}}}

func memorySettings() Settings {
	c := Class{Aim: time.Second, GiveUp: 4 * time.Second, Worth: 1, Kind: -1}
	return Settings{Balancers: 1, Resolution: 2 * time.Millisecond, Classes: []Class{c, c}, Report: []Field{FieldFreeSlots},
		Limits: Limits{MaxAttempts: 2}}
}

// A dispatcher that takes up what another has learned predicts as that one does.
func TestRecalledPredictionsAreTheSame(t *testing.T) {
	s := memorySettings()
	old, now := taught(t, s, 200)
	next, err := New(s, 2)
	if err != nil {
		t.Fatal(err)
	}
	next.Handle(now, twoWorkers)
	compare := func() (differ bool) {
		for _, cost := range []time.Duration{0, 15 * time.Millisecond, 200 * time.Millisecond} {
			r := &request{Request: Request{Slots: 1}, class: &s.Classes[1], job: job{class: 1, bucket: bucketOf(cost, true), size: cost.Seconds(), slots: 1}}
			for id := range old.fleet.byID {
				a := old.forecast(now, r, old.fleet.byID[id], old.est.run.or(0, 0))
				b := next.forecast(now, r, next.fleet.byID[id], next.est.run.or(0, 0))
				differ = differ || math.Abs(a.total-b.total) > 1e-9 || math.Abs(a.delay-b.delay) > 1e-9 || math.Abs(a.full-b.full) > 1e-9
			}
		}
		return differ
	}
	if !compare() {
		t.Fatal("nothing was learned that would show")
	}
	if err := next.Recall(now, old.Learned()); err != nil {
		t.Fatal(err)
	}
	if compare() {
		t.Error("the predictions differ")
	}
}

// A row that is cut, or has a number changed, is refused or read; it never breaks
// the dispatcher, and one refused has changed nothing.
func TestSpoiltMemory(t *testing.T) {
	s := memorySettings()
	old, now := taught(t, s, 50)
	row := old.Learned()
	rapid.Check(t, func(t *rapid.T) {
		spoilt := append([]uint64(nil), row...)
		if rapid.Bool().Draw(t, "cut") {
			spoilt = spoilt[:rapid.IntRange(0, len(row)-1).Draw(t, "at")]
		} else {
			spoilt[rapid.IntRange(0, len(row)-1).Draw(t, "at")] = rapid.Uint64().Draw(t, "word")
		}
		next, err := New(s, 2)
		if err != nil {
			t.Fatal(err)
		}
		next.Handle(now, twoWorkers)
		if err := next.Recall(now, spoilt); err != nil && next.est.run.n != 0 {
			t.Fatalf("refused, and taken up in part: %v", err)
		}
		next.Handle(now, Request{ID: 1, Deadline: now + time.Second})
		if len(spoilt) < len(row) && next.est.run.n != 0 {
			t.Fatal("a row that was cut has been taken up")
		}
	})
}

// A request taken over keeps its attempts: what may have run and must not run
// twice is not sent again, and a worker with an adopted job is not free.
func TestAdopted(t *testing.T) {
	s := memorySettings()
	s.Classes[1].Effect = Unsafe
	b, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	b.Handle(now, twoWorkers)
	in := Adopted{Request: Request{ID: 9, Class: 1, Deadline: now + 4*time.Second}, Arrived: now - time.Second,
		Tries: []Try{{Worker: 1, SentAt: now - time.Second}, {Worker: 2, SentAt: now - time.Second, Started: now, Out: true, MayHave: true}}}
	if acts := b.Handle(now, in); len(acts) > 1 {
		t.Errorf("more than a timer: %v", acts)
	}
	if w := b.fleet.byID[2]; w.unfinished != 1 || b.out != 1 {
		t.Errorf("%v slots out at the worker, %d in all", w.unfinished, b.out)
	}
	acts := b.Handle(now, AttemptDone{Request: 9, Attempt: 1, Worker: 2, Outcome: Reset, Elapsed: time.Second})
	if len(acts) != 1 || acts[0] != (Fail{Request: 9}) {
		t.Errorf("after it may have run: %v", acts)
	}
	// One at a worker that this process has never heard of ends as it ends.
	b.Handle(now, Adopted{Request: Request{ID: 10, Deadline: now + 4*time.Second},
		Tries: []Try{{Worker: 77, SentAt: now, Out: true, MayHave: true}}})
	b.Handle(now, AttemptDone{Request: 10, Worker: 77, Outcome: Served, Elapsed: time.Second, Over: true})
	if b.out != 0 || len(b.requests) != 0 {
		t.Errorf("%d out, %d requests left", b.out, len(b.requests))
	}
}
