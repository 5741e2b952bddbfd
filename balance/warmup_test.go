package balance

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ospreybend/internal/util/stats"
)

// warmupSimulation simulates many balancers, a warm worker with a long queue, and a worker that has just
// started and is free: without a budget all balancers would prefer the latter.
type warmupSimulation struct {
	settings    Settings
	rng         *rand.Rand
	now         time.Duration
	calls       []scheduledCall // ordered by time
	balancers   []*Balancer
	lastSeed    uint64
	lastRequest RequestID
	meanWork    time.Duration // of a request
	hints       bool          // requests have cost hints
	warmupSends []warmupSend  // to the warming-up worker
}

type scheduledCall struct {
	at   time.Duration
	call func()
}

type warmupSend struct {
	at   time.Duration
	work float64
}

const (
	warmID, warmingID = WorkerID(1), WorkerID(2)
	workerSlots       = 4
	workerStartedAt   = 2 * time.Second
	simulationEnd     = 16 * time.Second
)

func newWarmupSimulation(n int, mean time.Duration, hints bool, seed uint64) *warmupSimulation {
	class := Class{LatencyTarget: mean / 2, TargetStretch: 2, Timeout: 20 * time.Second, Value: 1, Kind: -1}
	s := Settings{Balancers: n, Resolution: 2 * time.Millisecond, ReportsStart: true,
		ReportFields: []ReportField{FieldFreeSlots, FieldBacklog}, Classes: []Class{class},
		Limits: Limits{MaxAttempts: 4, Cancel: true, HedgedRequests: true},
		Rules: Rules{AnswerSlack: 8 * time.Millisecond, DrainGrace: 300 * time.Millisecond, InitialCapacity: 0.2,
			WarmupTime: 20 * time.Second, OverloadMultiple: 4, OverloadTime: 3 * time.Second}}
	return &warmupSimulation{settings: s, rng: rand.New(rand.NewPCG(seed, 7)), lastSeed: seed << 20,
		meanWork: mean, hints: hints, balancers: make([]*Balancer, n)}
}

// after schedules a call after a delay. Calls at the same time keep their order.
func (sim *warmupSimulation) after(delay time.Duration, call func()) {
	scheduled := scheduledCall{sim.now + delay, call}
	i, _ := slices.BinarySearchFunc(sim.calls, scheduled.at, func(d scheduledCall, at time.Duration) int {
		return cmp.Or(cmp.Compare(d.at, at), -1)
	})
	sim.calls = slices.Insert(sim.calls, i, scheduled)
}

// start starts a balancer, or restarts one without its state, and passes it the worker list.
func (sim *warmupSimulation) start(i int, list ListUpdate) {
	s := sim.settings
	s.Ordinal = i
	sim.lastSeed++
	b, err := New(s, sim.lastSeed)
	if err != nil {
		panic(err)
	}
	sim.balancers[i] = b
	sim.handle(b, list)
}

// list returns the worker list, with or without the warming-up worker.
func (sim *warmupSimulation) list(warmingUp bool) ListUpdate {
	up := ListUpdate{Kind: ListFull, Workers: []WorkerListing{{Worker: warmID, State: Ready}}}
	if warmingUp {
		started := WorkerListing{Worker: warmingID, Kind: 1, State: Ready, Started: workerStartedAt}
		up.Workers = append(up.Workers, started)
	}
	return up
}

// handle passes a balancer an event and carries out its actions.
func (sim *warmupSimulation) handle(b *Balancer, ev Event) {
	for _, a := range slices.Clone(b.Handle(sim.now, ev)) {
		switch a := a.(type) {
		case SetTimer:
			sim.after(a.After, func() { sim.handle(b, TimerFired{Token: a.Token}) })
		case Send:
			sim.serve(b, a)
		}
	}
}

// serve schedules the events of an attempt: the warm worker starts it after 2 s, the other one at once.
func (sim *warmupSimulation) serve(b *Balancer, a Send) {
	r := b.requests[a.Request]
	attempt, report := len(r.attempts)-1, []float32{workerSlots, 0}
	work := time.Duration(sim.rng.ExpFloat64() * float64(sim.meanWork))
	if r.Cost > 0 {
		work = r.Cost
	}
	wait := time.Millisecond
	if a.Worker == warmingID {
		sim.warmupSends = append(sim.warmupSends, warmupSend{sim.now, work.Seconds()})
	} else {
		wait, report = 2*time.Second, []float32{0, 6}
	}
	sim.after(wait, func() {
		sim.handle(b, AttemptProgress{Request: a.Request, Attempt: attempt, Worker: a.Worker, Started: true})
	})
	sim.after(wait+work, func() {
		sim.handle(b, AttemptDone{Request: a.Request, Attempt: attempt, Worker: a.Worker, Outcome: Served,
			Elapsed: wait + work, Over: true, Report: report})
	})
}

