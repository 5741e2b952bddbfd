package routing

import (
	"log/slog"
	"slices"
	"strconv"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/slottable"
	"ospreybend/internal/node/timerqueue"
)

// graceAfterDeadline is how long past the deadline the core waits for the
// module's own final answer before it gives one itself.
const graceAfterDeadline = time.Millisecond

// Clock is the loop's.
type Clock interface{ Now() time.Duration }

// operation is one operation and its route steps.
type operation struct {
	Operation
	steps     []slottable.Handle     // by number; a Ref goes stale when its step ends
	attempts  []balance.PriorAttempt // the same, as another process would have to know them
	arrived   time.Duration
	inFlight  int
	gated     int  // of those that are out: before the gate
	concluded bool // has its final answer, or nobody waits for one
	deadline  *timerqueue.Timer
}

// Core is the node's state of operations and route steps. It belongs to the
// loop.
type Core struct {
	settings        balance.Settings
	balancer        *balance.Balancer
	clock           Clock
	timers          *timerqueue.Queue
	destinations    Destinations
	pool            Pool
	peers           Peers
	operations      slottable.Table[*operation]
	steps           slottable.Table[*step]
	open            int // operations that are owed an answer
	workerStates    map[balance.WorkerID]balance.State
	events          []balance.Event
	dispatching     bool
	onIdle          func()        // called when the last open operation is answered
	loadObserver    LoadObserver  // nil: none
	stepObserver    StepObserver  // nil: none
	admission       Admission     // nil: all are let in
	lastPeerMessage time.Duration // the last message of another node; 0: none
	ownerDeadline   time.Duration // what ending owns is to be answered by then
	limitedOwner    Owner         // nil: none
	tracing         bool          // the log has each operation's way
	workerName      func(balance.WorkerID) string

	counts Counts
}

// Counts are totals since the start.
type Counts struct {
	Operations, Served, Refused, Failed, Rejected, Gone, Moved, Steps uint64
	Outcomes                                                          [balance.NotSent + 1]uint64
	Classes                                                           []ClassCounts // by number
}

// ClassCounts are the final answers to the operations of one class. What a
// destination could make nothing of has failed here.
type ClassCounts struct{ Served, Refused, Failed uint64 }

// New makes a core. Connect must follow before anything else.
func New(settings balance.Settings, seed uint64, clock Clock, timers *timerqueue.Queue) (*Core, error) {
	decide, err := balance.New(settings, seed)
	if err != nil {
		return nil, err
	}
	return &Core{settings: settings, balancer: decide, clock: clock, timers: timers,
		counts: Counts{Classes: make([]ClassCounts, len(settings.Classes))}, workerStates: map[balance.WorkerID]balance.State{}, onIdle: func() {}, tracing: tracing(),
		workerName: func(id balance.WorkerID) string { return strconv.FormatUint(uint64(id), 16) }}, nil
}

// Connect names the adapters on the far side.
func (c *Core) Connect(to Destinations, pool Pool, peers Peers) {
	c.destinations, c.pool, c.peers = to, pool, peers
}

// SetLoadObserver has a witness told of what happens from now on.
func (c *Core) SetLoadObserver(observer LoadObserver) { c.loadObserver = observer }

// SetStepObserver has an observer told of the route steps from now on.
func (c *Core) SetStepObserver(observer StepObserver) { c.stepObserver = observer }

// SetAdmission has a doorkeeper asked about each operation from now on.
func (c *Core) SetAdmission(admission Admission) { c.admission = admission }

// ZoneShares hands the module what the fleet has decided on the zones.
func (c *Core) ZoneShares(s balance.ZoneShares) { c.dispatch(s) }

// Zones tells what is known of the zones' ready destinations.
func (c *Core) Zones() []balance.ZoneView { return c.balancer.Zones(c.clock.Now()) }

// EachWorker calls f for each destination of the pool config, with its state and the
// chance that the module gives a failure there.
func (c *Core) EachWorker(visit func(id balance.WorkerID, state balance.State, doubt float64)) {
	for id, state := range c.workerStates {
		visit(id, state, c.balancer.FailureProbability(c.clock.Now(), id))
	}
}

// AnyReady tells whether any destination is there to serve.
func (c *Core) AnyReady() bool {
	for _, s := range c.workerStates {
		if s == balance.Ready {
			return true
		}
	}
	return false
}

// OpenOperations returns the number of operations that are owed an answer.
func (c *Core) OpenOperations() int { return c.open }

// Counts returns the totals.
func (c *Core) Counts() Counts { return c.counts }

// OnIdle sets what is called whenever no operation is open any more.
func (c *Core) OnIdle(callback func()) { c.onIdle = callback }

