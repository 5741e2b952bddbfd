package roleplanner

import (
	"fmt"
	"testing"
	"time"
)

// fleet is a scripted service: it carries out assignments and commands as workers would.
type fleet struct {
	t              *testing.T
	planner        *Planner
	now            time.Duration
	demand         Demand
	workers        []Worker
	transitionTime time.Duration            // between a command and the new stage
	completesAt    map[string]time.Duration // when the transition of a worker completes
	answer         func(Command) Result     // nil: Accepted
	commands       []Command

	mayLackDecode bool
}

func newFleet(t *testing.T, prefillWorkers, decodeWorkers int) *fleet {
	f := &fleet{t: t, planner: NewPlanner(), now: time.Second, transitionTime: 2 * time.Second, completesAt: map[string]time.Duration{}}
	for i := range prefillWorkers + decodeWorkers {
		stage := Decode
		if i < prefillWorkers {
			stage = Prefill
		}
		f.workers = append(f.workers, Worker{ID: fmt.Sprintf("w%02d", i), Zone: fmt.Sprint("z", i%3), Stage: stage})
	}
	return f
}

// demandOf returns a demand of prefill and decode alone.
func demandOf(prefill, slots float64) Demand {
	return Demand{Prefill: prefill, Slots: slots, Offered: 1, Started: 1}
}

// observedDemand returns what proxies observe of the demand with the present prefill workers: these complete no more prompts
// than they can, prompts wait, and only completed ones start to stream.
func (f *fleet) observedDemand() Demand {
	prefillWorkers := float64(countActivePrefill(f.workers))
	demand := f.demand
	if demand.Prefill == 0 || prefillWorkers == 0 {
		return demand
	}
	demand.PrefillDone = min(demand.Prefill, 0.98*prefillWorkers)
	busy := demand.PrefillDone / prefillWorkers
	demand.PrefillTime = demand.PrefillDone * (1 + queueingFactor*busy/(1-busy))
	demand.Offered, demand.Started = demand.Prefill, demand.PrefillDone
	demand.Slots *= demand.PrefillDone / demand.Prefill
	return demand
}

// run simulates a time span in steps of 250 ms.
func (f *fleet) run(span time.Duration) {
	for end := f.now + span; f.now < end; f.now += 250 * time.Millisecond {
		plan := f.planner.Plan(f.now, f.workers, f.observedDemand(), time.Second)
		for _, entry := range plan.Assignments {
			f.worker(entry.ID).Assigned = entry.Stage
		}
		for _, command := range plan.Commands {
			f.execute(command)
		}
		for id, at := range f.completesAt {
			if f.now >= at {
				worker := f.worker(id)
				worker.Stage = worker.Assigned
				delete(f.completesAt, id)
			}
		}
		f.check()
	}
}

func (f *fleet) execute(command Command) {
	f.commands = append(f.commands, command)
	result := Accepted
	if f.answer != nil {
		result = f.answer(command)
	}
	f.planner.CommandFinished(command.ID, result)
	if result == Accepted {
		f.completesAt[command.ID] = f.now + f.transitionTime
	}
}

func (f *fleet) worker(id string) *Worker {
	for i := range f.workers {
		if f.workers[i].ID == id {
			return &f.workers[i]
		}
	}
	f.t.Fatalf("no worker %s", id)
	return nil
}

func (f *fleet) count() (prefillWorkers, decodeWorkers, transitioning int) {
	for i := range f.workers {
		switch {
		case f.workers[i].transitioning():
			transitioning++
		case f.workers[i].Stage == Prefill:
			prefillWorkers++
		default:
			decodeWorkers++
		}
	}
	return prefillWorkers, decodeWorkers, transitioning
}

// check fails the test if an invariant does not hold.
func (f *fleet) check() {
	prefillWorkers, decodeWorkers, transitioning := f.count()
	if prefillWorkers+transitioning < 1 || decodeWorkers < 1 && !f.mayLackDecode || transitioning > max(1, int(maxTransitioningShare*float64(len(f.workers)))) {
		f.t.Fatalf("at %v: %d prefill, %d decode, %d transitioning", f.now, prefillWorkers, decodeWorkers, transitioning)
	}
}

func (f *fleet) expectPrefill(prefillWorkers int) {
	f.t.Helper()
	if have, _, transitioning := f.count(); have != prefillWorkers || transitioning != 0 {
		f.t.Fatalf("%d prefill workers and %d transitioning, not %d", have, transitioning, prefillWorkers)
	}
}

