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

// graceAfterDeadline is how long after the deadline the core waits for the balancer's
// decision before it answers an operation itself.
const graceAfterDeadline = time.Millisecond

// Clock is the event loop's clock.
type Clock interface{ Now() time.Duration }

// operation is an operation in progress and its route steps.
type operation struct {
	Operation
	steps     []slottable.Handle     // by number; a handle goes stale when its step ends
	attempts  []balance.PriorAttempt // the same steps, as another process would need to know them
	arrived   time.Duration
	inFlight  int
	gated     int  // of the steps in flight, those waiting for their gate
	concluded bool // has its final answer, or was withdrawn
	deadline  *timerqueue.Timer
}

// Core has the operations and route steps in progress. It belongs to the event loop.
type Core struct {
	settings balance.Settings
	balancer *balance.Balancer
	clock    Clock
	timers   *timerqueue.Queue

	// The adapters, set by Connect.
	destinations Destinations
	pool         Pool
	peers        Peers

	// The state.
	operations      slottable.Table[*operation]
	steps           slottable.Table[*step]
	open            int // operations without a final answer
	workerStates    map[balance.WorkerID]balance.State
	lastPeerMessage time.Duration // when a peer was last heard; 0: never
	ownerDeadline   time.Duration // latest deadline of limitedOwner's operations
	limitedOwner    Owner         // nil: none

	// Events that the balancer has not handled; see dispatch.
	events      []balance.Event
	dispatching bool

	// Optional parts.
	onIdle       func()       // called when the last open operation is concluded
	loadObserver LoadObserver // nil: none
	stepObserver StepObserver // nil: none
	admission    Admission    // nil: all operations are admitted
	tracing      bool         // each operation and step is logged
	workerName   func(balance.WorkerID) string

	counts Counts
}

// Counts are totals since the start.
type Counts struct {
	Operations, Served, Refused, Failed, Rejected, Gone, Moved, Steps uint64
	Outcomes                                                          [balance.NotSent + 1]uint64
	Classes                                                           []ClassCounts // by number
}

// ClassCounts are the final answers to the operations of one class. Rejected ones count as
// failed here.
type ClassCounts struct{ Served, Refused, Failed uint64 }

// New returns a core. seed is the balancer's. Connect must be called before any other method.
func New(settings balance.Settings, seed uint64, clock Clock, timers *timerqueue.Queue) (*Core, error) {
	balancer, err := balance.New(settings, seed)
	if err != nil {
		return nil, err
	}
	return &Core{settings: settings, balancer: balancer, clock: clock, timers: timers,
		counts: Counts{Classes: make([]ClassCounts, len(settings.Classes))}, workerStates: map[balance.WorkerID]balance.State{}, onIdle: func() {}, tracing: tracing(),
		workerName: func(id balance.WorkerID) string { return strconv.FormatUint(uint64(id), 16) }}, nil
}

// Connect sets the adapters to the destinations, to discovery and to the peers.
func (c *Core) Connect(to Destinations, pool Pool, peers Peers) {
	c.destinations, c.pool, c.peers = to, pool, peers
}

// SetLoadObserver sets the observer of the destinations' load.
func (c *Core) SetLoadObserver(observer LoadObserver) { c.loadObserver = observer }

// SetStepObserver sets the observer of all route steps.
func (c *Core) SetStepObserver(observer StepObserver) { c.stepObserver = observer }

// SetAdmission sets the admission control of further operations.
func (c *Core) SetAdmission(admission Admission) { c.admission = admission }

// ZoneShares passes the fleet's decision on the zones' shares to the balancer.
func (c *Core) ZoneShares(s balance.ZoneShares) { c.dispatch(s) }

// Zones returns the balancer's view of the zones' ready destinations.
func (c *Core) Zones() []balance.ZoneCapacity { return c.balancer.Zones(c.clock.Now()) }