// Accept takes an operation in. Nothing becomes of it before Route, so that its
// owner can note the Ref first.
func (c *Core) Accept(in Operation) slottable.Handle {
	if c.limitedOwner != nil && in.Owner == c.limitedOwner {
		in.Deadline = min(in.Deadline, c.ownerDeadline)
	}
	in.Work.Once = in.Class < len(c.settings.Classes) && c.settings.Classes[in.Class].Effect == balance.NonIdempotent
	op := &operation{Operation: in, arrived: c.clock.Now()}
	ref := c.operations.Add(op)
	c.open++
	c.counts.Operations++
	// The module answers a little before the deadline. Should it ever not, the
	// client is still owed an answer while it listens.
	op.deadline = c.timers.Add(in.Deadline+graceAfterDeadline, func() { c.overdue(ref) })
	return ref
}

// LimitDeadlines has all operations of an owner answered by a time, those still to come too:
// the process may live no longer. The module refuses or fails what does not end by
// then.
func (c *Core) LimitDeadlines(owner Owner, at time.Duration) {
	c.limitedOwner, c.ownerDeadline = owner, at
	var refs []slottable.Handle
	c.operations.All(func(ref slottable.Handle, op *operation) {
		if !op.concluded && op.Owner == owner && op.Deadline > at {
			refs = append(refs, ref)
		}
	})
	for _, ref := range refs {
		op := c.operations.Get(ref)
		if op == nil || op.concluded {
			continue
		}
		op.Deadline = at
		c.timers.Cancel(op.deadline)
		op.deadline = c.timers.Add(at+graceAfterDeadline, func() { c.overdue(ref) })
		c.dispatch(balance.DeadlineShortened{Request: balance.RequestID(ref), Deadline: at})
	}
}

// PeersHeardWithin tells whether a message of another node has come in the last span.
func (c *Core) PeersHeardWithin(window time.Duration) bool {
	return c.lastPeerMessage > 0 && c.clock.Now()-c.lastPeerMessage <= window
}

// Route puts an operation to the module. Its final answer may come before Route
// returns.
func (c *Core) Route(ref slottable.Handle) {
	op := c.operations.Get(ref)
	if op == nil {
		return
	}
	c.traceOperation("operation taken", op, "class", op.Class, "slots", op.Slots, "hint_us", op.Cost.Microseconds(),
		"due_us", (op.Deadline - op.arrived).Microseconds())
	if c.admission != nil {
		if after, ok := c.admission.Admit(op.Class); !ok {
			c.conclude(ref, Answer{Verdict: Refused, RetryAfter: c.retryAdvice(after)})
			return
		}
	}
	c.dispatch(c.request(ref, op))
}

// request is an operation as the module sees it.
func (c *Core) request(ref slottable.Handle, op *operation) balance.Request {
	return balance.Request{ID: balance.RequestID(ref), Class: op.Class, Tenant: op.Tenant, Key: op.Key,
		Cost: op.Cost, HasCost: op.HasCost, Repeat: op.Repeat, Slots: op.Slots, Memory: op.Memory,
		Deadline: op.Deadline}
}

// MayHaveRun tells whether a route step of the operation has had effect, or yet
// may.
func (c *Core) MayHaveRun(ref slottable.Handle) bool {
	op := c.operations.Get(ref)
	return op != nil && (op.inFlight > op.gated ||
		slices.ContainsFunc(op.attempts, func(t balance.PriorAttempt) bool { return t.MayHave && !t.Out }))
}

// Withdraw tells that nobody waits for the operation any more. It gets no
// answer from then on.
func (c *Core) Withdraw(ref slottable.Handle) {
	op := c.operations.Get(ref)
	if op == nil || op.concluded {
		return
	}
	c.counts.Gone++
	c.traceOperation("operation withdrawn", op)
	c.finish(op)
	c.dispatch(balance.RequestEnded{Request: balance.RequestID(ref)})
	c.forget(ref, op)
}

func (c *Core) overdue(ref slottable.Handle) {
	op := c.operations.Get(ref)
	if op == nil || op.concluded {
		return
	}
	slog.Warn("operation overdue", "id", op.Work.ID, "steps", len(op.steps))
	c.giveAnswer(ref, op, Answer{Verdict: Failed})
	c.dispatch(balance.RequestEnded{Request: balance.RequestID(ref)})
	c.forget(ref, op)
}

// giveAnswer gives the operation its one final answer.
func (c *Core) giveAnswer(ref slottable.Handle, op *operation, answer Answer) {
	if op.concluded {
		return
	}
	answer.MayHaveRun = c.MayHaveRun(ref)
	c.countVerdict(op.Class, answer.Verdict)
	c.traceOperation("operation answered", op, "verdict", answer.Verdict, "retry_us", answer.RetryAfter.Microseconds(),
		"may_have_run", answer.MayHaveRun)
	c.finish(op)
	op.Owner.Answered(ref, answer)
	if c.loadObserver != nil {
		c.loadObserver.OperationConcluded(op.Owner, answer.Verdict)
	}
}

