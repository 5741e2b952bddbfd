package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// probingBalancer runs one of 300 dispatchers with 160 unknown workers, one in eight warming up with budget left, and one
// request. Probes are answered by report; a worker without a report rejects them. It returns the probed workers, and the
// end of the request and its time.
func runProbing(t *testing.T, seed uint64, reported func(asked int) []float32, with ...func(*Balancer)) ([]WorkerID, Action, time.Duration) {
	return runKeyedProbing(t, seed, 0, reported, with...)
}

// probingBalancerWith is probingBalancer for a request with a key.
func runKeyedProbing(t *testing.T, seed, key uint64, reported func(asked int) []float32, with ...func(*Balancer)) (asked []WorkerID, end Action, at time.Duration) {
	s := testSettings(0)
	s.Balancers, s.Limits.Probes = 300, true
	st := &driver{balancer: newTestBalancer(t, s, seed), checker: newChecker(s), rng: rand.New(rand.NewPCG(seed, 4)), now: 12 * time.Second}
	up := workerList(ListFull, 160)
	for i := range up.Workers[:20] {
		up.Workers[i].Started = 10 * time.Second
	}
	st.handle(up)
	for _, f := range with {
		f(st.balancer)
	}
	for _, w := range st.balancer.fleet.workers {
		w.warmupTokens, w.warmupTokensAt = 1, st.now
	}
	st.balancer.inFlight = 1 // with nothing out it would send in any case
	st.handle(Request{ID: 1, Key: key, HasCost: true, Cost: 100 * time.Millisecond, Slots: 1, Deadline: st.now + 4*time.Second})
	for seen := 0; st.now < 20*time.Second; st.now += time.Millisecond {
		st.fireTimers()
		for ; seen < len(st.actions); seen++ {
			switch a := st.actions[seen].(type) {
			case Probe:
				asked = append(asked, a.Worker)
				done := ProbeDone{Worker: a.Worker, Outcome: Full, Report: reported(len(asked))}
				if done.Report != nil {
					done.Outcome = Served
				}
				st.handle(done)
			case Send, Reject, Fail:
				return asked, a, st.now
			}
		}
	}
	return asked, nil, st.now
}

func TestBalancer_sendProbes_choosesFreeWorker(t *testing.T) {
	warmingUp := 0
	for seed := range uint64(20) {
		asked, end, _ := runProbing(t, seed, func(asked int) []float32 {
			if asked == 2 {
				return []float32{4, 0} // free slots, waiting
			}
			return []float32{0, 3}
		})
		if send, ok := end.(Send); !ok || len(asked) != probesPerRound || send.Worker != asked[1] {
			t.Errorf("seed %d: %+v, probed were %v", seed, end, asked)
		}
		for _, id := range asked {
			if id <= 20 {
				warmingUp++
			}
		}
	}
	if warmingUp < 20 { // one a request is drawn at random, of the cold ones if there are any
		t.Errorf("%d of the probed are warming up: this dispatcher's part of their budget is unused", warmingUp)
	}
}

// The few probed workers say nothing of the others: the request probes those later, and is rejected when its deadline
// is infeasible.
func TestBalancer_sendProbes_noFreeWorker(t *testing.T) {
	asked, end, at := runProbing(t, 1, func(int) []float32 { return []float32{0, 40} })
	if _, ok := end.(Reject); !ok || len(asked) <= maxProbes || at <= 12*time.Second || at > 12500*time.Millisecond {
		t.Errorf("%+v at %v, %d probed", end, at, len(asked))
	}
}

// A job of a class of lower value accepts a short wait; one of the class of the highest value looks for a free slot.
func TestBalancer_sendProbes_lowerValueAcceptsWait(t *testing.T) {
	for _, c := range []struct {
		maxValue float64
		more     bool
	}{{1, true}, {4, false}} {
		asked, _, _ := runProbing(t, 3, func(int) []float32 { return []float32{0.4, 0} }, func(b *Balancer) { b.maxValue = c.maxValue })
		if more := len(asked) > probesPerRound; more != c.more {
			t.Errorf("value 1 of %v: %d probed", c.maxValue, len(asked))
		}
	}
}

