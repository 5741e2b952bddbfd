package balance

import (
	"testing"
	"time"
)

// A worker that has been restarted gets a job soon, though the others are known
// and idle, and no second one before it has been heard of.
func TestRestartedWorkerGetsAFirstJob(t *testing.T) {
	s := Settings{Balancers: 1, Resolution: 2 * time.Millisecond, TellsStart: true,
		Classes: []Class{{Aim: time.Second, GiveUp: 4 * time.Second, Worth: 1, Kind: -1}}, Report: []Field{FieldFreeSlots},
		Limits: Limits{MaxAttempts: 2}}
	b, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	now, id := time.Hour, RequestID(0)
	list := func(started time.Duration) {
		b.Handle(now, ListUpdate{Kind: ListFull, Version: 1, Workers: []Listing{{Worker: 1}, {Worker: 2}, {Worker: 3, Started: started}}})
	}
	// ask sends one request and returns where it went; served it ends it too, more
	// slowly than the pooled mean says at worker 3 alone.
	ask := func(served bool) (to WorkerID) {
		id++
		for _, a := range b.Handle(now, Request{ID: id, Deadline: now + 4*time.Second}) {
			if a, ok := a.(Send); ok {
				to = a.Worker
			}
		}
		if served && to != 0 {
			now += 20 * time.Millisecond
			if to == 3 {
				now += 100 * time.Millisecond
			}
			b.Handle(now, AttemptDone{Request: id, Worker: to, Outcome: Served, Elapsed: 20 * time.Millisecond, Over: true, Report: []float32{4}})
		}
		return to
	}
	list(0)
	for range 200 {
		ask(true)
	}
	list(now)
	if to := ask(false); to != 3 {
		t.Errorf("the first job after the restart went to %d", to)
	}
	for range 5 {
		if to := ask(true); to == 3 {
			t.Error("a further job went there before it was heard of")
		}
	}
}