// countVerdict books a final answer, in all and on its class.
func (c *Core) countVerdict(class int, verdict Verdict) {
	of := &ClassCounts{}
	if class >= 0 && class < len(c.counts.Classes) {
		of = &c.counts.Classes[class]
	}
	switch verdict {
	case Served:
		c.counts.Served++
		of.Served++
	case Refused:
		c.counts.Refused++
		of.Refused++
	case Failed:
		c.counts.Failed++
		of.Failed++
	case Rejected:
		c.counts.Rejected++
		of.Failed++
	}
}

func (c *Core) finish(op *operation) {
	op.concluded = true
	c.timers.Cancel(op.deadline)
	c.open--
	if c.open == 0 {
		c.onIdle()
	}
}

// forget frees the slot of an operation that is over with nothing out.
func (c *Core) forget(ref slottable.Handle, op *operation) {
	if op.concluded && op.inFlight == 0 {
		c.operations.Remove(ref)
	}
}

// ProbeEnded tells what a probe found.
func (c *Core) ProbeEnded(ev balance.ProbeDone) {
	if c.loadObserver != nil && ev.Report != nil {
		c.loadObserver.LoadReported(ev.Worker, ev.Report)
	}
	if c.tracing {
		slog.Debug("probe ended", "destination", c.workerName(ev.Worker), "outcome", ev.Outcome, "after_us",
			ev.Elapsed.Microseconds(), "report", ev.Report)
	}
	c.dispatch(ev)
}

// PoolChanged takes in news of the destinations.
func (c *Core) PoolChanged(update balance.ListUpdate) {
	switch update.Kind {
	case balance.ListFull, balance.ListCached:
		clear(c.workerStates)
	}
	for _, listing := range update.Workers {
		if listing.State == balance.Gone {
			delete(c.workerStates, listing.Worker)
			continue
		}
		c.workerStates[listing.Worker] = listing.State
	}
	c.dispatch(update)
}

// PeerMessage takes in a message of another node.
func (c *Core) PeerMessage(from int, payload []byte) {
	c.lastPeerMessage = c.clock.Now()
	c.dispatch(balance.PeerMessage{From: from, Payload: payload})
}

// dispatch hands an event to the module and carries its actions out. What they
// bring about waits its turn, as the module is not to be called within a call.
func (c *Core) dispatch(ev balance.Event) {
	c.events = append(c.events, ev)
	if c.dispatching {
		return
	}
	c.dispatching = true
	for len(c.events) > 0 {
		next := c.events[0]
		c.events = slices.Delete(c.events, 0, 1)
		for _, a := range c.balancer.Handle(c.clock.Now(), next) {
			c.perform(a)
		}
	}
	c.dispatching = false
}

func (c *Core) perform(action balance.Action) {
	switch action := action.(type) {
	case balance.Send:
		c.send(slottable.Handle(action.Request), action)
	case balance.Reject:
		c.conclude(slottable.Handle(action.Request), Answer{Verdict: Refused, RetryAfter: c.retryAdvice(action.RetryAfter)})
	case balance.Fail:
		c.conclude(slottable.Handle(action.Request), Answer{Verdict: Failed})
	case balance.Cancel:
		c.cancel(slottable.Handle(action.Request), action.Attempt)
	case balance.SetTimer:
		c.timers.Add(c.clock.Now()+action.After, func() { c.dispatch(balance.TimerFired{Token: action.Token}) })
	case balance.Probe:
		if state, listed := c.workerStates[action.Worker]; c.settings.Limits.Probes && listed && state == balance.Ready {
			c.destinations.Probe(action.Worker)
		}
	case balance.CloseIdle:
		c.destinations.CloseIdle(action.Worker)
	case balance.SendToPeers:
		if c.settings.Limits.Messages {
			c.peers.SendMessage(action.To, action.Payload)
		}
	case balance.Subscribe:
		c.pool.Watch(action.On)
	case balance.FetchList:
		c.pool.Fetch()
	case balance.Log:
		slog.Info("module", "says", action.Text)
	case balance.InternalError:
		slog.Error("module fault", "says", action.Text)
	}
}

// retryAdvice cuts the time to come back to what the settings allow.
func (c *Core) retryAdvice(after time.Duration) time.Duration {
	if !c.settings.Limits.RetryAfter {
		return 0
	}
	if limit := c.settings.Limits.MaxRetryAfter; limit > 0 {
		return min(after, limit)
	}
	return after
}

func (c *Core) conclude(ref slottable.Handle, answer Answer) {
	if op := c.operations.Get(ref); op != nil {
		c.giveAnswer(ref, op, answer)
		c.forget(ref, op)
	}
}