func TestPlanner_Plan_followsDemand(t *testing.T) {
	for _, start := range []int{6, 24, 54} {
		f := newFleet(t, start, 60-start)
		f.demand = demandOf(24, 2) // requires about 34 prefill and 4.4 decode workers
		f.run(30 * time.Second)
		prefillWorkers, _, transitioning := f.count()
		if transitioning != 0 || prefillWorkers < 50 || prefillWorkers > 56 {
			t.Errorf("from %d: %d prefill, %d transitioning", start, prefillWorkers, transitioning)
		}
	}
}

func TestPlanner_Plan_decodeHeavyDemand(t *testing.T) {
	f := newFleet(t, 24, 36)
	f.demand = demandOf(0.6, 20)
	f.run(60 * time.Second)
	f.expectPrefill(2)
}

func TestPlanner_Plan_withoutDemand(t *testing.T) {
	f := newFleet(t, 4, 5)
	f.run(30 * time.Second)
	f.expectPrefill(4)
	f.demand = demandOf(1, 0.1)
	f.run(20 * time.Second)
	before := len(f.commands)
	f.demand = Demand{}
	f.run(60 * time.Second)
	if len(f.commands) != before {
		t.Fatalf("%d commands after the traffic had ended", len(f.commands)-before)
	}
}

func TestPlanner_Plan_noDecodeWorkerLeft(t *testing.T) {
	f := newFleet(t, 9, 0)
	f.mayLackDecode = true
	f.run(10 * time.Second)
	f.expectPrefill(7)
	f.demand = demandOf(3, 0.4)
	f.run(20 * time.Second)
	var left []Worker
	for _, worker := range f.workers {
		if worker.Stage == Prefill {
			left = append(left, worker)
		}
	}
	f.workers = left    // all decode workers are lost at once
	f.demand = Demand{} // and without them no demand is seen
	f.run(10 * time.Second)
	if _, decodeWorkers, _ := f.count(); decodeWorkers == 0 {
		t.Fatal("no decode worker")
	}
}

func TestPlanner_Plan_hysteresis(t *testing.T) {
	f := newFleet(t, 30, 30)
	f.demand = demandOf(12, 10)
	f.run(30 * time.Second)
	before := len(f.commands)
	for i := range 60 {
		f.demand = demandOf(12*(1+0.06*float64(i%2)), 10)
		f.run(time.Second)
	}
	if len(f.commands) != before {
		t.Fatalf("%d commands", len(f.commands)-before)
	}
}

func TestPlanner_Plan_oneWorkerOrNoStages(t *testing.T) {
	planner := NewPlanner()
	for i := range 40 {
		now := time.Duration(i+1) * 250 * time.Millisecond
		for _, workers := range [][]Worker{nil, {{ID: "a", Stage: Decode}}, {{ID: "a"}, {ID: "b"}, {ID: "c"}}} {
			if plan := planner.Plan(now, workers, demandOf(5, 1), time.Second); len(plan.Assignments)+len(plan.Commands) > 0 {
				t.Fatalf("%+v", plan)
			}
		}
	}
}

func TestPlanner_Plan_retriesThenWithdrawsCommand(t *testing.T) {
	f := newFleet(t, 2, 7)
	f.demand = demandOf(3, 0.4)
	f.answer = func(command Command) Result {
		if command.ID == "w02" {
			return Busy
		}
		return Accepted
	}
	f.run(30 * time.Second)
	given := 0
	for _, command := range f.commands {
		if command.ID == "w02" {
			given++
		}
	}
	if given != maxAttempts || f.worker("w02").Assigned != "" {
		t.Fatalf("%d commands, assigned %q", given, f.worker("w02").Assigned)
	}
	if prefillWorkers, _, _ := f.count(); prefillWorkers < 6 {
		t.Fatalf("%d prefill workers: no other worker was assigned", prefillWorkers)
	}
}

func TestPlanner_Plan_rejectedCommandNotRepeated(t *testing.T) {
	f := newFleet(t, 2, 7)
	f.demand = demandOf(3, 0.4)
	f.answer = func(Command) Result { return Rejected }
	f.run(20 * time.Second)
	commanded := map[string]int{}
	for _, command := range f.commands {
		if commanded[command.ID]++; commanded[command.ID] > 1 {
			t.Fatalf("%s was commanded again", command.ID)
		}
	}
	if len(commanded) == 0 {
		t.Fatal("no command")
	}
}

