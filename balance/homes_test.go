package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

// sendKeyedRequests sends requests with keys, one after the other, through balancers that share nothing, and
// returns how many each worker got. With served, each request is served before the next is sent.
func sendKeyedRequests(t *testing.T, balancers, requests int, key func(i int) uint64,
	served bool) map[WorkerID]int {
	t.Helper()
	s := testSettings(0)
	s.Limits.Probes = false
	drivers := make([]*driver, balancers)
	for i := range drivers {
		drivers[i] = &driver{balancer: newTestBalancer(t, s, uint64(i)+1), checker: newChecker(s),
			rng: rand.New(rand.NewPCG(1, 1)), now: time.Second}
		drivers[i].handle(workerList(ListFull, 24))
	}
	counts := map[WorkerID]int{}
	for i := range requests {
		d := drivers[i%balancers]
		d.now += 5 * time.Second // estimates of single workers decay
		seen, id := len(d.actions), RequestID(i+1)
		d.handle(Request{ID: id, Key: key(i), Slots: 1, Deadline: d.now + 4*time.Second})
		for _, a := range d.actions[seen:] {
			if send, ok := a.(Send); ok {
				counts[send.Worker]++
				if served {
					d.handle(AttemptProgress{Request: id, Worker: send.Worker, Started: true})
					d.now += 100 * time.Millisecond
					d.handle(AttemptDone{Request: id, Worker: send.Worker, Outcome: Served,
						Elapsed: 100 * time.Millisecond, Over: true})
				}
			}
		}
	}
	return counts
}

// Balancers that do not communicate send the requests of a key to the same few workers, and those of other
// keys to others. Otherwise each worker would fetch the data of every key from the shared store.
func TestHomes_requestsOfOneKeyShareWorkers(t *testing.T) {
	homes := map[WorkerID]bool{}
	for key := range uint64(30) {
		got, most := sendKeyedRequests(t, 40, 40, func(int) uint64 { return key + 1 }, true), 0
		for id, n := range got {
			if n > most {
				most, homes[id] = n, true
			}
		}
		if most < 36 {
			t.Errorf("key %d: got at most %d of 40 requests at one worker, want at least 36: %v", key, most, got)
		}
	}
	if len(homes) < 12 {
		t.Errorf("homes of 30 keys among 24 workers: got %d, want at least 12", len(homes))
	}
}

// A hot key gets as many homes as its share of the requests needs. A single home would queue all of them.
func TestHomes_hotKeyHasManyHomes(t *testing.T) {
	hot := sendKeyedRequests(t, 1, 600, func(i int) uint64 {
		if i%2 == 0 {
			return 1
		}
		return uint64(2 + i)
	}, true)
	if len(hot) < 16 {
		t.Errorf("workers used: got %d of 24, want at least 16", len(hot))
	}
	for id, n := range hot {
		if n > 150 { // a quarter; if the share did not set the number of homes, the first would get half
			t.Errorf("worker %d: got %d of 600 requests, want at most 150", id, n)
		}
	}
}

// Overflow goes to the next workers in the key's order, which is the same for all balancers. These workers
// then cache the key's data, too.
func TestHomes_overflowOrderIsShared(t *testing.T) {
	got := sendKeyedRequests(t, 10, 60, func(int) uint64 { return 9 }, false)
	if len(got) < 2 || len(got) > 8 {
		t.Errorf("10 balancers with 6 open requests each: got %d workers in use, want 2 to 8: %v", len(got), got)
	}
}

// Requests without a key have no affinity.
func TestHomes_noneWithoutKey(t *testing.T) {
	if got := sendKeyedRequests(t, 40, 40, func(int) uint64 { return 0 }, true); len(got) < 12 {
		t.Errorf("40 requests without a key: got requests at %d workers, want at least 12", len(got))
	}
}

// BenchmarkDecisionAmong200 measures a decision among 200 workers, probes included, with a key and without.
func BenchmarkDecisionAmong200(b *testing.B) {
	for name, keys := range map[string]uint64{"keyed": 1000, "keyless": 1} {
		b.Run(name, func(b *testing.B) {
			s := testSettings(0)
			s.Balancers, s.Limits.Probes = 300, true
			d, err := New(s, 1)
			if err != nil {
				b.Fatal(err)
			}
			now := time.Second
			d.Handle(now, workerList(ListFull, 200))
			id := RequestID(0)
			for b.Loop() {
				id++
				now += 20 * time.Millisecond
				r := Request{ID: id, Key: uint64(id) % keys, Slots: 1, Deadline: now + 4*time.Second}
				pending := append([]Action(nil), d.Handle(now, r)...)
				for len(pending) > 0 {
					a := pending[0]
					pending = pending[1:]
					switch a := a.(type) {
					case Probe:
						done := ProbeDone{Worker: a.Worker, Outcome: Served, Report: []float32{4, 0}}
						pending = append(pending, d.Handle(now, done)...)
					case Send:
						d.Handle(now, AttemptDone{Request: id, Worker: a.Worker, Outcome: Served,
							Elapsed: 10 * time.Millisecond, Over: true})
					}
				}
			}
			if len(d.requests) > 0 {
				b.Errorf("open requests at the end: got %d, want 0", len(d.requests))
			}
		})
	}
}
