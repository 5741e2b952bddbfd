package roleplanner

import (
	"cmp"
	"slices"
	"time"
)

// Times and bounds of the loop.
const (
	demandTimeConstant    = 3 * time.Second        // in which an earlier demand falls by e
	queueingFactor        = 0.5                    // waits at readers, against those at servers to which work goes without regard to their queues
	fullObservation       = 2 * time.Second        // up to which the split stays within earlyShare
	earlyDecodeShare      = 0.25                   // of the workers that write meanwhile at least: streams that have just begun are few
	minServedShare        = 0.2                    // part of the requests that begin to stream, from which streams are extrapolated
	negligibleDemand      = 1e-6                   // workers; less is none
	minObservation        = 400 * time.Millisecond // of demand before the first decision
	hysteresisShare       = 0.06                   // part of the workers by which the wanted split must differ
	minHysteresis         = 1.                     // and at least so many workers
	decodeShortageShare   = 0.03                   // the same where writers are lacking
	minDecodeShortage     = 0.25
	maxTransitioningShare = 0.4                    // part of the workers that change their stage at once
	commandDelay          = 80 * time.Millisecond  // from an assignment to its order: proxies learn of it before
	assignmentTimeout     = 2 * time.Second        // an assignment that is not recorded by then has failed
	commandRetryInterval  = time.Second            // without a clear answer the order is given again
	reportLag             = 250 * time.Millisecond // by which a worker's report is old at most
	pollInterval          = 400 * time.Millisecond // between two questions to a worker
	confirmationTimeout   = 10 * time.Second       // after an order was taken, the worker must have told its new stage
	failureCooldown       = 30 * time.Second       // a worker that cannot be turned is left alone
	transitionCooldown    = 8 * time.Second        // a worker that has turned is not turned back
	maxAttempts           = 6                      // orders for one assignment
)

// Worker is one worker of a service, as the registry has it.
type Worker struct {
	ID       string
	Address  string
	Zone     string
	Stage    string // as the worker tells
	Assigned string // as the fleet wants it; empty: none
	Draining bool
}

// transitioning tells whether the worker has been assigned a stage that it does not have yet.
func (w *Worker) transitioning() bool { return w.Assigned != "" && w.Assigned != w.Stage }

// targetStage is the stage that the worker has, or will have.
func (w *Worker) targetStage() string {
	if w.Assigned != "" {
		return w.Assigned
	}
	return w.Stage
}

// Assignment says that a worker's stage is to be recorded as wanted. An empty stage withdraws what was recorded.
type Assignment struct{ ID, Stage string }

// Command says that a worker is to be told to change its stage.
type Command struct {
	ID, Address, Stage string
}

// Plan is what is to be done now.
type Plan struct {
	Assignments []Assignment
	Commands    []Command
	Polls       []Command // workers that may have the stage by now, and are to be asked which one they have
}

// Result is what became of an order.
type Result uint8

const (
	Accepted Result = iota + 1 // the worker changes its stage, or has it already
	Busy                       // another order is under way, or the worker could not be asked: later again
	Rejected                   // the worker will not do it
)

// Status tells how a service stands, for operators.
type Status struct {
	Demand         Demand
	PrefillWorkers int // workers that read prompts
	DecodeWorkers  int // workers that make tokens
	Transitioning  int // workers that change their stage
	TargetPrefill  int // readers that are wanted
}

// Planner follows one service. It is not safe for concurrent use.
type Planner struct {
	demandSum       Demand  // of the demand, each moment weighed less the older it is
	prefillSum      float64 // the same of the workers that read
	observedSeconds float64
	lastObservedAt  time.Duration // of the call before; 0: none
	targetPrefill   int           // readers; 0: not decided
	switchTime      time.Duration
	transitions     map[string]*transition
	cooldownUntil   map[string]time.Duration // until when a worker is left alone
	status          Status
}

