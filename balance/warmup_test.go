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
type tier struct {
	s        Settings
	rng      *rand.Rand
	now      time.Duration
	due      []scheduledCall // by time
	all      []*Balancer
	seeds    uint64
	requests RequestID
	mean     time.Duration // work of a request
	hints    bool
	sent     []warmupSend // what the cold one got
}

type scheduledCall struct {
	at time.Duration
	do func()
}

type warmupSend struct {
	at   time.Duration
	work float64
}

const (
	warmID, warmingID = WorkerID(1), WorkerID(2)
	tierSlots         = 4
	startedAt         = 2 * time.Second
	warmAt            = 16 * time.Second
)

func newTier(n int, mean time.Duration, hints bool, seed uint64) *tier {
	s := Settings{Balancers: n, Resolution: 2 * time.Millisecond, ReportsStart: true, ReportFields: []ReportField{FieldFreeSlots, FieldBacklog},
		Classes: []Class{{LatencyTarget: mean / 2, TargetStretch: 2, Timeout: 20 * time.Second, Value: 1, Kind: -1}},
		Limits:  Limits{MaxAttempts: 4, Cancel: true, HedgedRequests: true},
		Rules: Rules{AnswerSlack: 8 * time.Millisecond, DrainGrace: 300 * time.Millisecond, InitialCapacity: 0.2, WarmupTime: 20 * time.Second,
			OverloadMultiple: 4, OverloadTime: 3 * time.Second}}
	return &tier{s: s, rng: rand.New(rand.NewPCG(seed, 7)), seeds: seed << 20, mean: mean, hints: hints, all: make([]*Balancer, n)}
}

func (w *tier) after(span time.Duration, do func()) {
	h := scheduledCall{w.now + span, do}
	i, _ := slices.BinarySearchFunc(w.due, h.at, func(d scheduledCall, at time.Duration) int {
		return cmp.Or(cmp.Compare(d.at, at), -1)
	})
	w.due = slices.Insert(w.due, i, h)
}

// start starts a dispatcher, or restarts one without its state.
func (w *tier) start(i int, list ListUpdate) {
	s := w.s
	s.Ordinal = i
	w.seeds++
	b, err := New(s, w.seeds)
	if err != nil {
		panic(err)
	}
	w.all[i] = b
	w.handle(b, list)
}

func (w *tier) list(warmingUp bool) ListUpdate {
	up := ListUpdate{Kind: ListFull, Workers: []WorkerListing{{Worker: warmID, State: Ready}}}
	if warmingUp {
		up.Workers = append(up.Workers, WorkerListing{Worker: warmingID, Kind: 1, State: Ready, Started: startedAt})
	}
	return up
}

// handle passes a dispatcher an event and carries out its actions.
func (w *tier) handle(b *Balancer, ev Event) {
	for _, a := range slices.Clone(b.Handle(w.now, ev)) {
		switch a := a.(type) {
		case SetTimer:
			w.after(a.After, func() { w.handle(b, TimerFired{Token: a.Token}) })
		case Send:
			w.serve(b, a)
		}
	}
}

func (w *tier) serve(b *Balancer, a Send) {
	r := b.requests[a.Request]
	at, work, report := len(r.attempts)-1, time.Duration(w.rng.ExpFloat64()*float64(w.mean)), []float32{tierSlots, 0}
	if r.Cost > 0 {
		work = r.Cost
	}
	wait := time.Millisecond
	if a.Worker == warmingID {
		w.sent = append(w.sent, warmupSend{w.now, work.Seconds()})
	} else {
		wait, report = 2*time.Second, []float32{0, 6}
	}
	w.after(wait, func() { w.handle(b, AttemptProgress{Request: a.Request, Attempt: at, Worker: a.Worker, Started: true}) })
	w.after(wait+work, func() {
		w.handle(b, AttemptDone{Request: a.Request, Attempt: at, Worker: a.Worker, Outcome: Served, Elapsed: wait + work, Over: true, Report: report})
	})
}

