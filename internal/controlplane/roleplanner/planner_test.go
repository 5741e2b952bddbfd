package roleplanner

import (
	"fmt"
	"testing"
	"time"
)

// simulatedService carries out the assignments and commands of a planner as the workers of a service would.
type simulatedService struct {
	t              *testing.T
	planner        *Planner
	now            time.Duration
	demand         Demand
	workers        []Worker
	transitionTime time.Duration               // time between a command and the new stage
	completesAt    map[string]time.Duration    // when the transition of a worker completes
	commandResult  func(Command) CommandResult // result of a command; nil: always Accepted
	commands       []Command                   // all commands so far
	allowNoDecode  bool                        // the service may be without a decode worker
}

func newSimulatedService(t *testing.T, prefillWorkers, decodeWorkers int) *simulatedService {
	s := &simulatedService{t: t, planner: NewPlanner(), now: time.Second, transitionTime: 2 * time.Second, completesAt: map[string]time.Duration{}}
	for i := range prefillWorkers + decodeWorkers {
		stage := Decode
		if i < prefillWorkers {
			stage = Prefill
		}
		s.workers = append(s.workers, Worker{ID: fmt.Sprintf("w%02d", i), Zone: fmt.Sprint("z", i%3), Stage: stage})
	}
	return s
}

// demandOf returns a demand for prefill and decode slots only.
func demandOf(prefill, slots float64) Demand {
	return Demand{Prefill: prefill, Slots: slots, Offered: 1, Started: 1}
}

// observedDemand returns the demand that proxies observe with the current prefill workers: these complete no more prompts
// than their capacity allows, prompts queue, and only completed prompts start to stream.
func (s *simulatedService) observedDemand() Demand {
	prefillWorkers := float64(countActivePrefill(s.workers))
	demand := s.demand
	if demand.Prefill == 0 || prefillWorkers == 0 {
		return demand
	}
	demand.PrefillDone = min(demand.Prefill, 0.98*prefillWorkers)
	utilization := demand.PrefillDone / prefillWorkers
	demand.PrefillTime = demand.PrefillDone * (1 + queueingFactor*utilization/(1-utilization))
	demand.Offered, demand.Started = demand.Prefill, demand.PrefillDone
	demand.Slots *= demand.PrefillDone / demand.Prefill
	return demand
}

// run simulates the service for a time span, in steps of 250 ms.
func (s *simulatedService) run(span time.Duration) {
	for end := s.now + span; s.now < end; s.now += 250 * time.Millisecond {
		plan := s.planner.Plan(s.now, s.workers, s.observedDemand(), time.Second)
		for _, entry := range plan.Assignments {
			s.worker(entry.ID).Assigned = entry.Stage
		}
		for _, command := range plan.Commands {
			s.execute(command)
		}
		for id, at := range s.completesAt {
			if s.now >= at {
				worker := s.worker(id)
				worker.Stage = worker.Assigned
				delete(s.completesAt, id)
			}
		}
		s.checkInvariants()
	}
}

func (s *simulatedService) execute(command Command) {
	s.commands = append(s.commands, command)
	result := Accepted
	if s.commandResult != nil {
		result = s.commandResult(command)
	}
	s.planner.CommandFinished(command.ID, result)
	if result == Accepted {
		s.completesAt[command.ID] = s.now + s.transitionTime
	}
}

func (s *simulatedService) worker(id string) *Worker {
	for i := range s.workers {
		if s.workers[i].ID == id {
			return &s.workers[i]
		}
	}
	s.t.Fatalf("the service has no worker %s", id)
	return nil
}

func (s *simulatedService) countWorkers() (prefillWorkers, decodeWorkers, transitioning int) {
	for i := range s.workers {
		switch {
		case s.workers[i].transitioning():
			transitioning++
		case s.workers[i].Stage == Prefill:
			prefillWorkers++
		default:
			decodeWorkers++
		}
	}
	return prefillWorkers, decodeWorkers, transitioning
}