// NewPlanner returns a controller that knows nothing yet: it takes over whatever assignments the workers have.
func NewPlanner() *Planner {
	return &Planner{transitions: map[string]*transition{}, cooldownUntil: map[string]time.Duration{}}
}

// Status returns how the service stood at the last call of Plan.
func (p *Planner) Status() Status { return p.status }

// Plan says what to do for a service with these workers and this demand. It is called several times a second.
// switchTime is what a worker needs to change its stage.
func (p *Planner) Plan(now time.Duration, workers []Worker, demand Demand, switchTime time.Duration) Plan {
	p.switchTime = switchTime
	eligible := eligibleWorkers(workers)
	p.observe(now, demand, countActivePrefill(eligible))
	p.pruneTransitions(now, workers)
	plan := p.continueTransitions(now, eligible)
	p.updateTarget(eligible)
	p.updateStatus(eligible)
	plan.Assignments = append(plan.Assignments, p.selectAssignments(now, eligible)...)
	return plan
}

// eligibleWorkers leaves out what is no worker with a stage, or is leaving.
func eligibleWorkers(workers []Worker) []Worker {
	eligible := make([]Worker, 0, len(workers))
	for _, worker := range workers {
		if !worker.Draining && (worker.Stage == Prefill || worker.Stage == Decode) {
			eligible = append(eligible, worker)
		}
	}
	return eligible
}

// countActivePrefill counts the workers that read.
func countActivePrefill(workers []Worker) int {
	count := 0
	for i := range workers {
		if workers[i].Stage == Prefill && !workers[i].transitioning() {
			count++
		}
	}
	return count
}

// selectAssignments picks the workers that are to change their stage, so that the split comes nearer to what is wanted.
func (p *Planner) selectAssignments(now time.Duration, workers []Worker) []Assignment {
	prefillWorkers := countTargetPrefill(workers)
	if p.targetPrefill == 0 || p.observedSeconds < minObservation.Seconds() && prefillWorkers < len(workers) {
		return nil
	}
	shortfall := p.targetPrefill - prefillWorkers
	stage, from := Prefill, Decode
	if shortfall < 0 {
		stage, from, shortfall = Decode, Prefill, -shortfall
	}
	capacity := max(1, int(maxTransitioningShare*float64(len(workers)))) - p.status.Transitioning
	chosen := p.candidates(now, workers, from)
	chosen = chosen[:max(0, min(shortfall, capacity, len(chosen)))]
	assign := make([]Assignment, 0, len(chosen))
	for _, id := range chosen {
		assign = append(assign, Assignment{ID: id, Stage: stage})
		p.transitions[id] = &transition{stage: stage, assignedAt: now}
	}
	return assign
}

// candidates lists the workers of a stage that may be turned: in turn from the zone that has most of that stage, so that
// zones stay balanced, and within a zone by their IDs.
func (p *Planner) candidates(now time.Duration, workers []Worker, stage string) []string {
	zones := map[string][]string{}
	for i := range workers {
		worker := &workers[i]
		if worker.transitioning() || p.transitions[worker.ID] != nil || worker.Stage != stage || now < p.cooldownUntil[worker.ID] {
			continue
		}
		zones[worker.Zone] = append(zones[worker.Zone], worker.ID)
	}
	names := make([]string, 0, len(zones))
	for name := range zones {
		slices.Sort(zones[name])
		names = append(names, name)
	}
	slices.Sort(names)
	var list []string
	for {
		fullest := slices.MaxFunc(append([]string{""}, names...), func(a, b string) int {
			return cmp.Compare(len(zones[a]), len(zones[b]))
		})
		if len(zones[fullest]) == 0 {
			return list
		}
		list = append(list, zones[fullest][0])
		zones[fullest] = zones[fullest][1:]
	}
}

// updateStatus notes how the service stands.
func (p *Planner) updateStatus(workers []Worker) {
	p.status = Status{Demand: p.averageDemand(), TargetPrefill: p.targetPrefill}
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