// EachWorker calls visit for each listed destination, with its state and the probability of a
// failure there by the balancer's estimate.
func (c *Core) EachWorker(visit func(id balance.WorkerID, state balance.State, failureProbability float64)) {
	for id, state := range c.workerStates {
		visit(id, state, c.balancer.FailureProbability(c.clock.Now(), id))
	}
}

// AnyReady reports whether any destination is ready.
func (c *Core) AnyReady() bool {
	for _, s := range c.workerStates {
		if s == balance.Ready {
			return true
		}
	}
	return false
}

// OpenOperations returns the number of operations without a final answer.
func (c *Core) OpenOperations() int { return c.open }

// Counts returns the totals since the start.
func (c *Core) Counts() Counts { return c.counts }

// OnIdle sets a callback for whenever the last open operation is concluded.
func (c *Core) OnIdle(callback func()) { c.onIdle = callback }

// Accept registers an operation and starts its deadline. Nothing is sent before Route, so that
// its owner can record the handle first.
func (c *Core) Accept(in Operation) slottable.Handle {
	if c.limitedOwner != nil && in.Owner == c.limitedOwner {
		in.Deadline = min(in.Deadline, c.ownerDeadline)
	}
	in.Work.Once = in.Class < len(c.settings.Classes) && c.settings.Classes[in.Class].Effect == balance.NonIdempotent
	operation := &operation{Operation: in, arrived: c.clock.Now()}
	handle := c.operations.Add(operation)
	c.open++
	c.counts.Operations++
	// The balancer decides a little before the deadline. Should it fail to, the client still
	// gets an answer.
	operation.deadline = c.timers.Add(in.Deadline+graceAfterDeadline, func() { c.overdue(handle) })
	return handle
}

// LimitDeadlines cuts the deadlines of all operations of an owner, later ones included, to a
// time: the process may be killed after it. The balancer rejects or fails those that do not end
// by then.
func (c *Core) LimitDeadlines(owner Owner, at time.Duration) {
	c.limitedOwner, c.ownerDeadline = owner, at
	var refs []slottable.Handle
	c.operations.All(func(handle slottable.Handle, operation *operation) {
		if !operation.concluded && operation.Owner == owner && operation.Deadline > at {
			refs = append(refs, handle)
		}
	})
	for _, handle := range refs {
		operation := c.operations.Get(handle)
		if operation == nil || operation.concluded {
			continue
		}
		operation.Deadline = at
		c.timers.Cancel(operation.deadline)
		operation.deadline = c.timers.Add(at+graceAfterDeadline, func() { c.overdue(handle) })
		c.dispatch(balance.DeadlineShortened{Request: balance.RequestID(handle), Deadline: at})
	}
}

// PeersHeardWithin reports whether a peer's message was received within the last window.
func (c *Core) PeersHeardWithin(window time.Duration) bool {
	return c.lastPeerMessage > 0 && c.clock.Now()-c.lastPeerMessage <= window
}

// Route starts an operation: admission, then the balancer's decision. Its final answer may be
// given before Route returns.
func (c *Core) Route(handle slottable.Handle) {
	operation := c.operations.Get(handle)
	if operation == nil {
		return
	}
	c.traceOperation("operation taken", operation, "class", operation.Class, "slots", operation.Slots, "hint_us", operation.Cost.Microseconds(),
		"due_us", (operation.Deadline - operation.arrived).Microseconds())
	if c.admission != nil {
		if after, ok := c.admission.Admit(operation.Class); !ok {
			c.conclude(handle, Answer{Verdict: Refused, RetryAfter: c.retryAdvice(after)})
			return
		}
	}
	c.dispatch(c.request(handle, operation))
}

// request returns an operation as the balancer sees it.
func (c *Core) request(handle slottable.Handle, operation *operation) balance.Request {
	return balance.Request{ID: balance.RequestID(handle), Class: operation.Class, Tenant: operation.Tenant, Key: operation.Key,
		Cost: operation.Cost, HasCost: operation.HasCost, ClientRetry: operation.Repeat, Slots: operation.Slots, Memory: operation.Memory,
		Deadline: operation.Deadline}
}

