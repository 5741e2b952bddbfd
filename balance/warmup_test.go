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

// tier is many dispatchers on one clock, a warm worker with a long queue, and one that has just started and is free:
// each dispatcher alone would prefer the latter.
type warmupSimulation struct {
	settings    Settings
	rng         *rand.Rand
	now         time.Duration
	calls       []scheduledCall // by time
	balancers   []*Balancer
	lastSeed    uint64
	lastRequest RequestID
	meanWork    time.Duration // work of a request
	hints       bool
	warmupSends []warmupSend // what the cold one got
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
	s := Settings{Balancers: n, Resolution: 2 * time.Millisecond, ReportsStart: true, ReportFields: []ReportField{FieldFreeSlots, FieldBacklog},
		Classes: []Class{{LatencyTarget: mean / 2, TargetStretch: 2, Timeout: 20 * time.Second, Value: 1, Kind: -1}},
		Limits:  Limits{MaxAttempts: 4, Cancel: true, HedgedRequests: true},
		Rules: Rules{AnswerSlack: 8 * time.Millisecond, DrainGrace: 300 * time.Millisecond, InitialCapacity: 0.2, WarmupTime: 20 * time.Second,
			OverloadMultiple: 4, OverloadTime: 3 * time.Second}}
	return &warmupSimulation{settings: s, rng: rand.New(rand.NewPCG(seed, 7)), lastSeed: seed << 20, meanWork: mean, hints: hints, balancers: make([]*Balancer, n)}
}

func (w *warmupSimulation) after(span time.Duration, do func()) {
	h := scheduledCall{w.now + span, do}
	i, _ := slices.BinarySearchFunc(w.calls, h.at, func(d scheduledCall, at time.Duration) int {
		return cmp.Or(cmp.Compare(d.at, at), -1)
	})
	w.calls = slices.Insert(w.calls, i, h)
}

// start starts a dispatcher, or restarts one without its state.
func (w *warmupSimulation) start(i int, list ListUpdate) {
	s := w.settings
	s.Ordinal = i
	w.lastSeed++
	b, err := New(s, w.lastSeed)
	if err != nil {
		panic(err)
	}
	w.balancers[i] = b
	w.handle(b, list)
}

func (w *warmupSimulation) list(warmingUp bool) ListUpdate {
	up := ListUpdate{Kind: ListFull, Workers: []WorkerListing{{Worker: warmID, State: Ready}}}
	if warmingUp {
		up.Workers = append(up.Workers, WorkerListing{Worker: warmingID, Kind: 1, State: Ready, Started: workerStartedAt})
	}
	return up
}

// handle passes a dispatcher an event and carries out its actions.
func (w *warmupSimulation) handle(b *Balancer, ev Event) {
	for _, a := range slices.Clone(b.Handle(w.now, ev)) {
		switch a := a.(type) {
		case SetTimer:
			w.after(a.After, func() { w.handle(b, TimerFired{Token: a.Token}) })
		case Send:
			w.serve(b, a)
		}
	}
}

func (w *warmupSimulation) serve(b *Balancer, a Send) {
	r := b.requests[a.Request]
	at, work, report := len(r.attempts)-1, time.Duration(w.rng.ExpFloat64()*float64(w.meanWork)), []float32{workerSlots, 0}
	if r.Cost > 0 {
		work = r.Cost
	}
	wait := time.Millisecond
	if a.Worker == warmingID {
		w.warmupSends = append(w.warmupSends, warmupSend{w.now, work.Seconds()})
	} else {
		wait, report = 2*time.Second, []float32{0, 6}
	}
	w.after(wait, func() { w.handle(b, AttemptProgress{Request: a.Request, Attempt: at, Worker: a.Worker, Started: true}) })
	w.after(wait+work, func() {
		w.handle(b, AttemptDone{Request: a.Request, Attempt: at, Worker: a.Worker, Outcome: Served, Elapsed: wait + work, Over: true, Report: report})
	})
}

func (w *warmupSimulation) request(i int) {
	w.lastRequest++
	r := Request{ID: w.lastRequest, Slots: 1, Deadline: w.now + w.settings.Classes[0].Timeout}
	if w.hints {
		r.Cost, r.HasCost = time.Duration(w.rng.ExpFloat64()*float64(w.meanWork))+time.Millisecond, true
	}
	w.handle(w.balancers[i], r)
}

