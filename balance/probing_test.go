package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// runProbing runs a request through one of 300 balancers with 160 workers that it knows nothing of; one in
// eight is warming up and has budget left. report returns the response to the probe of that number, from 1;
// if it is nil, the worker rejects the probe. changes are applied to the balancer before the request.
// runProbing returns the probed workers in order, the first Send, Reject or Fail, and the time of it.
func runProbing(t *testing.T, seed uint64, report func(probed int) []float32,
	changes ...func(*Balancer)) ([]WorkerID, Action, time.Duration) {
	return runKeyedProbing(t, seed, 0, report, changes...)
}

// runKeyedProbing is runProbing for a request with a key.
func runKeyedProbing(t *testing.T, seed, key uint64, report func(probed int) []float32,
	changes ...func(*Balancer)) (probed []WorkerID, end Action, endedAt time.Duration) {
	s := testSettings(0)
	s.Balancers, s.Limits.Probes = 300, true
	d := &driver{balancer: newTestBalancer(t, s, seed), checker: newChecker(s),
		rng: rand.New(rand.NewPCG(seed, 4)), now: 12 * time.Second}
	up := workerList(ListFull, 160)
	for i := range up.Workers[:20] {
		up.Workers[i].Started = 10 * time.Second
	}
	d.handle(up)
	for _, change := range changes {
		change(d.balancer)
	}
	for _, w := range d.balancer.fleet.workers {
		w.warmupTokens, w.warmupTokensAt = 1, d.now
	}
	d.balancer.inFlight = 1 // with nothing in flight it would send without regard to the estimates
	d.handle(Request{ID: 1, Key: key, HasCost: true, Cost: 100 * time.Millisecond, Slots: 1,
		Deadline: d.now + 4*time.Second})
	for seen := 0; d.now < 20*time.Second; d.now += time.Millisecond {
		d.fireTimers()
		for ; seen < len(d.actions); seen++ {
			switch a := d.actions[seen].(type) {
			case Probe:
				probed = append(probed, a.Worker)
				done := ProbeDone{Worker: a.Worker, Outcome: Full, Report: report(len(probed))}
				if done.Report != nil {
					done.Outcome = Served
				}
				d.handle(done)
			case Send, Reject, Fail:
				return probed, a, d.now
			}
		}
	}
	return probed, nil, d.now
}

// A request goes to the probed worker that reports free slots. Warming-up workers are probed often enough for
// this balancer to use its share of their budget.
func TestBalancer_sendProbes_choosesFreeWorker(t *testing.T) {
	warmingUp := 0
	for seed := range uint64(20) {
		probed, end, _ := runProbing(t, seed, func(probed int) []float32 {
			if probed == 2 {
				return []float32{4, 0} // free slots, backlog
			}
			return []float32{0, 3}
		})
		if send, ok := end.(Send); !ok || len(probed) != probesPerRound || send.Worker != probed[1] {
			t.Errorf("seed %d: got %T%+v after probes of %v, want %d probes and a Send to the second worker",
				seed, end, end, probed, probesPerRound)
		}
		for _, id := range probed {
			if id <= 20 {
				warmingUp++
			}
		}
	}
	if warmingUp < 20 { // at least one per request: the worker at random is a warming-up one if possible
		t.Errorf("20 requests: got %d probes of warming-up workers, want at least 20", warmingUp)
	}
}

// If no probed worker has a free slot, others may have one: the request probes others later, and is rejected
// once its deadline is infeasible.
func TestBalancer_sendProbes_noFreeWorker(t *testing.T) {
	probed, end, endedAt := runProbing(t, 1, func(int) []float32 { return []float32{0, 40} })
	_, ok := end.(Reject)
	if !ok || len(probed) <= maxProbes || endedAt <= 12*time.Second || endedAt > 12500*time.Millisecond {
		t.Errorf("no worker has a free slot: got %T%+v at %v after %d probes, want a Reject at 12 s to 12.5 s "+
			"after more than %d probes", end, end, endedAt, len(probed), maxProbes)
	}
}

// A request of a class of lower value accepts a short wait; one of the class of the highest value probes more
// workers for a free slot.
func TestBalancer_sendProbes_lowerValueAcceptsWait(t *testing.T) {
	for _, c := range []struct {
		maxValue   float64
		probesMore bool
	}{{1, true}, {4, false}} {
		probed, _, _ := runProbing(t, 3, func(int) []float32 { return []float32{0.4, 0} },
			func(b *Balancer) { b.maxValue = c.maxValue })
		if probesMore := len(probed) > probesPerRound; probesMore != c.probesMore {
			t.Errorf("class of value 1, highest value %v, 0.4 free slots: got %d probes, want more than %d: %v",
				c.maxValue, len(probed), probesPerRound, c.probesMore)
		}
	}
}