// request passes a new request to a balancer.
func (sim *warmupSimulation) request(i int) {
	sim.lastRequest++
	r := Request{ID: sim.lastRequest, Slots: 1, Deadline: sim.now + sim.settings.Classes[0].Timeout}
	if sim.hints {
		r.Cost, r.HasCost = time.Duration(sim.rng.ExpFloat64()*float64(sim.meanWork))+time.Millisecond, true
	}
	sim.handle(sim.balancers[i], r)
}

// sendAtRate passes requests to a balancer at a rate, as a Poisson process, until the simulation ends.
func (sim *warmupSimulation) sendAtRate(i int, perSecond float64) {
	sim.after(time.Duration(sim.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		sim.request(i)
		sim.sendAtRate(i, perSecond)
	})
}

func (sim *warmupSimulation) run() {
	for len(sim.calls) > 0 && sim.calls[0].at < simulationEnd {
		next := sim.calls[0]
		sim.calls = sim.calls[1:]
		sim.now = next.at
		next.call()
	}
}

// largestWindow returns the largest amount of work that the warming-up worker got in any window of
// OverloadTime, and the amount that it got in all. The first is a fraction of the amount that overloads it
// beyond chance, which is n + 2*sqrt(n) + 2 requests of mean work, where n requests are its budget for the
// window. The second is a fraction of n per window.
func (sim *warmupSimulation) largestWindow() (largest, used float64) {
	r := sim.settings.Rules
	overloadAt := func(at time.Duration) float64 {
		capacity := r.InitialCapacity + (1-r.InitialCapacity)*(at-workerStartedAt).Seconds()/r.WarmupTime.Seconds()
		return r.OverloadMultiple * capacity * workerSlots * r.OverloadTime.Seconds() / sim.meanWork.Seconds()
	}
	for i, first := range sim.warmupSends {
		sum := 0.0
		for _, s := range sim.warmupSends[i:] {
			if s.at > first.at+r.OverloadTime {
				break
			}
			sum += s.work / sim.meanWork.Seconds()
		}
		overload := overloadAt(first.at)
		largest = max(largest, sum/(overload+2*math.Sqrt(overload)+2))
		used += first.work / sim.meanWork.Seconds() / (overloadAt(first.at) / r.OverloadTime.Seconds()) /
			(simulationEnd - workerStartedAt).Seconds()
	}
	return largest, used
}

// warmupScenarios are scenarios in which many balancers may send a warming-up worker too much at once.
var warmupScenarios = map[string]func(w *warmupSimulation){
	"steady": func(sim *warmupSimulation) {
		for i := range sim.balancers {
			sim.sendAtRate(i, max(0.5, 60/float64(len(sim.balancers))))
		}
	},
	// No requests for a long time, so that no budget is spent, and then a request at each balancer at the same
	// time, three times.
	"all at once": func(sim *warmupSimulation) {
		for _, at := range []time.Duration{8, 10, 13} {
			sim.after(at*time.Second, func() {
				for i := range sim.balancers {
					sim.request(i)
				}
			})
		}
	},
	"warm worker drains early": drainWarmWorkerAt(4 * time.Second),
	"warm worker drains late":  drainWarmWorkerAt(10 * time.Second),
	// All balancers restart and so do not know how long requests run. Then each gets a request at the same time.
	"restarted": func(sim *warmupSimulation) {
		for i := range sim.balancers {
			sim.sendAtRate(i, 1)
		}
		sim.after(7*time.Second, func() {
			for i := range sim.balancers {
				sim.start(i, sim.list(true))
			}
		})
		sim.after(7100*time.Millisecond, func() {
			for i := range sim.balancers {
				sim.request(i)
			}
		})
	},
}

// drainWarmWorkerAt returns a scenario that drains the warm worker, so that only the warming-up one is left.
// Then each balancer gets a request at the same time.
func drainWarmWorkerAt(at time.Duration) func(w *warmupSimulation) {
	return func(sim *warmupSimulation) {
		sim.after(at, func() {
			for i, b := range sim.balancers {
				draining := []WorkerListing{{Worker: warmID, State: Draining}}
				sim.handle(b, ListUpdate{Kind: ListChanges, Workers: draining})
				sim.request(i)
			}
		})
	}
}

// runScenario runs a scenario. The list update with the started worker reaches each balancer late, by a
// random time of at most late.
func (sim *warmupSimulation) runScenario(scenario func(*warmupSimulation), late time.Duration) {
	for i := range sim.balancers {
		sim.start(i, sim.list(false))
	}
	sim.after(100*time.Millisecond, func() {
		for i := range sim.balancers {
			sim.request(i) // after it the balancer knows that the warm worker has a long queue
		}
	})
	for i := range sim.balancers {
		delay := time.Duration(sim.rng.Float64() * float64(late))
		sim.after(workerStartedAt+delay, func() { sim.handle(sim.balancers[i], sim.list(true)) })
	}
	sim.after(workerStartedAt, func() { scenario(sim) })
	sim.run()
}