// requestsAtRate sends requests to random dispatchers at a rate, while the started worker warms up.
func (w *warmupSimulation) sendAtRate(i int, perSecond float64) {
	w.after(time.Duration(w.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		w.request(i)
		w.sendAtRate(i, perSecond)
	})
}

func (w *warmupSimulation) run() {
	for len(w.calls) > 0 && w.calls[0].at < simulationEnd {
		next := w.calls[0]
		w.calls = w.calls[1:]
		w.now = next.at
		next.call()
	}
}

// largestWindow returns the most that the warming-up worker got in any window of the rules' time, as a fraction of what overloads
// it beyond chance (N + 2 x root of N + 2 requests of mean work), and what it got in all, as a fraction of N per window.
func (w *warmupSimulation) largestWindow() (most, use float64) {
	r := w.settings.Rules
	budget := func(at time.Duration) float64 {
		part := r.InitialCapacity + (1-r.InitialCapacity)*(at-workerStartedAt).Seconds()/r.WarmupTime.Seconds()
		return r.OverloadMultiple * part * workerSlots * r.OverloadTime.Seconds() / w.meanWork.Seconds()
	}
	for i, first := range w.warmupSends {
		sum := 0.0
		for _, s := range w.warmupSends[i:] {
			if s.at > first.at+r.OverloadTime {
				break
			}
			sum += s.work / w.meanWork.Seconds()
		}
		n := budget(first.at)
		most = max(most, sum/(n+2*math.Sqrt(n)+2))
		use += first.work / w.meanWork.Seconds() / (budget(first.at) / r.OverloadTime.Seconds()) / (simulationEnd - workerStartedAt).Seconds()
	}
	return most, use
}

// Scenarios in which many dispatchers may send a warming-up worker too much at once.
var warmupScenarios = map[string]func(w *warmupSimulation){
	"steady": func(w *warmupSimulation) {
		for i := range w.balancers {
			w.sendAtRate(i, max(0.5, 60/float64(len(w.balancers))))
		}
	},
	// No requests for long, so that no budget is spent, and then requests at all dispatchers at once, repeatedly.
	"all at once": func(w *warmupSimulation) {
		for _, at := range []time.Duration{8, 10, 13} {
			w.after(at*time.Second, func() {
				for i := range w.balancers {
					w.request(i)
				}
			})
		}
	},
	"left alone early": drainWarmWorkerAt(4 * time.Second),
	"left alone late":  drainWarmWorkerAt(10 * time.Second),
	// All restart without knowing how long requests run; then requests at all dispatchers at once.
	"restarted": func(w *warmupSimulation) {
		for i := range w.balancers {
			w.sendAtRate(i, 1)
		}
		w.after(7*time.Second, func() {
			for i := range w.balancers {
				w.start(i, w.list(true))
			}
		})
		w.after(7100*time.Millisecond, func() {
			for i := range w.balancers {
				w.request(i)
			}
		})
	},
}

// onlyWarmingUp drains the warm worker, so that only the warming-up one is left; then requests at all dispatchers at once.
func drainWarmWorkerAt(at time.Duration) func(w *warmupSimulation) {
	return func(w *warmupSimulation) {
		w.after(at, func() {
			for i, b := range w.balancers {
				w.handle(b, ListUpdate{Kind: ListChanges, Workers: []WorkerListing{{Worker: warmID, State: Draining}}})
				w.request(i)
			}
		})
	}
}

// play runs a scenario in which the list arrives late by a random time.
func (w *warmupSimulation) runScenario(day func(*warmupSimulation), late time.Duration) {
	for i := range w.balancers {
		w.start(i, w.list(false))
	}
	w.after(100*time.Millisecond, func() {
		for i := range w.balancers {
			w.request(i) // each has seen that the warm one has a long queue
		}
	})
	for i := range w.balancers {
		w.after(workerStartedAt+time.Duration(w.rng.Float64()*float64(late)), func() { w.handle(w.balancers[i], w.list(true)) })
	}
	w.after(workerStartedAt, func() { day(w) })
	w.run()
}

