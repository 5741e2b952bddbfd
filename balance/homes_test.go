package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

// keyedRequest sends requests of a key, one after the other, through dispatchers that share nothing, and returns how many
// each worker got. served reports whether a request has ended before the next.
func sendKeyedRequests(t *testing.T, dispatchers, requests int, key func(i int) uint64, served bool) map[WorkerID]int {
	t.Helper()
	s := testSettings(0)
	s.Limits.Probes = false
	all := make([]*driver, dispatchers)
	for i := range all {
		all[i] = &driver{balancer: newTestBalancer(t, s, uint64(i)+1), checker: newChecker(s), rng: rand.New(rand.NewPCG(1, 1)), now: time.Second}
		all[i].handle(workerList(ListFull, 24))
	}
	got := map[WorkerID]int{}
	for i := range requests {
		st := all[i%dispatchers]
		st.now += 5 * time.Second // what was learned of workers one by one is forgotten
		from, id := len(st.actions), RequestID(i+1)
		st.handle(Request{ID: id, Key: key(i), Slots: 1, Deadline: st.now + 4*time.Second})
		for _, a := range st.actions[from:] {
			if send, ok := a.(Send); ok {
				got[send.Worker]++
				if served {
					st.handle(AttemptProgress{Request: id, Worker: send.Worker, Started: true})
					st.now += 100 * time.Millisecond
					st.handle(AttemptDone{Request: id, Worker: send.Worker, Outcome: Served, Elapsed: 100 * time.Millisecond, Over: true})
				}
			}
		}
	}
	return got
}

// Dispatchers without communication send a key's requests to the same few workers, and other keys' to others. Otherwise
// each worker would fetch every key's data from the shared store.
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
			t.Errorf("key %d: of 40 requests at most %d went to one worker: %v", key, most, got)
		}
	}
	if len(homes) < 12 {
		t.Errorf("30 keys have %d homes of 24", len(homes))
	}
}

// A hot key gets as many homes as its share of the requests needs; a single one would have all of them in its queue.
func TestHomes_hotKeyHasManyHomes(t *testing.T) {
	hot := sendKeyedRequests(t, 1, 600, func(i int) uint64 {
		if i%2 == 0 {
			return 1
		}
		return uint64(2 + i)
	}, true)
	if len(hot) < 16 {
		t.Errorf("%d of 24 workers are used", len(hot))
	}
	for id, n := range hot {
		if n > 150 { // a quarter; without homes by share the first has half
			t.Errorf("worker %d got %d of 600", id, n)
		}
	}
}

// Overflow goes to the next workers of the key's order, the same for all dispatchers: they are busy with the key, too, but
// cache its data.
func TestHomes_overflowOrderIsShared(t *testing.T) {
	got := sendKeyedRequests(t, 10, 60, func(int) uint64 { return 9 }, false)
	if len(got) < 2 || len(got) > 8 {
		t.Errorf("six of each of ten dispatchers, none ended, went to %d workers: %v", len(got), got)
	}
}

// Requests without a key have no affinity.
func TestHomes_noneWithoutKey(t *testing.T) {
	if got := sendKeyedRequests(t, 40, 40, func(int) uint64 { return 0 }, true); len(got) < 12 {
		t.Errorf("40 requests without a key went to %d workers", len(got))
	}
}

// BenchmarkDecisionAmong200 measures a decision among 200 workers with answered probes, with a key and without.
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
				todo := append([]Action(nil), d.Handle(now, Request{ID: id, Key: uint64(id) % keys, Slots: 1, Deadline: now + 4*time.Second})...)
				for len(todo) > 0 {
					a := todo[0]
					todo = todo[1:]
					switch a := a.(type) {
					case Probe:
						todo = append(todo, d.Handle(now, ProbeDone{Worker: a.Worker, Outcome: Served, Report: []float32{4, 0}})...)
					case Send:
						d.Handle(now, AttemptDone{Request: id, Worker: a.Worker, Outcome: Served, Elapsed: 10 * time.Millisecond, Over: true})
					}
				}
			}
			if len(d.requests) > 0 {
				b.Errorf("%d requests are open", len(d.requests))
			}
		})
	}
}