func (w *tier) request(i int) {
	w.requests++
	r := Request{ID: w.requests, Slots: 1, Deadline: w.now + w.s.Classes[0].Timeout}
	if w.hints {
		r.Cost, r.HasCost = time.Duration(w.rng.ExpFloat64()*float64(w.mean))+time.Millisecond, true
	}
	w.handle(w.all[i], r)
}

// requestsAtRate sends requests to random dispatchers at a rate, while the started worker warms up.
func (w *tier) requestsAtRate(i int, perSecond float64) {
	w.after(time.Duration(w.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		w.request(i)
		w.requestsAtRate(i, perSecond)
	})
}

func (w *tier) run() {
	for len(w.due) > 0 && w.due[0].at < warmAt {
		next := w.due[0]
		w.due = w.due[1:]
		w.now = next.at
		next.do()
	}
}

// largestWindow returns the most that the warming-up worker got in any window of the rules' time, as a fraction of what overloads
// it beyond chance (N + 2 x root of N + 2 requests of mean work), and what it got in all, as a fraction of N per window.
func (w *tier) largestWindow() (most, use float64) {
	r := w.s.Rules
	budget := func(at time.Duration) float64 {
		part := r.InitialCapacity + (1-r.InitialCapacity)*(at-startedAt).Seconds()/r.WarmupTime.Seconds()
		return r.OverloadMultiple * part * tierSlots * r.OverloadTime.Seconds() / w.mean.Seconds()
	}
	for i, first := range w.sent {
		sum := 0.0
		for _, s := range w.sent[i:] {
			if s.at > first.at+r.OverloadTime {
				break
			}
			sum += s.work / w.mean.Seconds()
		}
		n := budget(first.at)
		most = max(most, sum/(n+2*math.Sqrt(n)+2))
		use += first.work / w.mean.Seconds() / (budget(first.at) / r.OverloadTime.Seconds()) / (warmAt - startedAt).Seconds()
	}
	return most, use
}

// Scenarios in which many dispatchers may send a warming-up worker too much at once.
var warmupScenarios = map[string]func(w *tier){
	"steady": func(w *tier) {
		for i := range w.all {
			w.requestsAtRate(i, max(0.5, 60/float64(len(w.all))))
		}
	},
	// No requests for long, so that no budget is spent, and then requests at all dispatchers at once, repeatedly.
	"all at once": func(w *tier) {
		for _, at := range []time.Duration{8, 10, 13} {
			w.after(at*time.Second, func() {
				for i := range w.all {
					w.request(i)
				}
			})
		}
	},
	"left alone early": onlyWarmingUp(4 * time.Second),
	"left alone late":  onlyWarmingUp(10 * time.Second),
	// All restart without knowing how long requests run; then requests at all dispatchers at once.
	"restarted": func(w *tier) {
		for i := range w.all {
			w.requestsAtRate(i, 1)
		}
		w.after(7*time.Second, func() {
			for i := range w.all {
				w.start(i, w.list(true))
			}
		})
		w.after(7100*time.Millisecond, func() {
			for i := range w.all {
				w.request(i)
			}
		})
	},
}

// onlyWarmingUp drains the warm worker, so that only the warming-up one is left; then requests at all dispatchers at once.
func onlyWarmingUp(at time.Duration) func(w *tier) {
	return func(w *tier) {
		w.after(at, func() {
			for i, b := range w.all {
				w.handle(b, ListUpdate{Kind: ListChanges, Workers: []WorkerListing{{Worker: warmID, State: Draining}}})
				w.request(i)
			}
		})
	}
}

