package roleplanner

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Times and bounds of the loop.
const (
	demandMemory  = 3 * time.Second        // in which an earlier demand falls by e
	queueing      = 0.5                    // waits at readers, against those at servers to which work goes without regard to their queues
	fullEvidence  = 2 * time.Second        // up to which the split stays within earlyShare
	earlyShare    = 0.25                   // of the workers that write meanwhile at least: streams that have just begun are few
	leastServed   = 0.2                    // part of the requests that begin to stream, from which streams are extrapolated
	smallDemand   = 1e-6                   // workers; less is none
	leastEvidence = 400 * time.Millisecond // of demand before the first decision
	bandShare     = 0.06                   // part of the workers by which the wanted split must differ
	leastBand     = 1.                     // and at least so many workers
	moreShare     = 0.03                   // the same where writers are lacking
	leastMore     = 0.25
	turningShare  = 0.4                    // part of the workers that change their stage at once
	settleTime    = 80 * time.Millisecond  // from an assignment to its order: proxies learn of it before
	assignWithin  = 2 * time.Second        // an assignment that is not recorded by then has failed
	retryAfter    = time.Second            // without a clear answer the order is given again
	reportLag     = 250 * time.Millisecond // by which a worker's report is old at most
	askInterval   = 400 * time.Millisecond // between two questions to a worker
	confirmAfter  = 10 * time.Second       // after an order was taken, the worker must have told its new stage
	restAfterFail = 30 * time.Second       // a worker that cannot be turned is left alone
	restAfterTurn = 8 * time.Second        // a worker that has turned is not turned back
	mostTries     = 6                      // orders for one assignment
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

// turning tells whether the worker has been assigned a stage that it does not have yet.
func (w *Worker) turning() bool { return w.Assigned != "" && w.Assigned != w.Stage }

// wanted is the stage that the worker has, or will have.
func (w *Worker) wanted() string {
	if w.Assigned != "" {
		return w.Assigned
	}
	return w.Stage
}

// Assignment says that a worker's stage is to be recorded as wanted. An empty stage withdraws what was recorded.
type Assignment struct{ ID, Stage string }

// Order says that a worker is to be told to change its stage.
type Order struct {
	ID, Address, Stage string
}

// Plan is what is to be done now.
type Plan struct {
	Assign []Assignment
	Order  []Order
	Ask    []Order // workers that may have the stage by now, and are to be asked which one they have
}

// Result is what became of an order.
type Result uint8

const (
	Taken   Result = iota + 1 // the worker changes its stage, or has it already
	Busy                      // another order is under way, or the worker could not be asked: later again
	Refused                   // the worker will not do it
)

// State tells how a service stands, for operators.
type State struct {
	Demand  Demand
	Readers int // workers that read prompts
	Writers int // workers that make tokens
	Turning int // workers that change their stage
	Wanted  int // readers that are wanted
}

// attempt is what the holder knows of a worker's change of stage.
type attempt struct {
	stage   string
	since   time.Duration // when the assignment was seen first
	ordered time.Duration // when the last order was given
	asked   time.Duration // when the worker was asked last; 0: not since the order
	tries   int
	taken   bool
}

// Controller follows one service. It is not safe for concurrent use.
type Controller struct {
	sum        Demand  // of the demand, each moment weighed less the older it is
	readers    float64 // the same of the workers that read
	weight     float64
	last       time.Duration // of the call before; 0: none
	target     int           // readers; 0: not decided
	switchTime time.Duration
	attempts   map[string]*attempt
	rest       map[string]time.Duration // until when a worker is left alone
	state      State
}

// NewController returns a controller that knows nothing yet: it takes over whatever assignments the workers have.
func NewController() *Controller {
	return &Controller{attempts: map[string]*attempt{}, rest: map[string]time.Duration{}}
}

// State returns how the service stood at the last call of Plan.
func (c *Controller) State() State { return c.state }

// Plan says what to do for a service with these workers and this demand. It is called several times a second.
// switchTime is what a worker needs to change its stage.
func (c *Controller) Plan(now time.Duration, workers []Worker, demand Demand, switchTime time.Duration) Plan {
	c.switchTime = switchTime
	usable := usableOf(workers)
	c.observe(now, demand, readingNow(usable))
	c.forget(now, workers)
	plan := c.carryOn(now, usable)
	c.decide(usable)
	c.describe(usable)
	plan.Assign = append(plan.Assign, c.choose(now, usable)...)
	return plan
}

// usableOf leaves out what is no worker with a stage, or is leaving.
func usableOf(workers []Worker) []Worker {
	usable := make([]Worker, 0, len(workers))
	for _, worker := range workers {
		if !worker.Draining && (worker.Stage == Prefill || worker.Stage == Decode) {
			usable = append(usable, worker)
		}
	}
	return usable
}

// observe takes in the demand since the call before.
func (c *Controller) observe(now time.Duration, demand Demand, readers int) {
	span := (now - c.last).Seconds()
	if c.last == 0 || span <= 0 {
		c.last = now
		return
	}
	c.last = now
	if demand == (Demand{}) && c.weight == 0 {
		return // traffic has not begun
	}
	kept := math.Exp(-span / demandMemory.Seconds())
	c.sum = c.sum.Times(kept).Plus(demand.Times(span))
	c.readers = c.readers*kept + float64(readers)*span
	c.weight = c.weight*kept + span
}

// readingNow counts the workers that read.
func readingNow(workers []Worker) int {
	count := 0
	for i := range workers {
		if workers[i].Stage == Prefill && !workers[i].turning() {
			count++
		}
	}
	return count
}

// mean is the demand of late, with reading as it is, and not as expected.
func (c *Controller) mean() Demand {
	if c.weight <= 0 {
		return Demand{}
	}
	demand := c.sum.Times(1 / c.weight)
	pace := paceOf(demand, c.readers/c.weight)
	demand.Read *= pace
	demand.ReadDone *= pace
	served := min(1, max(leastServed, demand.Begun/max(demand.Offered, smallDemand)))
	demand.Slots /= served // what is refused makes no streams
	demand.Memory /= served
	return demand
}

// paceOf is how long readers take for a prompt by themselves, against what is expected. Only how long prompts take together
// with their waits is seen; the waits follow from how busy the readers are at that pace p: of n readers that have read the
// work D a second, the part b = p*D/n is busy, and prompts take p*(1 + queueing*b/(1-b)) against what is expected.
// That is solved for p. However long the waits, it says no more than that all readers are busy.
func paceOf(d Demand, readers float64) float64 {
	if d.ReadDone < smallDemand || readers < smallDemand {
		return 1
	}
	ratio, done := d.ReadTime/d.ReadDone, d.ReadDone/readers
	square, linear := (1-queueing)*done, 1+ratio*done
	return (linear - math.Sqrt(max(0, linear*linear-4*square*ratio))) / (2 * square)
}

// forget drops what is known of workers that are gone, and of changes that are done or withdrawn.
func (c *Controller) forget(now time.Duration, workers []Worker) {
	present := make(map[string]*Worker, len(workers))
	for i := range workers {
		present[workers[i].ID] = &workers[i]
	}
	for id, tried := range c.attempts {
		worker := present[id]
		if worker != nil && worker.turning() && worker.Assigned == tried.stage {
			continue
		}
		if worker != nil && worker.Stage != tried.stage && now-tried.since < assignWithin {
			continue // its assignment is not recorded yet
		}
		delete(c.attempts, id)
		if worker != nil && worker.Stage == tried.stage {
			c.rest[id] = now + restAfterTurn
		}
	}
	for id, until := range c.rest {
		if present[id] == nil || now >= until {
			delete(c.rest, id)
		}
	}
}

// carryOn gives the orders that are due, and withdraws assignments that came to nothing.
func (c *Controller) carryOn(now time.Duration, workers []Worker) Plan {
	var plan Plan
	for i := range workers {
		worker := &workers[i]
		if !worker.turning() {
			continue
		}
		tried := c.attempts[worker.ID]
		if tried == nil {
			tried = &attempt{stage: worker.Assigned, since: now}
			c.attempts[worker.ID] = tried
		}
		switch {
		case tried.tries >= mostTries && now-tried.ordered >= retryAfter:
			plan.Assign = append(plan.Assign, Assignment{ID: worker.ID})
			c.rest[worker.ID] = now + restAfterFail
		case tried.due(now):
			tried.ordered, tried.asked = now, 0
			tried.tries++
			tried.taken = false
			plan.Order = append(plan.Order, Order{ID: worker.ID, Address: worker.Address, Stage: worker.Assigned})
		case tried.mayBeDone(now, c.switchTime):
			tried.asked = now
			plan.Ask = append(plan.Ask, Order{ID: worker.ID, Address: worker.Address, Stage: worker.Assigned})
		}
	}
	return plan
}

// due tells whether the worker is to be told now.
func (a *attempt) due(now time.Duration) bool {
	switch {
	case a.tries == 0:
		return now-a.since >= settleTime
	case a.taken:
		return now-a.ordered >= confirmAfter
	default:
		return now-a.ordered >= retryAfter
	}
}

// mayBeDone tells whether a worker that has taken an order may have its new stage, and is to be asked: its heartbeat would tell
// only later.
func (a *attempt) mayBeDone(now, switchTime time.Duration) bool {
	return a.taken && now-a.ordered >= switchTime+reportLag && (a.asked == 0 || now-a.asked >= askInterval)
}

// Ended takes in what became of an order.
func (c *Controller) Ended(id string, result Result) {
	tried := c.attempts[id]
	if tried == nil {
		return
	}
	switch result {
	case Taken:
		tried.taken = true
	case Refused:
		tried.tries = mostTries
	}
}

// decide works out how many workers are to read.
func (c *Controller) decide(workers []Worker) {
	total := len(workers)
	if total < 2 {
		c.target = 0
		return
	}
	if c.target == 0 {
		c.target = readersOf(workers)
	}
	if readersOf(workers) == total { // nothing is served without a writer, and so no demand is seen
		c.target = bounded(total, total)
		return
	}
	if c.weight < leastEvidence.Seconds() {
		return
	}
	need := NeedOf(c.mean())
	share := need.share(total)
	if math.IsNaN(share) || need.metBy(float64(c.target), float64(total-c.target)) {
		c.target = bounded(c.target, total)
		return
	}
	if c.differs(share, total) {
		c.target = int(share) // what is left of a worker writes
	}
	c.target = bounded(c.target, total)
	if c.weight < fullEvidence.Seconds() {
		c.target = min(c.target, max(readersOf(workers), total-int(math.Ceil(earlyShare*float64(total)))))
	}
}

// differs tells whether the share of readers is far enough from the target to be worth orders. More writers are wanted sooner
// than fewer.
func (c *Controller) differs(share float64, total int) bool {
	more, fewer := max(leastMore, moreShare*float64(total)), max(leastBand, bandShare*float64(total))
	return share < float64(c.target)-more || share >= float64(c.target)+fewer
}

// readersOf counts the workers that read, or will.
func readersOf(workers []Worker) int {
	readers := 0
	for i := range workers {
		if workers[i].wanted() == Prefill {
			readers++
		}
	}
	return readers
}

// choose picks the workers that are to change their stage, so that the split comes nearer to what is wanted.
func (c *Controller) choose(now time.Duration, workers []Worker) []Assignment {
	readers := readersOf(workers)
	if c.target == 0 || c.weight < leastEvidence.Seconds() && readers < len(workers) {
		return nil
	}
	missing := c.target - readers
	stage, from := Prefill, Decode
	if missing < 0 {
		stage, from, missing = Decode, Prefill, -missing
	}
	room := max(1, int(turningShare*float64(len(workers)))) - c.state.Turning
	chosen := c.candidates(now, workers, from)
	chosen = chosen[:max(0, min(missing, room, len(chosen)))]
	assign := make([]Assignment, 0, len(chosen))
	for _, id := range chosen {
		assign = append(assign, Assignment{ID: id, Stage: stage})
		c.attempts[id] = &attempt{stage: stage, since: now}
	}
	return assign
}

// candidates lists the workers of a stage that may be turned: in turn from the zone that has most of that stage, so that
// zones stay balanced, and within a zone by their IDs.
func (c *Controller) candidates(now time.Duration, workers []Worker, stage string) []string {
	zones := map[string][]string{}
	for i := range workers {
		worker := &workers[i]
		if worker.turning() || c.attempts[worker.ID] != nil || worker.Stage != stage || now < c.rest[worker.ID] {
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

// describe notes how the service stands.
func (c *Controller) describe(workers []Worker) {
	c.state = State{Demand: c.mean(), Wanted: c.target}
	for i := range workers {
		switch {
		case workers[i].turning():
			c.state.Turning++
		case workers[i].Stage == Prefill:
			c.state.Readers++
		default:
			c.state.Writers++
		}
	}
}