// checkInvariants fails the test if no worker runs prefill or is transitioning, no worker runs decode, or too many workers
// are transitioning.
func (s *simulatedService) checkInvariants() {
	prefillWorkers, decodeWorkers, transitioning := s.countWorkers()
	if prefillWorkers+transitioning < 1 || decodeWorkers < 1 && !s.allowNoDecode || transitioning > max(1, int(maxTransitioningShare*float64(len(s.workers)))) {
		s.t.Fatalf("at %v: %d prefill, %d decode and %d transitioning of %d workers violate the limits", s.now, prefillWorkers, decodeWorkers, transitioning, len(s.workers))
	}
}

func (s *simulatedService) expectPrefill(prefillWorkers int) {
	s.t.Helper()
	if got, _, transitioning := s.countWorkers(); got != prefillWorkers || transitioning != 0 {
		s.t.Fatalf("at %v: %d prefill workers and %d transitioning, want %d and 0", s.now, got, transitioning, prefillWorkers)
	}
}

func TestPlanner_Plan_followsDemand(t *testing.T) {
	for _, start := range []int{6, 24, 54} {
		s := newSimulatedService(t, start, 60-start)
		s.demand = demandOf(24, 2) // requires about 34 prefill and 4.4 decode workers
		s.run(30 * time.Second)
		prefillWorkers, _, transitioning := s.countWorkers()
		if transitioning != 0 || prefillWorkers < 50 || prefillWorkers > 56 {
			t.Errorf("after 30s from %d prefill workers: %d prefill workers and %d transitioning, want 50 to 56 and 0", start, prefillWorkers, transitioning)
		}
	}
}

func TestPlanner_Plan_decodeHeavyDemand(t *testing.T) {
	s := newSimulatedService(t, 24, 36)
	s.demand = demandOf(0.6, 20)
	s.run(60 * time.Second)
	s.expectPrefill(2)
}

func TestPlanner_Plan_withoutDemand(t *testing.T) {
	s := newSimulatedService(t, 4, 5)
	s.run(30 * time.Second)
	s.expectPrefill(4)
	s.demand = demandOf(1, 0.1)
	s.run(20 * time.Second)
	commandsBefore := len(s.commands)
	s.demand = Demand{}
	s.run(60 * time.Second)
	if len(s.commands) != commandsBefore {
		t.Fatalf("%d commands after the demand ended, want none", len(s.commands)-commandsBefore)
	}
}

func TestPlanner_Plan_noDecodeWorkerLeft(t *testing.T) {
	s := newSimulatedService(t, 9, 0)
	s.allowNoDecode = true
	s.run(10 * time.Second)
	s.expectPrefill(7)
	s.demand = demandOf(3, 0.4)
	s.run(20 * time.Second)
	var remaining []Worker
	for _, worker := range s.workers {
		if worker.Stage == Prefill {
			remaining = append(remaining, worker)
		}
	}
	s.workers = remaining // all decode workers fail at the same time
	s.demand = Demand{}   // without decode workers no demand is observed
	s.run(10 * time.Second)
	if _, decodeWorkers, _ := s.countWorkers(); decodeWorkers == 0 {
		t.Fatal("no decode worker 10s after all of them failed")
	}
}

func TestPlanner_Plan_hysteresis(t *testing.T) {
	s := newSimulatedService(t, 30, 30)
	s.demand = demandOf(12, 10)
	s.run(30 * time.Second)
	commandsBefore := len(s.commands)
	for i := range 60 {
		s.demand = demandOf(12*(1+0.06*float64(i%2)), 10)
		s.run(time.Second)
	}
	if len(s.commands) != commandsBefore {
		t.Fatalf("%d commands while the prefill demand alternated by 6%%, want none", len(s.commands)-commandsBefore)
	}
}

