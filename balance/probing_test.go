package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// probingBalancer is a dispatcher of 300 with 160 workers that it has not heard of, one in eight cold
// with budget left, and one request. Its probes are answered as reported; it returns who was
// asked, and what became of the request, and when. Without a report a worker wants nothing new.
func probingBalancer(t *testing.T, seed uint64, reported func(asked int) []float32, with ...func(*Balancer)) ([]WorkerID, Action, time.Duration) {
	return probingBalancerWith(t, seed, 0, reported, with...)
}

// probingBalancerWith is the same with a key.
func probingBalancerWith(t *testing.T, seed, key uint64, reported func(asked int) []float32, with ...func(*Balancer)) (asked []WorkerID, end Action, at time.Duration) {
	s := ruleSettings(0)
	s.Balancers, s.Limits.Probes = 300, true
	st := &stream{b: balancer(t, s, seed), c: newChecker(s), rng: rand.New(rand.NewPCG(seed, 4)), now: 12 * time.Second}
	up := listOf(ListFull, 160)
	for i := range up.Workers[:20] {
		up.Workers[i].Started = 10 * time.Second
	}
	st.give(up)
	for _, f := range with {
		f(st.b)
	}
	for _, w := range st.b.fleet.workers {
		w.warmupTokens, w.warmupTokensAt = 1, st.now
	}
	st.b.inFlight = 1 // with nothing out it would send in any case
	st.give(Request{ID: 1, Key: key, HasCost: true, Cost: 100 * time.Millisecond, Slots: 1, Deadline: st.now + 4*time.Second})
	for seen := 0; st.now < 20*time.Second; st.now += time.Millisecond {
		st.fire()
		for ; seen < len(st.trace); seen++ {
			switch a := st.trace[seen].(type) {
			case Probe:
				asked = append(asked, a.Worker)
				done := ProbeDone{Worker: a.Worker, Outcome: Full, Report: reported(len(asked))}
				if done.Report != nil {
					done.Outcome = Served
				}
				st.give(done)
			case Send, Reject, Fail:
				return asked, a, st.now
			}
		}
	}
	return asked, nil, st.now
}

func TestBalancer_probe_takesFreeWorker(t *testing.T) {
	cold := 0
	for seed := range uint64(20) {
		asked, end, _ := probingBalancer(t, seed, func(asked int) []float32 {
			if asked == 2 {
				return []float32{4, 0} // free slots, waiting
			}
			return []float32{0, 3}
		})
		if send, ok := end.(Send); !ok || len(asked) != probesPerRound || send.Worker != asked[1] {
			t.Errorf("seed %d: %+v, asked were %v", seed, end, asked)
		}
		for _, id := range asked {
			if id <= 20 {
				cold++
			}
		}
	}
	if cold < 20 { // one a request is drawn at random, of the cold ones if there are any
		t.Errorf("%d of the asked are cold: this dispatcher's share of their budget lapses", cold)
	}
}

// The few that were asked say nothing of all the others: the request asks those later, and is
// refused when its aim can no longer be met.
func TestBalancer_probe_nobodyHasRoom(t *testing.T) {
	asked, end, at := probingBalancer(t, 1, func(int) []float32 { return []float32{0, 40} })
	if _, ok := end.(Reject); !ok || len(asked) <= maxProbes || at <= 12*time.Second || at > 12500*time.Millisecond {
		t.Errorf("%+v at %v, %d asked", end, at, len(asked))
	}
}

// A job of a class that is worth less goes where it waits a little; one of the class worth most looks
// for a free slot.
func TestBalancer_probe_lowerValueYields(t *testing.T) {
	for _, c := range []struct {
		worth float64
		more  bool
	}{{1, true}, {4, false}} {
		asked, _, _ := probingBalancer(t, 3, func(int) []float32 { return []float32{0.4, 0} }, func(b *Balancer) { b.maxValue = c.worth })
		if more := len(asked) > probesPerRound; more != c.more {
			t.Errorf("worth 1 of %v: %d asked", c.worth, len(asked))
		}
	}
}