// play runs a scenario in which the list arrives late by a random time.
func (w *tier) play(day func(*tier), late time.Duration) {
	for i := range w.all {
		w.start(i, w.list(false))
	}
	w.after(100*time.Millisecond, func() {
		for i := range w.all {
			w.request(i) // each has seen that the warm one has a long queue
		}
	})
	for i := range w.all {
		w.after(startedAt+time.Duration(w.rng.Float64()*float64(late)), func() { w.handle(w.all[i], w.list(true)) })
	}
	w.after(startedAt, func() { day(w) })
	w.run()
}

// What many dispatchers together send a warming-up worker stays below what overloads it beyond chance, in any window, in
// scenarios made to exceed it. With a budget ten times as large it does not.
func TestBalancer_warmupBudgetUnderManyDispatchers(t *testing.T) {
	for _, n := range []int{1, 20, 30, 300} {
		for _, work := range []time.Duration{600 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("%d, %v", n, work), func(t *testing.T) {
				top, topUse, over := 0.0, 0.0, 0.0
				for _, name := range slices.Sorted(maps.Keys(warmupScenarios)) {
					for _, late := range []time.Duration{0, 6 * time.Second} {
						for seed := range uint64(3) {
							w := newTier(n, work, seed%2 == 0, seed)
							w.play(warmupScenarios[name], late)
							most, use := w.largestWindow()
							if most > 1 {
								t.Errorf("%s, list up to %v late, seed %d: the warming-up worker got %.2f of what overloads it", name, late, seed, most)
							}
							top, topUse = max(top, most), max(topUse, use)
						}
					}
					w := newTier(n, work, false, 1)
					w.s.Rules.OverloadMultiple *= 10
					w.play(warmupScenarios[name], 0)
					w.s.Rules.OverloadMultiple /= 10
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
func TestBalancer_warmupBudgetOfAllDispatchers(t *testing.T) {
	t.Run("two workers", func(t *testing.T) { runWarmupBudget(t, 2) })
	t.Run("asked by probes", func(t *testing.T) { runWarmupBudget(t, 12) })
}

func runWarmupBudget(t *testing.T, workers int) {
	const n = 60
	s := ruleSettings(0)
	s.Balancers, s.Limits.Messages, s.Limits.Probes = n, false, true
	var all []*stream
	for i := range n {
		s.Ordinal = i
		st := &stream{b: balancer(t, s, uint64(i)), c: newChecker(s), rng: rand.New(rand.NewPCG(uint64(i), 2))}
		st.handle(listOf(ListCached, workers))
		all = append(all, st)
	}
	var sent []stats.Sample // at, x: work in slot-seconds
	const work = 100 * time.Millisecond
	for now := time.Duration(0); now < 12*time.Second; now += 5 * time.Millisecond {
		for _, st := range all {
			st.now = now
			st.fire()
			if now == 2*time.Second {
				warmingUp := listing(2)
				warmingUp.Started = now
				st.handle(ListUpdate{Kind: ListChanges, Workers: []WorkerListing{warmingUp}})
			}
			if st.rng.IntN(40) == 0 {
				st.next++
				st.handle(Request{ID: st.next, Cost: work, HasCost: true, Slots: 1, Deadline: now + 4*time.Second})
			}
			for id := max(1, st.next-20); id <= st.next; id++ {
				for i, at := range st.c.requests[id].attempts {
					if at.out && now-at.sentAt >= work {
						st.handle(AttemptDone{Request: id, Attempt: i, Worker: at.worker, Outcome: Served, Elapsed: work,
							Over: true, Report: []float32{4, 0}})
					}
				}
			}
			for i := 0; i < len(st.trace); i++ { // an answer adds to it
				if a, ok := st.trace[i].(Probe); ok {
					st.handle(ProbeDone{Worker: a.Worker, Outcome: Served, Report: []float32{4, 0}})
				}
			}
			for _, a := range st.trace {
				if a, ok := a.(Send); ok && a.Worker == 2 && now >= 2*time.Second {
					sent = append(sent, stats.Sample{At: now, X: work.Seconds()})
				}
			}
			st.trace = nil
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