// What many dispatchers together send a warming-up worker stays below what overloads it beyond chance, in any window, in
// scenarios made to exceed it. With a budget ten times as large it does not.
func TestBalancer_warmupBudget_manyBalancers(t *testing.T) {
	for _, n := range []int{1, 20, 30, 300} {
		for _, work := range []time.Duration{600 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("%d, %v", n, work), func(t *testing.T) {
				top, topUse, over := 0.0, 0.0, 0.0
				for _, name := range slices.Sorted(maps.Keys(warmupScenarios)) {
					for _, late := range []time.Duration{0, 6 * time.Second} {
						for seed := range uint64(3) {
							w := newWarmupSimulation(n, work, seed%2 == 0, seed)
							w.runScenario(warmupScenarios[name], late)
							most, use := w.largestWindow()
							if most > 1 {
								t.Errorf("%s, list up to %v late, seed %d: the warming-up worker got %.2f of what overloads it", name, late, seed, most)
							}
							top, topUse = max(top, most), max(topUse, use)
						}
					}
					w := newWarmupSimulation(n, work, false, 1)
					w.settings.Rules.OverloadMultiple *= 10
					w.runScenario(warmupScenarios[name], 0)
					w.settings.Rules.OverloadMultiple /= 10
					most, _ := w.largestWindow()
					over = max(over, most)
				}
				t.Logf("at most %.2f of what fells it, %.2f of the budget used; %.2f with ten times the budget", top, topUse, over)
				if topUse == 0 || over <= 1 {
					t.Errorf("at most %.2f of the budget used; %.2f of what overloads it with ten times the budget", topUse, over)
				}
			})
		}
	}
}

// The work that many dispatchers together send a warming-up worker within any window stays below what overloads it.
func TestBalancer_warmupBudget_window(t *testing.T) {
	t.Run("two workers", func(t *testing.T) { checkWarmupBudget(t, 2) })
	t.Run("asked by probes", func(t *testing.T) { checkWarmupBudget(t, 12) })
}

func checkWarmupBudget(t *testing.T, workers int) {
	const n = 60
	s := testSettings(0)
	s.Balancers, s.Limits.Messages, s.Limits.Probes = n, false, true
	var all []*driver
	for i := range n {
		s.Ordinal = i
		st := &driver{balancer: newTestBalancer(t, s, uint64(i)), checker: newChecker(s), rng: rand.New(rand.NewPCG(uint64(i), 2))}
		st.handle(workerList(ListCached, workers))
		all = append(all, st)
	}
	var sent []stats.Sample // at, x: work in slot-seconds
	const work = 100 * time.Millisecond
	for now := time.Duration(0); now < 12*time.Second; now += 5 * time.Millisecond {
		for _, st := range all {
			st.now = now
			st.fireTimers()
			if now == 2*time.Second {
				warmingUp := testListing(2)
				warmingUp.Started = now
				st.handle(ListUpdate{Kind: ListChanges, Workers: []WorkerListing{warmingUp}})
			}
			if st.rng.IntN(40) == 0 {
				st.lastRequest++
				st.handle(Request{ID: st.lastRequest, Cost: work, HasCost: true, Slots: 1, Deadline: now + 4*time.Second})
			}
			for id := max(1, st.lastRequest-20); id <= st.lastRequest; id++ {
				for i, at := range st.checker.requests[id].attempts {
					if at.inFlight && now-at.sentAt >= work {
						st.handle(AttemptDone{Request: id, Attempt: i, Worker: at.worker, Outcome: Served, Elapsed: work,
							Over: true, Report: []float32{4, 0}})
					}
				}
			}
			for i := 0; i < len(st.actions); i++ { // an answer adds to it
				if a, ok := st.actions[i].(Probe); ok {
					st.handle(ProbeDone{Worker: a.Worker, Outcome: Served, Report: []float32{4, 0}})
				}
			}
			for _, a := range st.actions {
				if a, ok := a.(Send); ok && a.Worker == 2 && now >= 2*time.Second {
					sent = append(sent, stats.Sample{At: now, X: work.Seconds()})
				}
			}
			st.actions = nil
		}
	}
	during := 0
	for i, from := range sent {
		part := s.Rules.InitialCapacity + (1-s.Rules.InitialCapacity)*(from.At-2*time.Second).Seconds()/s.Rules.WarmupTime.Seconds()
		if part >= 1 {
			break
		}
		during++
		total := 0.0
		for _, x := range sent[i:] {
			if x.At < from.At+s.Rules.OverloadTime {
				total += x.X
			}
		}
		if budget := s.Rules.OverloadMultiple * part * 4 * s.Rules.OverloadTime.Seconds(); total > 0.8*budget {
			t.Fatalf("at %v: %.2f slot-seconds sent within the window, the budget is %.2f", from.At, total, budget)
		}
	}
	if during == 0 {
		t.Error("a warming-up worker got nothing at all")
	}
}