// Workers that are asked say that they want nothing new, though the list has them as ready: they drain, and the list is
// late by seconds. Nothing is sent there, however good they looked.
func TestBalancer_probe_refusingWorkerIsSkipped(t *testing.T) {
	for seed := range uint64(20) {
		asked, end, _ := probingBalancer(t, seed, func(int) []float32 { return nil })
		if send, ok := end.(Send); !ok || len(asked) < maxProbes || slices.Contains(asked, send.Worker) {
			t.Errorf("seed %d: %+v, asked were %v", seed, end, asked)
		}
	}
}

// A list that has not been vouched for in a while may have workers as ready that drain. They are asked first, be there
// ever so few; and asked again later, as a word of theirs does not hold for ever.
func TestBalancer_probe_workersOfStaleList(t *testing.T) {
	s := ruleSettings(0)
	s.SubscribeDiscovery, s.Limits.Probes = true, true
	st := &stream{b: balancer(t, s, 1), c: newChecker(s), rng: rand.New(rand.NewPCG(1, 4)), now: 12 * time.Second}
	id := RequestID(0)
	request := func() (seen []Action) {
		id++
		from := len(st.trace)
		st.give(Request{ID: id, HasCost: true, Cost: 100 * time.Millisecond, Slots: 1, Deadline: st.now + 4*time.Second})
		for _, a := range st.trace[from:] {
			switch a.(type) {
			case Probe, Send:
				seen = append(seen, a)
			}
		}
		return seen
	}
	st.give(listOf(ListFull, 2))
	st.give(ListUpdate{Kind: ListFailed})
	st.now += staleAfter
	if seen := request(); len(seen) != 1 {
		t.Fatalf("%+v", seen)
	} else if _, ok := seen[0].(Send); !ok {
		t.Errorf("the list is young: %+v", seen)
	}
	st.now += time.Millisecond
	seen := request()
	if len(seen) != 2 {
		t.Fatalf("both are to be asked: %+v", seen)
	}
	for _, a := range seen {
		if _, ok := a.(Probe); !ok {
			t.Fatalf("%+v", seen)
		}
	}
	drains, stays := seen[0].(Probe).Worker, seen[1].(Probe).Worker
	st.give(ProbeDone{Worker: drains, Outcome: Full})
	from := len(st.trace)
	st.give(ProbeDone{Worker: stays, Outcome: Served, Report: []float32{4, 0}})
	if send, ok := st.trace[from].(Send); !ok || send.Worker != stays {
		t.Errorf("%+v", st.trace[from:])
	}
	st.give(listOf(ListFull, 2)) // the list is there again, and has it as ready; its own word holds a while
	if f := st.b.fleet; f.listStale(st.now+time.Hour) || f.isReady(f.byID[drains]) {
		t.Error("the list is there, or its word is forgotten")
	}
	for end := st.now + fullBackoff; st.now <= end; st.now += time.Millisecond {
		st.fire()
	}
	if f := st.b.fleet; !f.isReady(f.byID[drains]) {
		t.Error("a word holds for ever")
	}
}

// A key's home is busy, and another of those asked has room: the request goes there. Behind a price for being away from
// home its total is more than that of the wait, so that the request would ask on and wait at home.
func TestBalancer_probe_busyHome(t *testing.T) {
	for seed := range uint64(10) {
		asked, end, _ := probingBalancerWith(t, seed, 7, func(asked int) []float32 {
			if asked == 1 {
				return []float32{0, 1}
			}
			return []float32{4, 0}
		})
		if send, ok := end.(Send); !ok || len(asked) != probesPerRound || send.Worker == asked[0] {
			t.Errorf("seed %d: %+v, asked were %v", seed, end, asked)
		}
	}
}