func TestPlanner_Plan_newOwnerContinuesAssignments(t *testing.T) {
	f := newFleet(t, 2, 7)
	f.demand = demandOf(3, 0.4)
	f.transitionTime = time.Hour
	f.run(3 * time.Second)
	f.planner, f.commands = NewPlanner(), nil
	f.transitionTime = time.Second
	f.run(500 * time.Millisecond)
	if len(f.commands) == 0 || f.commands[0].Stage != Prefill {
		t.Fatalf("the assignments of the previous owner were not continued: %+v", f.commands)
	}
}

func TestPlanner_Plan_replacedWorkers(t *testing.T) {
	f := newFleet(t, 4, 5)
	f.demand = demandOf(3, 0.4)
	f.run(15 * time.Second)
	prefillWorkers, _, _ := f.count()
	for i := range f.workers { // a release replaces all workers, in their first stages
		stage := Decode
		if i < 4 {
			stage = Prefill
		}
		f.workers[i] = Worker{ID: fmt.Sprintf("x%02d", i), Zone: f.workers[i].Zone, Stage: stage}
	}
	f.run(15 * time.Second)
	f.expectPrefill(prefillWorkers)
}

func TestPlanner_Plan_balancesZones(t *testing.T) {
	f := newFleet(t, 0, 30)
	f.workers[0].Stage = Prefill
	f.demand = demandOf(10, 5)
	f.run(30 * time.Second)
	byZone := map[string]int{}
	for i := range f.workers {
		if f.workers[i].Stage == Prefill {
			byZone[f.workers[i].Zone]++
		}
	}
	for zone, prefillWorkers := range byZone {
		if prefillWorkers < byZone["z0"]-1 || prefillWorkers > byZone["z0"]+1 {
			t.Errorf("%s has %d prefill workers: %v", zone, prefillWorkers, byZone)
		}
	}
}

func TestPrefillSlowdown_correctsForQueueing(t *testing.T) {
	const prefillWorkers = 20
	for _, slowdown := range []float64{0.5, 1, 2} {
		for _, busy := range []float64{0.05, 0.5, 0.8, 0.95} {
			done := busy * prefillWorkers / slowdown
			wait := slowdown * (1 + queueingFactor*busy/(1-busy))
			demand := Demand{Prefill: done, PrefillDone: done, PrefillTime: done * wait}
			if seen := prefillSlowdown(demand, prefillWorkers); seen < 0.99*slowdown || seen > 1.01*slowdown {
				t.Errorf("slowdown %v, utilization %v: estimated as %v", slowdown, busy, seen)
			}
		}
	}
	if seen := prefillSlowdown(Demand{PrefillDone: 10, PrefillTime: 1e6}, prefillWorkers); seen > prefillWorkers/10.+1e-3 {
		t.Errorf("endless waits are a slowdown of %v", seen)
	}
}

func TestPlanner_Plan_demandShiftsAndReturns(t *testing.T) {
	f := newFleet(t, 24, 36)
	f.demand = demandOf(24, 2)
	f.run(20 * time.Second)
	many, _, _ := f.count()
	f.demand = demandOf(3, 18)
	f.run(40 * time.Second)
	few, _, _ := f.count()
	f.demand = demandOf(24, 2)
	f.run(40 * time.Second)
	again, _, transitioning := f.count()
	if many < 45 || few > 10 || again < 45 || transitioning != 0 {
		t.Fatalf("%d prefill workers, then %d, then %d and %d transitioning", many, few, again, transitioning)
	}
}

func TestPlanner_Plan_crashesDuringTransition(t *testing.T) {
	f := newFleet(t, 6, 18)
	f.demand = demandOf(9, 0.8)
	f.transitionTime = time.Hour
	f.run(3 * time.Second)
	crashed := 0
	for i := range f.workers {
		if f.workers[i].transitioning() { // its replacement is another instance, in the first stage
			crashed++
			f.workers[i] = Worker{ID: fmt.Sprintf("x%02d", i), Zone: f.workers[i].Zone, Stage: Decode}
		}
	}
	f.completesAt, f.transitionTime = map[string]time.Duration{}, time.Second
	f.run(30 * time.Second)
	prefillWorkers, _, transitioning := f.count()
	if crashed == 0 || prefillWorkers < 17 || transitioning != 0 {
		t.Fatalf("%d crashed; %d prefill, %d transitioning", crashed, prefillWorkers, transitioning)
	}
	if len(f.planner.transitions) != 0 {
		t.Fatalf("%d transitions remain", len(f.planner.transitions))
	}
}