func TestPlanner_Plan_oneWorkerOrNoStages(t *testing.T) {
	planner := NewPlanner()
	for i := range 40 {
		now := time.Duration(i+1) * 250 * time.Millisecond
		for _, workers := range [][]Worker{nil, {{ID: "a", Stage: Decode}}, {{ID: "a"}, {ID: "b"}, {ID: "c"}}} {
			if plan := planner.Plan(now, workers, demandOf(5, 1), time.Second); len(plan.Assignments)+len(plan.Commands) > 0 {
				t.Fatalf("plan for workers %+v is %+v, want no assignments and no commands", workers, plan)
			}
		}
	}
}

func TestPlanner_Plan_retriesThenWithdrawsCommand(t *testing.T) {
	s := newSimulatedService(t, 2, 7)
	s.demand = demandOf(3, 0.4)
	s.commandResult = func(command Command) CommandResult {
		if command.ID == "w02" {
			return Busy
		}
		return Accepted
	}
	s.run(30 * time.Second)
	sent := 0
	for _, command := range s.commands {
		if command.ID == "w02" {
			sent++
		}
	}
	if sent != maxAttempts || s.worker("w02").Assigned != "" {
		t.Fatalf("busy worker w02 got %d commands and is assigned %q, want %d commands and no assignment", sent, s.worker("w02").Assigned, maxAttempts)
	}
	if prefillWorkers, _, _ := s.countWorkers(); prefillWorkers < 6 {
		t.Fatalf("%d prefill workers, want at least 6: no other worker replaced the busy one", prefillWorkers)
	}
}

func TestPlanner_Plan_rejectedCommandNotRepeated(t *testing.T) {
	s := newSimulatedService(t, 2, 7)
	s.demand = demandOf(3, 0.4)
	s.commandResult = func(Command) CommandResult { return Rejected }
	s.run(20 * time.Second)
	commandCount := map[string]int{}
	for _, command := range s.commands {
		if commandCount[command.ID]++; commandCount[command.ID] > 1 {
			t.Fatalf("worker %s rejected a command and was commanded again within 20s", command.ID)
		}
	}
	if len(commandCount) == 0 {
		t.Fatal("no command was sent")
	}
}

func TestPlanner_Plan_newOwnerContinuesAssignments(t *testing.T) {
	s := newSimulatedService(t, 2, 7)
	s.demand = demandOf(3, 0.4)
	s.transitionTime = time.Hour
	s.run(3 * time.Second)
	s.planner, s.commands = NewPlanner(), nil
	s.transitionTime = time.Second
	s.run(500 * time.Millisecond)
	if len(s.commands) == 0 || s.commands[0].Stage != Prefill {
		t.Fatalf("commands of the new owner are %+v, want the prefill assignments of the previous owner continued", s.commands)
	}
}

func TestPlanner_Plan_replacedWorkers(t *testing.T) {
	s := newSimulatedService(t, 4, 5)
	s.demand = demandOf(3, 0.4)
	s.run(15 * time.Second)
	prefillWorkers, _, _ := s.countWorkers()
	for i := range s.workers { // a rollout replaces all workers by new ones with their initial stages
		stage := Decode
		if i < 4 {
			stage = Prefill
		}
		s.workers[i] = Worker{ID: fmt.Sprintf("x%02d", i), Zone: s.workers[i].Zone, Stage: stage}
	}
	s.run(15 * time.Second)
	s.expectPrefill(prefillWorkers)
}

func TestPlanner_Plan_balancesZones(t *testing.T) {
	s := newSimulatedService(t, 0, 30)
	s.workers[0].Stage = Prefill
	s.demand = demandOf(10, 5)
	s.run(30 * time.Second)
	byZone := map[string]int{}
	for i := range s.workers {
		if s.workers[i].Stage == Prefill {
			byZone[s.workers[i].Zone]++
		}
	}
	for zone, prefillWorkers := range byZone {
		if prefillWorkers < byZone["z0"]-1 || prefillWorkers > byZone["z0"]+1 {
			t.Errorf("zone %s has %d prefill workers, want at most 1 more or less than z0: %v", zone, prefillWorkers, byZone)
		}
	}
}