// Workers that reject probes though listed as ready are draining, and the list is seconds late. Nothing is sent there,
// however good their forecast.
func TestBalancer_sendProbes_rejectingWorkerIsSkipped(t *testing.T) {
	for seed := range uint64(20) {
		asked, end, _ := runProbing(t, seed, func(int) []float32 { return nil })
		if send, ok := end.(Send); !ok || len(asked) < maxProbes || slices.Contains(asked, send.Worker) {
			t.Errorf("seed %d: %+v, probed were %v", seed, end, asked)
		}
	}
}

// A list that was not confirmed for a while may have draining workers as ready. They are probed first, however few there
// are, and again later, as an answer is not valid for ever.
func TestBalancer_sendProbes_staleList(t *testing.T) {
	s := testSettings(0)
	s.SubscribeDiscovery, s.Limits.Probes = true, true
	st := &driver{balancer: newTestBalancer(t, s, 1), checker: newChecker(s), rng: rand.New(rand.NewPCG(1, 4)), now: 12 * time.Second}
	id := RequestID(0)
	request := func() (seen []Action) {
		id++
		from := len(st.actions)
		st.handle(Request{ID: id, HasCost: true, Cost: 100 * time.Millisecond, Slots: 1, Deadline: st.now + 4*time.Second})
		for _, a := range st.actions[from:] {
			switch a.(type) {
			case Probe, Send:
				seen = append(seen, a)
			}
		}
		return seen
	}
	st.handle(workerList(ListFull, 2))
	st.handle(ListUpdate{Kind: ListFailed})
	st.now += listStaleAfter
	if seen := request(); len(seen) != 1 {
		t.Fatalf("%+v", seen)
	} else if _, ok := seen[0].(Send); !ok {
		t.Errorf("the list is confirmed: %+v", seen)
	}
	st.now += time.Millisecond
	seen := request()
	if len(seen) != 2 {
		t.Fatalf("both must be probed: %+v", seen)
	}
	for _, a := range seen {
		if _, ok := a.(Probe); !ok {
			t.Fatalf("%+v", seen)
		}
	}
	drains, stays := seen[0].(Probe).Worker, seen[1].(Probe).Worker
	st.handle(ProbeDone{Worker: drains, Outcome: Full})
	from := len(st.actions)
	st.handle(ProbeDone{Worker: stays, Outcome: Served, Report: []float32{4, 0}})
	if send, ok := st.actions[from].(Send); !ok || send.Worker != stays {
		t.Errorf("%+v", st.actions[from:])
	}
	st.handle(workerList(ListFull, 2)) // the list is there again, and has it as ready; its own word holds a while
	if f := st.balancer.fleet; f.listStale(st.now+time.Hour) || f.isReady(f.byID[drains]) {
		t.Error("the list is confirmed, or the answers have expired")
	}
	for end := st.now + probeRejectionBackoff; st.now <= end; st.now += time.Millisecond {
		st.fireTimers()
	}
	if f := st.balancer.fleet; !f.isReady(f.byID[drains]) {
		t.Error("an answer is valid for ever")
	}
}

// A key's home is busy, and another probed worker has a free slot: the request goes there. With the cost of a cache miss
// its total exceeds that of the wait, so that by totals the request would probe on and wait at home.
func TestBalancer_sendProbes_busyHome(t *testing.T) {
	for seed := range uint64(10) {
		asked, end, _ := runKeyedProbing(t, seed, 7, func(asked int) []float32 {
			if asked == 1 {
				return []float32{0, 1}
			}
			return []float32{4, 0}
		})
		if send, ok := end.(Send); !ok || len(asked) != probesPerRound || send.Worker == asked[0] {
			t.Errorf("seed %d: %+v, probed were %v", seed, end, asked)
		}
	}
}