// A worker that is listed as ready but rejects a probe is draining, and the list is seconds old. Nothing is
// sent to it, however good its forecast is.
func TestBalancer_sendProbes_rejectingWorkerIsSkipped(t *testing.T) {
	for seed := range uint64(20) {
		probed, end, _ := runProbing(t, seed, func(int) []float32 { return nil })
		if send, ok := end.(Send); !ok || len(probed) < maxProbes || slices.Contains(probed, send.Worker) {
			t.Errorf("seed %d, all probes rejected: got %T%+v after probes of %v, want at least %d probes and "+
				"a Send to another worker", seed, end, end, probed, maxProbes)
		}
	}
}

// A list that has not been confirmed for some time may show draining workers as ready. Workers are then
// probed first, however few there are. A worker that rejects a probe gets no requests for a limited time.
func TestBalancer_sendProbes_staleList(t *testing.T) {
	s := testSettings(0)
	s.SubscribeDiscovery, s.Limits.Probes = true, true
	d := &driver{balancer: newTestBalancer(t, s, 1), checker: newChecker(s),
		rng: rand.New(rand.NewPCG(1, 4)), now: 12 * time.Second}
	id := RequestID(0)
	sendRequest := func() (actions []Action) {
		id++
		seen := len(d.actions)
		d.handle(Request{ID: id, HasCost: true, Cost: 100 * time.Millisecond, Slots: 1,
			Deadline: d.now + 4*time.Second})
		for _, a := range d.actions[seen:] {
			switch a.(type) {
			case Probe, Send:
				actions = append(actions, a)
			}
		}
		return actions
	}
	d.handle(workerList(ListFull, 2))
	d.handle(ListUpdate{Kind: ListFailed})
	d.now += listStaleAfter
	if actions := sendRequest(); len(actions) != 1 {
		t.Fatalf("request with a recent list: got actions %+v, want one Send", actions)
	} else if _, ok := actions[0].(Send); !ok {
		t.Errorf("request with a recent list: got %+v, want a Send", actions)
	}
	d.now += time.Millisecond
	actions := sendRequest()
	if len(actions) != 2 {
		t.Fatalf("request with a stale list: got actions %+v, want 2 Probes", actions)
	}
	for _, a := range actions {
		if _, ok := a.(Probe); !ok {
			t.Fatalf("request with a stale list: got actions %+v, want Probes only", actions)
		}
	}
	draining, ready := actions[0].(Probe).Worker, actions[1].(Probe).Worker
	d.handle(ProbeDone{Worker: draining, Outcome: Full})
	seen := len(d.actions)
	d.handle(ProbeDone{Worker: ready, Outcome: Served, Report: []float32{4, 0}})
	if send, ok := d.actions[seen].(Send); !ok || send.Worker != ready {
		t.Errorf("after worker %d rejected its probe: got actions %+v, want a Send to worker %d",
			draining, d.actions[seen:], ready)
	}
	d.handle(workerList(ListFull, 2)) // lists it as ready, but the rejected probe still counts
	if f := d.balancer.fleet; f.listStale(d.now+time.Hour) || f.isReady(f.byID[draining]) {
		t.Errorf("after the list was confirmed: got list stale %v, rejecting worker ready %v; want false for both",
			f.listStale(d.now+time.Hour), f.isReady(f.byID[draining]))
	}
	for end := d.now + probeRejectionBackoff; d.now <= end; d.now += time.Millisecond {
		d.fireTimers()
	}
	if f := d.balancer.fleet; !f.isReady(f.byID[draining]) {
		t.Errorf("%v after a rejected probe: the worker is not ready again", probeRejectionBackoff)
	}
}

// If the home of a key is busy and another probed worker has a free slot, the request goes there. Because of
// the cache miss that worker costs more than the wait at the home, so that by cost alone the request would
// probe more workers and wait for its home.
func TestBalancer_sendProbes_busyHome(t *testing.T) {
	for seed := range uint64(10) {
		probed, end, _ := runKeyedProbing(t, seed, 7, func(probed int) []float32 {
			if probed == 1 {
				return []float32{0, 1}
			}
			return []float32{4, 0}
		})
		if send, ok := end.(Send); !ok || len(probed) != probesPerRound || send.Worker == probed[0] {
			t.Errorf("seed %d, busy home: got %T%+v after probes of %v, want %d probes and a Send to another "+
				"worker than the first", seed, end, end, probed, probesPerRound)
		}
	}
}