// MayHaveRun reports whether a route step of the operation may have had an effect, or may yet
// have one.
func (c *Core) MayHaveRun(handle slottable.Handle) bool {
	operation := c.operations.Get(handle)
	return operation != nil && (operation.inFlight > operation.gated ||
		slices.ContainsFunc(operation.attempts, func(t balance.PriorAttempt) bool { return t.MayHave && !t.Out }))
}

// Withdraw ends an operation whose client is gone. Its steps are cancelled, and it gets no
// answer.
func (c *Core) Withdraw(handle slottable.Handle) {
	operation := c.operations.Get(handle)
	if operation == nil || operation.concluded {
		return
	}
	c.counts.Gone++
	c.traceOperation("operation withdrawn", operation)
	c.finish(operation)
	c.dispatch(balance.RequestEnded{Request: balance.RequestID(handle)})
	c.forget(handle, operation)
}

// overdue fails an operation that the balancer has not decided by its deadline.
func (c *Core) overdue(handle slottable.Handle) {
	operation := c.operations.Get(handle)
	if operation == nil || operation.concluded {
		return
	}
	slog.Warn("operation overdue", "id", operation.Work.ID, "steps", len(operation.steps))
	c.giveAnswer(handle, operation, Answer{Verdict: Failed})
	c.dispatch(balance.RequestEnded{Request: balance.RequestID(handle)})
	c.forget(handle, operation)
}

// giveAnswer gives the operation its one final answer; further calls are ignored.
func (c *Core) giveAnswer(handle slottable.Handle, operation *operation, answer Answer) {
	if operation.concluded {
		return
	}
	answer.MayHaveRun = c.MayHaveRun(handle)
	c.countVerdict(operation.Class, answer.Verdict)
	c.traceOperation("operation answered", operation, "verdict", answer.Verdict, "retry_us", answer.RetryAfter.Microseconds(),
		"may_have_run", answer.MayHaveRun)
	c.finish(operation)
	operation.Owner.Answered(handle, answer)
	if c.loadObserver != nil {
		c.loadObserver.OperationConcluded(operation.Owner, answer.Verdict)
	}
}

// countVerdict counts a final answer, in all and for its class.
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

// finish marks an operation as concluded.
func (c *Core) finish(operation *operation) {
	operation.concluded = true
	c.timers.Cancel(operation.deadline)
	c.open--
	if c.open == 0 {
		c.onIdle()
	}
}

// forget removes a concluded operation once it has no step in flight.
func (c *Core) forget(handle slottable.Handle, operation *operation) {
	if operation.concluded && operation.inFlight == 0 {
		c.operations.Remove(handle)
	}
}

// ProbeEnded takes the result of a probe, from Destinations.
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

// PoolChanged takes a change of the listed destinations, from Pool.
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

// PeerMessage takes a message of another node, from Peers.
func (c *Core) PeerMessage(from int, payload []byte) {
	c.lastPeerMessage = c.clock.Now()
	c.dispatch(balance.PeerMessage{From: from, Payload: payload})
}

// dispatch passes an event to the balancer and carries out its actions. Events that these
// cause are queued until it has returned, since the balancer is not reentrant.
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

// perform carries out one action of the balancer.
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
		slog.Info("balancer", "says", action.Text)
	case balance.InternalError:
		slog.Error("balancer fault", "says", action.Text)
	}
}

// retryAdvice limits a Retry-After to what the settings allow; 0: none.
func (c *Core) retryAdvice(after time.Duration) time.Duration {
	if !c.settings.Limits.RetryAfter {
		return 0
	}
	if limit := c.settings.Limits.MaxRetryAfter; limit > 0 {
		return min(after, limit)
	}
	return after
}

// conclude answers an operation and removes it if it has no step in flight.
func (c *Core) conclude(handle slottable.Handle, answer Answer) {
	if operation := c.operations.Get(handle); operation != nil {
		c.giveAnswer(handle, operation, answer)
		c.forget(handle, operation)
	}
}
