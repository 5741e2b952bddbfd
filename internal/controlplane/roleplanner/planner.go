package roleplanner

import (
	"cmp"
	"math"
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

// transition is what the holder knows of a worker's change of stage.
type transition struct {
	stage       string
	assignedAt  time.Duration // when the assignment was seen first
	commandedAt time.Duration // when the last order was given
	polledAt    time.Duration // when the worker was asked last; 0: not since the order
	attempts    int
	accepted    bool
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

// observe takes in the demand since the call before.
func (p *Planner) observe(now time.Duration, demand Demand, prefillWorkers int) {
	span := (now - p.lastObservedAt).Seconds()
	if p.lastObservedAt == 0 || span <= 0 {
		p.lastObservedAt = now
		return
	}
	p.lastObservedAt = now
	if demand == (Demand{}) && p.observedSeconds == 0 {
		return // traffic has not begun
	}
	decay := math.Exp(-span / demandTimeConstant.Seconds())
	p.demandSum = p.demandSum.Scale(decay).Add(demand.Scale(span))
	p.prefillSum = p.prefillSum*decay + float64(prefillWorkers)*span
	p.observedSeconds = p.observedSeconds*decay + span
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

// averageDemand is the demand of late, with reading as it is, and not as expected.
func (p *Planner) averageDemand() Demand {
	if p.observedSeconds <= 0 {
		return Demand{}
	}
	demand := p.demandSum.Scale(1 / p.observedSeconds)
	slowdown := prefillSlowdown(demand, p.prefillSum/p.observedSeconds)
	demand.Prefill *= slowdown
	demand.PrefillDone *= slowdown
	served := min(1, max(minServedShare, demand.Started/max(demand.Offered, negligibleDemand)))
	demand.Slots /= served // what is refused makes no streams
	demand.Memory /= served
	return demand
}

// prefillSlowdown is how long readers take for a prompt by themselves, against what is expected. Only how long prompts take together
// with their waits is seen; the waits follow from how busy the readers are at that pace p: of n readers that have read the
// work D a second, the part b = p*D/n is busy, and prompts take p*(1 + queueing*b/(1-b)) against what is expected.
// That is solved for p. However long the waits, it says no more than that all readers are busy.
func prefillSlowdown(demand Demand, prefillWorkers float64) float64 {
	if demand.PrefillDone < negligibleDemand || prefillWorkers < negligibleDemand {
		return 1
	}
	ratio, done := demand.PrefillTime/demand.PrefillDone, demand.PrefillDone/prefillWorkers
	square, linear := (1-queueingFactor)*done, 1+ratio*done
	return (linear - math.Sqrt(max(0, linear*linear-4*square*ratio))) / (2 * square)
}

// pruneTransitions drops what is known of workers that are gone, and of changes that are done or withdrawn.
func (p *Planner) pruneTransitions(now time.Duration, workers []Worker) {
	present := make(map[string]*Worker, len(workers))
	for i := range workers {
		present[workers[i].ID] = &workers[i]
	}
	for id, current := range p.transitions {
		worker := present[id]
		if worker != nil && worker.transitioning() && worker.Assigned == current.stage {
			continue
		}
		if worker != nil && worker.Stage != current.stage && now-current.assignedAt < assignmentTimeout {
			continue // its assignment is not recorded yet
		}
		delete(p.transitions, id)
		if worker != nil && worker.Stage == current.stage {
			p.cooldownUntil[id] = now + transitionCooldown
		}
	}
	for id, until := range p.cooldownUntil {
		if present[id] == nil || now >= until {
			delete(p.cooldownUntil, id)
		}
	}
}

// continueTransitions gives the orders that are due, and withdraws assignments that came to nothing.
func (p *Planner) continueTransitions(now time.Duration, workers []Worker) Plan {
	var plan Plan
	for i := range workers {
		worker := &workers[i]
		if !worker.transitioning() {
			continue
		}
		current := p.transitions[worker.ID]
		if current == nil {
			current = &transition{stage: worker.Assigned, assignedAt: now}
			p.transitions[worker.ID] = current
		}
		switch {
		case current.attempts >= maxAttempts && now-current.commandedAt >= commandRetryInterval:
			plan.Assignments = append(plan.Assignments, Assignment{ID: worker.ID})
			p.cooldownUntil[worker.ID] = now + failureCooldown
		case current.commandDue(now):
			current.commandedAt, current.polledAt = now, 0
			current.attempts++
			current.accepted = false
			plan.Commands = append(plan.Commands, Command{ID: worker.ID, Address: worker.Address, Stage: worker.Assigned})
		case current.pollDue(now, p.switchTime):
			current.polledAt = now
			plan.Polls = append(plan.Polls, Command{ID: worker.ID, Address: worker.Address, Stage: worker.Assigned})
		}
	}
	return plan
}

// commandDue tells whether the worker is to be told now.
func (t *transition) commandDue(now time.Duration) bool {
	switch {
	case t.attempts == 0:
		return now-t.assignedAt >= commandDelay
	case t.accepted:
		return now-t.commandedAt >= confirmationTimeout
	default:
		return now-t.commandedAt >= commandRetryInterval
	}
}

// pollDue tells whether a worker that has taken an order may have its new stage, and is to be asked: its heartbeat would tell
// only later.
func (t *transition) pollDue(now, switchTime time.Duration) bool {
	return t.accepted && now-t.commandedAt >= switchTime+reportLag && (t.polledAt == 0 || now-t.polledAt >= pollInterval)
}

// CommandFinished takes in what became of an order.
func (p *Planner) CommandFinished(id string, result Result) {
	current := p.transitions[id]
	if current == nil {
		return
	}
	switch result {
	case Accepted:
		current.accepted = true
	case Rejected:
		current.attempts = maxAttempts
	}
}

// updateTarget works out how many workers are to read.
func (p *Planner) updateTarget(workers []Worker) {
	total := len(workers)
	if total < 2 {
		p.targetPrefill = 0
		return
	}
	if p.targetPrefill == 0 {
		p.targetPrefill = countTargetPrefill(workers)
	}
	if countTargetPrefill(workers) == total { // nothing is served without a writer, and so no demand is seen
		p.targetPrefill = clampPrefill(total, total)
		return
	}
	if p.observedSeconds < minObservation.Seconds() {
		return
	}
	need := RequiredWorkers(p.averageDemand())
	share := need.prefillShare(total)
	if math.IsNaN(share) || need.satisfiedBy(float64(p.targetPrefill), float64(total-p.targetPrefill)) {
		p.targetPrefill = clampPrefill(p.targetPrefill, total)
		return
	}
	if p.exceedsHysteresis(share, total) {
		p.targetPrefill = int(share) // what is left of a worker writes
	}
	p.targetPrefill = clampPrefill(p.targetPrefill, total)
	if p.observedSeconds < fullObservation.Seconds() {
		p.targetPrefill = min(p.targetPrefill, max(countTargetPrefill(workers), total-int(math.Ceil(earlyDecodeShare*float64(total)))))
	}
}

// exceedsHysteresis tells whether the share of readers is far enough from the target to be worth orders. More writers are wanted sooner
// than fewer.
func (p *Planner) exceedsHysteresis(share float64, total int) bool {
	shortage, surplus := max(minDecodeShortage, decodeShortageShare*float64(total)), max(minHysteresis, hysteresisShare*float64(total))
	return share < float64(p.targetPrefill)-shortage || share >= float64(p.targetPrefill)+surplus
}

// countTargetPrefill counts the workers that read, or will.
func countTargetPrefill(workers []Worker) int {
	prefillWorkers := 0
	for i := range workers {
		if workers[i].targetStage() == Prefill {
			prefillWorkers++
		}
	}
	return prefillWorkers
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