// The work that many balancers together send to a warming-up worker in any window stays below what overloads
// it beyond chance, in scenarios that are designed to exceed it. With ten times the budget it does not.
func TestBalancer_warmupBudget_manyBalancers(t *testing.T) {
	for _, n := range []int{1, 20, 30, 300} {
		for _, work := range []time.Duration{600 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("%d, %v", n, work), func(t *testing.T) {
				largest, mostUsed, tenfold := 0.0, 0.0, 0.0
				for _, name := range slices.Sorted(maps.Keys(warmupScenarios)) {
					for _, late := range []time.Duration{0, 6 * time.Second} {
						for seed := range uint64(3) {
							sim := newWarmupSimulation(n, work, seed%2 == 0, seed)
							sim.runScenario(warmupScenarios[name], late)
							most, used := sim.largestWindow()
							if most > 1 {
								t.Errorf("%s, list up to %v late, seed %d: the warming-up worker got %.2f of what "+
									"overloads it in a window, want at most 1", name, late, seed, most)
							}
							largest, mostUsed = max(largest, most), max(mostUsed, used)
						}
					}
					sim := newWarmupSimulation(n, work, false, 1)
					sim.settings.Rules.OverloadMultiple *= 10
					sim.runScenario(warmupScenarios[name], 0)
					sim.settings.Rules.OverloadMultiple /= 10
					most, _ := sim.largestWindow()
					tenfold = max(tenfold, most)
				}
				t.Logf("the warming-up worker got at most %.2f of what overloads it in a window, at most %.2f of "+
					"the budget in all, and %.2f in a window with ten times the budget", largest, mostUsed, tenfold)
				if mostUsed == 0 || tenfold <= 1 {
					t.Errorf("the warming-up worker got at most %.2f of the budget, want above 0; with ten times the "+
						"budget %.2f of what overloads it, want above 1", mostUsed, tenfold)
				}
			})
		}
	}
}

// The work that 60 balancers together send to a warming-up worker in any window stays below its budget, with
// and without probes.
func TestBalancer_warmupBudget_window(t *testing.T) {
	t.Run("two workers", func(t *testing.T) { checkWarmupBudget(t, 2) })
	t.Run("twelve workers, probed", func(t *testing.T) { checkWarmupBudget(t, 12) })
}

// checkWarmupBudget drives 60 balancers for 12 s and starts worker 2 after 2 s.
func checkWarmupBudget(t *testing.T, workers int) {
	const n = 60
	s := testSettings(0)
	s.Balancers, s.Limits.Messages, s.Limits.Probes = n, false, true
	var drivers []*driver
	for i := range n {
		s.Ordinal = i
		d := &driver{balancer: newTestBalancer(t, s, uint64(i)), checker: newChecker(s),
			rng: rand.New(rand.NewPCG(uint64(i), 2))}
		d.handle(workerList(ListCached, workers))
		drivers = append(drivers, d)
	}
	var sent []stats.Sample // to worker 2; X is the work in slot-seconds
	const work = 100 * time.Millisecond
	for now := time.Duration(0); now < 12*time.Second; now += 5 * time.Millisecond {
		for _, d := range drivers {
			d.now = now
			d.fireTimers()
			if now == 2*time.Second {
				warmingUp := testListing(2)
				warmingUp.Started = now
				d.handle(ListUpdate{Kind: ListChanges, Workers: []WorkerListing{warmingUp}})
			}
			if d.rng.IntN(40) == 0 {
				d.lastRequest++
				d.handle(Request{ID: d.lastRequest, Cost: work, HasCost: true, Slots: 1, Deadline: now + 4*time.Second})
			}
			for id := max(1, d.lastRequest-20); id <= d.lastRequest; id++ {
				for i, at := range d.checker.requests[id].attempts {
					if at.inFlight && now-at.sentAt >= work {
						d.handle(AttemptDone{Request: id, Attempt: i, Worker: at.worker, Outcome: Served, Elapsed: work,
							Over: true, Report: []float32{4, 0}})
					}
				}
			}
			for i := 0; i < len(d.actions); i++ { // handle appends to it
				if a, ok := d.actions[i].(Probe); ok {
					d.handle(ProbeDone{Worker: a.Worker, Outcome: Served, Report: []float32{4, 0}})
				}
			}
			for _, a := range d.actions {
				if a, ok := a.(Send); ok && a.Worker == 2 && now >= 2*time.Second {
					sent = append(sent, stats.Sample{At: now, X: work.Seconds()})
				}
			}
			d.actions = nil
		}
	}
	windows := 0
	for i, first := range sent {
		age := first.At - 2*time.Second
		capacity := s.Rules.InitialCapacity +
			(1-s.Rules.InitialCapacity)*age.Seconds()/s.Rules.WarmupTime.Seconds()
		if capacity >= 1 {
			break
		}
		windows++
		total := 0.0
		for _, x := range sent[i:] {
			if x.At < first.At+s.Rules.OverloadTime {
				total += x.X
			}
		}
		if budget := s.Rules.OverloadMultiple * capacity * 4 * s.Rules.OverloadTime.Seconds(); total > 0.8*budget {
			t.Fatalf("window from %v: got %.2f slot-seconds sent to worker 2, want at most 0.8 of its budget of %.2f",
				first.At, total, budget)
		}
	}
	if windows == 0 {
		t.Error("the warming-up worker got no request")
	}
}
