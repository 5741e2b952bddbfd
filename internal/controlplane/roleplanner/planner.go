package roleplanner

import (
	"cmp"
	"slices"
	"time"
)

// maxTransitioningShare is the share of a service's workers that may be changing their stage at the same time.
const maxTransitioningShare = 0.4

// Worker is one worker of a service, as the registry records it.
type Worker struct {
	ID       string
	Address  string // "ip:port"
	Zone     string
	Stage    string // reported by the worker: Prefill or Decode
	Assigned string // stage that the worker is to have; empty if none is assigned
	Draining bool
	Held     bool // must not be commanded, and so not be assigned a stage, yet
}

// transitioning reports whether the worker is assigned a stage that it does not have yet.
func (w *Worker) transitioning() bool { return w.Assigned != "" && w.Assigned != w.Stage }

// targetStage returns the stage that the worker has, or will have after its transition.
func (w *Worker) targetStage() string {
	if w.Assigned != "" {
		return w.Assigned
	}
	return w.Stage
}

// Assignment is a request to record in the registry which stage a worker is to have. An empty stage withdraws the
// worker's assignment.
type Assignment struct{ ID, Stage string }

// Command is a request to command a worker to change to a stage.
type Command struct {
	ID, Address, Stage string
}

// Plan is what the caller must carry out now.
type Plan struct {
	Assignments []Assignment
	Commands    []Command
	Polls       []Command // workers that may have reached the stage; the caller asks each for its current stage
}

// CommandResult is the outcome of a command, as the caller reports it to Planner.CommandFinished.
type CommandResult uint8

// Results of a command.
const (
	// Accepted means that the worker is changing to the stage, or has it already.
	Accepted CommandResult = iota + 1
	// Busy means that the worker is executing another command or did not answer; the command is retried.
	Busy
	// Rejected means that the worker will not change its stage.
	Rejected
)

// String returns the name of the result.
func (r CommandResult) String() string {
	switch r {
	case Accepted:
		return "accepted"
	case Busy:
		return "busy"
	case Rejected:
		return "rejected"
	default:
		return "unknown"
	}
}

// Status describes a service for the operators' status pages.
type Status struct {
	Demand         Demand // recent average, in workers
	PrefillWorkers int    // workers with stage Prefill that are not transitioning
	DecodeWorkers  int    // workers with stage Decode that are not transitioning
	Transitioning  int
	TargetPrefill  int // number of prefill workers that the service is to have; 0 if not decided
}

// Planner plans the stages of one service's workers. It is not safe for concurrent use; the shard owner's planning loop in
// package server calls it. Its state is lost when the ownership ends: the new owner's planner continues from the
// assignments recorded in the registry.
type Planner struct {
	demand        demandAverage
	targetPrefill int // number of prefill workers that the service is to have; 0 if not decided
	status        Status

	switchTime    time.Duration            // time that a worker needs to change its stage
	transitions   map[string]*transition   // by worker ID
	cooldownUntil map[string]time.Duration // by worker ID: when the worker may be given a new assignment
}

// NewPlanner returns a planner without state. It continues any assignments that the workers already have.
func NewPlanner() *Planner {
	return &Planner{transitions: map[string]*transition{}, cooldownUntil: map[string]time.Duration{}}
}

// Status returns the status of the service at the last call of Plan.
func (p *Planner) Status() Status { return p.status }

// Plan returns what to do for a service with these workers and this demand rate. It must be called several times a second.
// switchTime is the time that a worker needs to change its stage.
func (p *Planner) Plan(now time.Duration, workers []Worker, demand Demand, switchTime time.Duration) Plan {
	p.switchTime = switchTime
	eligible := eligibleWorkers(workers)
	p.demand.observe(now, demand, countActivePrefill(eligible))
	p.pruneTransitions(now, workers)
	plan := p.continueTransitions(now, eligible)
	p.updateTarget(eligible)
	p.updateStatus(eligible)
	plan.Assignments = append(plan.Assignments, p.selectAssignments(now, eligible)...)
	return plan
}

// eligibleWorkers returns the workers that have a stage and are not draining.
func eligibleWorkers(workers []Worker) []Worker {
	eligible := make([]Worker, 0, len(workers))
	for _, worker := range workers {
		if !worker.Draining && (worker.Stage == Prefill || worker.Stage == Decode) {
			eligible = append(eligible, worker)
		}
	}
	return eligible
}

// countActivePrefill returns the number of prefill workers that are not transitioning.
func countActivePrefill(workers []Worker) int {
	count := 0
	for i := range workers {
		if workers[i].Stage == Prefill && !workers[i].transitioning() {
			count++
		}
	}
	return count
}

// selectAssignments picks the workers that are to change their stage, so that the number of prefill workers approaches the
// target. Until demand has been observed for minObservation it changes nothing, unless the service has no decode worker.
func (p *Planner) selectAssignments(now time.Duration, workers []Worker) []Assignment {
	prefillWorkers := countTargetPrefill(workers)
	if p.targetPrefill == 0 || !p.demand.observedFor(minObservation) && prefillWorkers < len(workers) {
		return nil
	}
	shortfall := p.targetPrefill - prefillWorkers
	toStage, fromStage := Prefill, Decode
	if shortfall < 0 {
		toStage, fromStage, shortfall = Decode, Prefill, -shortfall
	}
	capacity := max(1, int(maxTransitioningShare*float64(len(workers)))) - p.status.Transitioning
	chosen := p.candidates(now, workers, fromStage)
	chosen = chosen[:max(0, min(shortfall, capacity, len(chosen)))]
	assignments := make([]Assignment, 0, len(chosen))
	for _, id := range chosen {
		assignments = append(assignments, Assignment{ID: id, Stage: toStage})
		p.transitions[id] = &transition{stage: toStage, assignedAt: now}
	}
	return assignments
}

// candidates returns the IDs of the workers that have the given stage and may be assigned another one, in order of
// preference: the next ID is always taken from the zone with the most candidates left, so that zones stay balanced, and
// within a zone in ascending order.
func (p *Planner) candidates(now time.Duration, workers []Worker, stage string) []string {
	byZone := map[string][]string{}
	for i := range workers {
		worker := &workers[i]
		if worker.Held || worker.transitioning() || p.transitions[worker.ID] != nil || worker.Stage != stage || now < p.cooldownUntil[worker.ID] {
			continue
		}
		byZone[worker.Zone] = append(byZone[worker.Zone], worker.ID)
	}
	zones := make([]string, 0, len(byZone))
	for zone := range byZone {
		slices.Sort(byZone[zone])
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	var ordered []string
	for {
		largestZone := slices.MaxFunc(append([]string{""}, zones...), func(left, right string) int {
			return cmp.Compare(len(byZone[left]), len(byZone[right]))
		})
		if len(byZone[largestZone]) == 0 {
			return ordered
		}
		ordered = append(ordered, byZone[largestZone][0])
		byZone[largestZone] = byZone[largestZone][1:]
	}
}

// updateStatus computes the status that Status returns.
func (p *Planner) updateStatus(workers []Worker) {
	p.status = Status{Demand: p.demand.mean(), TargetPrefill: p.targetPrefill}
	for i := range workers {
		switch {
		case workers[i].transitioning():
			p.status.Transitioning++
		case workers[i].Stage == Prefill:
			p.status.PrefillWorkers++
		default:
			p.status.DecodeWorkers++
		}
	}
}