func TestPrefillSlowdown_correctsForQueueing(t *testing.T) {
	const prefillWorkers = 20
	for _, slowdown := range []float64{0.5, 1, 2} {
		for _, utilization := range []float64{0.05, 0.5, 0.8, 0.95} {
			completedWork := utilization * prefillWorkers / slowdown
			timeRatio := slowdown * (1 + queueingFactor*utilization/(1-utilization))
			demand := Demand{Prefill: completedWork, PrefillDone: completedWork, PrefillTime: completedWork * timeRatio}
			if estimate := prefillSlowdown(demand, prefillWorkers); estimate < 0.99*slowdown || estimate > 1.01*slowdown {
				t.Errorf("slowdown %v at utilization %v is estimated as %v, want within 1%%", slowdown, utilization, estimate)
			}
		}
	}
	if estimate := prefillSlowdown(Demand{PrefillDone: 10, PrefillTime: 1e6}, prefillWorkers); estimate > prefillWorkers/10.+1e-3 {
		t.Errorf("extremely long queueing is estimated as slowdown %v, want at most %v", estimate, prefillWorkers/10.)
	}
}

func TestPlanner_Plan_demandShiftsAndReturns(t *testing.T) {
	s := newSimulatedService(t, 24, 36)
	s.demand = demandOf(24, 2)
	s.run(20 * time.Second)
	initial, _, _ := s.countWorkers()
	s.demand = demandOf(3, 18)
	s.run(40 * time.Second)
	afterShift, _, _ := s.countWorkers()
	s.demand = demandOf(24, 2)
	s.run(40 * time.Second)
	afterReturn, _, transitioning := s.countWorkers()
	if initial < 45 || afterShift > 10 || afterReturn < 45 || transitioning != 0 {
		t.Fatalf("%d prefill workers, %d after the shift to decode, %d and %d transitioning after the return; want at least 45, at most 10, at least 45 and 0", initial, afterShift, afterReturn, transitioning)
	}
}

func TestPlanner_Plan_crashesDuringTransition(t *testing.T) {
	s := newSimulatedService(t, 6, 18)
	s.demand = demandOf(9, 0.8)
	s.transitionTime = time.Hour
	s.run(3 * time.Second)
	crashed := 0
	for i := range s.workers {
		if s.workers[i].transitioning() { // it crashes and is replaced by a new instance with the initial stage
			crashed++
			s.workers[i] = Worker{ID: fmt.Sprintf("x%02d", i), Zone: s.workers[i].Zone, Stage: Decode}
		}
	}
	s.completesAt, s.transitionTime = map[string]time.Duration{}, time.Second
	s.run(30 * time.Second)
	prefillWorkers, _, transitioning := s.countWorkers()
	if crashed == 0 || prefillWorkers < 17 || transitioning != 0 {
		t.Fatalf("%d workers crashed, then %d prefill workers and %d transitioning; want some crashed, at least 17 and 0", crashed, prefillWorkers, transitioning)
	}
	if len(s.planner.transitions) != 0 {
		t.Fatalf("the planner still has %d transitions, want none", len(s.planner.transitions))
	}
}

// A worker that is held keeps its role, and goes on with its transition once it is released.
func TestPlanner_Plan_heldWorkerIsNotCommanded(t *testing.T) {
	s := newSimulatedService(t, 2, 6)
	for i := range s.workers {
		s.workers[i].Held = true
	}
	s.workers[5].Assigned = Prefill
	s.demand = demandOf(4, 1)
	s.run(20 * time.Second)
	if len(s.commands) != 0 || s.workers[5].Assigned != Prefill {
		t.Fatalf("commands %v, assignment %q of the held worker in transition; want none and prefill", s.commands, s.workers[5].Assigned)
	}
	s.workers[5].Held = false
	s.run(time.Second)
	if len(s.commands) != 1 || s.commands[0].ID != s.workers[5].ID {
		t.Fatalf("commands %v after one worker was released, want one to it", s.commands)
	}
}
