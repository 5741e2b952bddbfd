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

// graceAfterDeadline is how long after an operation's deadline the core fails the operation
// itself, if the balancer has not concluded it.
const graceAfterDeadline = time.Millisecond

// Clock is the event loop's clock.
type Clock interface{ Now() time.Duration }

// operation is an operation in progress and its route steps.
type operation struct {
	Operation
	steps         []slottable.Handle     // by attempt; a handle is stale once its step has ended
	attempts      []balance.PriorAttempt // the same steps, in the form for another process
	arrived       time.Duration
	inFlight      int  // steps in flight
	awaitingGate  int  // steps in flight that wait for their owner's Gate
	concluded     bool // has its final answer or is withdrawn
	deadlineTimer *timerqueue.Timer
}

// Core has the operations and route steps in progress. Its methods must be called on the event
// loop.
type Core struct {
	settings balance.Settings
	balancer *balance.Balancer
	clock    Clock
	timers   *timerqueue.Queue

	// The adapters, set by Connect.
	destinations Destinations
	pool         Pool
	peers        Peers

	// State.
	operations      slottable.Table[*operation]
	steps           slottable.Table[*step]
	open            int // operations without a final answer
	workerStates    map[balance.WorkerID]balance.State
	lastPeerMessage time.Duration // when the latest message of a peer was received; 0: never
	ownerDeadline   time.Duration // latest deadline that operations of limitedOwner may have
	limitedOwner    Owner         // nil: none

	// Events that the balancer has not handled yet; see dispatch.
	events      []balance.Event
	dispatching bool

	// Optional parts.
	onIdle       func()       // called whenever the last open operation is concluded
	loadObserver LoadObserver // nil: none
	stepObserver StepObserver // nil: none
	admission    Admission    // nil: all operations are admitted
	tracing      bool         // log each operation and step
	workerName   func(balance.WorkerID) string

	counts Counts
}

// Counts are totals since the start of the process.
type Counts struct {
	// Operations counts accepted operations, Served to Rejected final answers, Withdrawn operations whose
	// client disconnected, HandedOver those passed on to another process, and Steps the route steps sent.
	Operations, Served, Refused, Failed, Rejected, Withdrawn, HandedOver, Steps uint64
	Outcomes                                                                    [balance.NotSent + 1]uint64 // of route steps
	Classes                                                                     []ClassCounts               // by number
}

// ClassCounts are the final answers to the operations of one class. Rejected operations are
// counted as failed.
type ClassCounts struct{ Served, Refused, Failed uint64 }

// New returns a core. seed is for the balancer's random numbers. Connect must be called before any
// other method.
func New(settings balance.Settings, seed uint64, clock Clock, timers *timerqueue.Queue) (*Core, error) {
	balancer, err := balance.New(settings, seed)
	if err != nil {
		return nil, err
	}
	return &Core{settings: settings, balancer: balancer, clock: clock, timers: timers,
		workerStates: map[balance.WorkerID]balance.State{}, onIdle: func() {}, tracing: tracing(),
		counts:     Counts{Classes: make([]ClassCounts, len(settings.Classes))},
		workerName: func(id balance.WorkerID) string { return strconv.FormatUint(uint64(id), 16) }}, nil
}

// Connect sets the adapters to the destinations, to discovery and to the peers.
func (c *Core) Connect(destinations Destinations, pool Pool, peers Peers) {
	c.destinations, c.pool, c.peers = destinations, pool, peers
}

// SetLoadObserver sets the observer of the destinations' load.
func (c *Core) SetLoadObserver(observer LoadObserver) { c.loadObserver = observer }

// SetStepObserver sets the observer of all route steps.
func (c *Core) SetStepObserver(observer StepObserver) { c.stepObserver = observer }

// SetAdmission sets the admission control for operations from now on.
func (c *Core) SetAdmission(admission Admission) { c.admission = admission }

// ZoneShares passes the shares that the fleet has decided for the zones to the balancer.
func (c *Core) ZoneShares(shares balance.ZoneShares) { c.dispatch(shares) }

// Zones returns the balancer's view of the zones' ready destinations.
func (c *Core) Zones() []balance.ZoneCapacity { return c.balancer.Zones(c.clock.Now()) }

// EachWorker calls visit for each listed destination, with its state and the balancer's estimate
// of the probability that an attempt there fails.
func (c *Core) EachWorker(visit func(id balance.WorkerID, state balance.State, failureProbability float64)) {
	for id, state := range c.workerStates {
		visit(id, state, c.balancer.FailureProbability(c.clock.Now(), id))
	}
}

// AnyReady reports whether any destination is ready.
func (c *Core) AnyReady() bool {
	for _, state := range c.workerStates {
		if state == balance.Ready {
			return true
		}
	}
	return false
}

// OpenOperations returns the number of operations without a final answer.
func (c *Core) OpenOperations() int { return c.open }

// Counts returns the totals since the start.
func (c *Core) Counts() Counts { return c.counts }

// OnIdle sets a callback that is called whenever the last open operation is concluded.
func (c *Core) OnIdle(callback func()) { c.onIdle = callback }

// Accept registers an operation and sets a timer for its deadline. Nothing is sent before Route, so
// that the owner can store the handle first.
func (c *Core) Accept(in Operation) slottable.Handle {
	if c.limitedOwner != nil && in.Owner == c.limitedOwner {
		in.Deadline = min(in.Deadline, c.ownerDeadline)
	}
	in.Work.Once = in.Class < len(c.settings.Classes) && c.settings.Classes[in.Class].Effect == balance.NonIdempotent
	operation := &operation{Operation: in, arrived: c.clock.Now()}
	handle := c.operations.Add(operation)
	c.open++
	c.counts.Operations++
	// The balancer concludes the operation shortly before the deadline. The timer makes sure that
	// the client gets an answer even if the balancer does not.
	operation.deadlineTimer = c.timers.Add(in.Deadline+graceAfterDeadline, func() { c.failOverdue(handle) })
	return handle
}

// LimitDeadlines limits the deadlines of all operations of an owner, future ones included, to a
// time after which the process may be killed. The balancer rejects or fails the operations that do
// not end by then.
func (c *Core) LimitDeadlines(owner Owner, at time.Duration) {
	c.limitedOwner, c.ownerDeadline = owner, at
	var handles []slottable.Handle
	c.operations.All(func(handle slottable.Handle, operation *operation) {
		if !operation.concluded && operation.Owner == owner && operation.Deadline > at {
			handles = append(handles, handle)
		}
	})
	for _, handle := range handles {
		operation := c.operations.Get(handle)
		if operation == nil || operation.concluded {
			continue
		}
		operation.Deadline = at
		c.timers.Cancel(operation.deadlineTimer)
		operation.deadlineTimer = c.timers.Add(at+graceAfterDeadline, func() { c.failOverdue(handle) })
		c.dispatch(balance.DeadlineShortened{Request: balance.RequestID(handle), Deadline: at})
	}
}

// PeersHeardWithin reports whether a peer's message was received within the last window.
func (c *Core) PeersHeardWithin(window time.Duration) bool {
	return c.lastPeerMessage > 0 && c.clock.Now()-c.lastPeerMessage <= window
}

// Route starts an accepted operation: it asks the admission control, then the balancer. The final
// answer may be given before Route returns.
func (c *Core) Route(handle slottable.Handle) {
	operation := c.operations.Get(handle)
	if operation == nil {
		return
	}
	c.traceOperation("operation taken", operation, "class", operation.Class, "slots", operation.Slots, "hint_us", operation.Cost.Microseconds(),
		"due_us", (operation.Deadline - operation.arrived).Microseconds())
	if c.admission != nil {
		if after, admitted := c.admission.Admit(operation.Class); !admitted {
			c.conclude(handle, Answer{Verdict: Refused, RetryAfter: c.retryAdvice(after)})
			return
		}
	}
	c.dispatch(c.request(handle, operation))
}

// request returns the balancer's form of an operation.
func (c *Core) request(handle slottable.Handle, operation *operation) balance.Request {
	return balance.Request{ID: balance.RequestID(handle), Class: operation.Class, Tenant: operation.Tenant, Key: operation.Key,
		Cost: operation.Cost, HasCost: operation.HasCost, ClientRetry: operation.Repeat, Slots: operation.Slots, Memory: operation.Memory,
		Deadline: operation.Deadline}
}

// MayHaveRun reports whether a route step of the operation may have had an effect or may still
// have one.
func (c *Core) MayHaveRun(handle slottable.Handle) bool {
	operation := c.operations.Get(handle)
	return operation != nil && (operation.inFlight > operation.awaitingGate ||
		slices.ContainsFunc(operation.attempts, func(attempt balance.PriorAttempt) bool { return attempt.MayHave && !attempt.Out }))
}

// Withdraw ends an operation whose client has disconnected. Its steps are cancelled, and it gets
// no answer.
func (c *Core) Withdraw(handle slottable.Handle) {
	operation := c.operations.Get(handle)
	if operation == nil || operation.concluded {
		return
	}
	c.counts.Withdrawn++
	c.traceOperation("operation withdrawn", operation)
	c.markConcluded(operation)
	c.dispatch(balance.RequestEnded{Request: balance.RequestID(handle)})
	c.removeIfDone(handle, operation)
}

// failOverdue fails an operation that the balancer has not concluded by its deadline.
func (c *Core) failOverdue(handle slottable.Handle) {
	operation := c.operations.Get(handle)
	if operation == nil || operation.concluded {
		return
	}
	slog.Warn("operation overdue", "id", operation.Work.ID, "steps", len(operation.steps))
	c.giveAnswer(handle, operation, Answer{Verdict: Failed})
	c.dispatch(balance.RequestEnded{Request: balance.RequestID(handle)})
	c.removeIfDone(handle, operation)
}

// giveAnswer gives an operation its final answer, unless it is concluded.
func (c *Core) giveAnswer(handle slottable.Handle, operation *operation, answer Answer) {
	if operation.concluded {
		return
	}
	answer.MayHaveRun = c.MayHaveRun(handle)
	c.countVerdict(operation.Class, answer.Verdict)
	c.traceOperation("operation answered", operation, "verdict", answer.Verdict, "retry_us", answer.RetryAfter.Microseconds(),
		"may_have_run", answer.MayHaveRun)
	c.markConcluded(operation)
	operation.Owner.Answered(handle, answer)
	if c.loadObserver != nil {
		c.loadObserver.OperationConcluded(operation.Owner, answer.Verdict)
	}
}

// countVerdict counts a final answer in the totals and for the operation's class.
func (c *Core) countVerdict(class int, verdict Verdict) {
	classCounts := &ClassCounts{}
	if class >= 0 && class < len(c.counts.Classes) {
		classCounts = &c.counts.Classes[class]
	}
	switch verdict {
	case Served:
		c.counts.Served++
		classCounts.Served++
	case Refused:
		c.counts.Refused++
		classCounts.Refused++
	case Failed:
		c.counts.Failed++
		classCounts.Failed++
	case Rejected:
		c.counts.Rejected++
		classCounts.Failed++
	}
}

// markConcluded marks an operation as concluded and cancels its timer. It calls onIdle if no other
// operation is open.
func (c *Core) markConcluded(operation *operation) {
	operation.concluded = true
	c.timers.Cancel(operation.deadlineTimer)
	c.open--
	if c.open == 0 {
		c.onIdle()
	}
}

// removeIfDone removes an operation that is concluded and has no step in flight.
func (c *Core) removeIfDone(handle slottable.Handle, operation *operation) {
	if operation.concluded && operation.inFlight == 0 {
		c.operations.Remove(handle)
	}
}

// ProbeEnded handles the result of a probe. Destinations calls it.
func (c *Core) ProbeEnded(probe balance.ProbeDone) {
	if c.loadObserver != nil && probe.Report != nil {
		c.loadObserver.LoadReported(probe.Worker, probe.Report)
	}
	if c.tracing {
		slog.Debug("probe ended", "destination", c.workerName(probe.Worker), "outcome", probe.Outcome, "after_us",
			probe.Elapsed.Microseconds(), "report", probe.Report)
	}
	c.dispatch(probe)
}

// PoolChanged handles a change of the list of destinations. Pool calls it.
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

// PeerMessage handles a message of another node. Peers calls it.
func (c *Core) PeerMessage(from int, payload []byte) {
	c.lastPeerMessage = c.clock.Now()
	c.dispatch(balance.PeerMessage{From: from, Payload: payload})
}

// dispatch passes an event to the balancer and performs the actions that it returns. Events that
// these actions cause are queued until they are all performed, since the balancer is not reentrant.
func (c *Core) dispatch(event balance.Event) {
	c.events = append(c.events, event)
	if c.dispatching {
		return
	}
	c.dispatching = true
	for len(c.events) > 0 {
		next := c.events[0]
		c.events = slices.Delete(c.events, 0, 1)
		for _, action := range c.balancer.Handle(c.clock.Now(), next) {
			c.perform(action)
		}
	}
	c.dispatching = false
}

// perform performs one action of the balancer.
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

// retryAdvice limits a Retry-After to what the settings allow. 0 means that none is sent.
func (c *Core) retryAdvice(after time.Duration) time.Duration {
	if !c.settings.Limits.RetryAfter {
		return 0
	}
	if limit := c.settings.Limits.MaxRetryAfter; limit > 0 {
		return min(after, limit)
	}
	return after
}

// conclude gives an operation its final answer and removes it if it has no step in flight.
func (c *Core) conclude(handle slottable.Handle, answer Answer) {
	if operation := c.operations.Get(handle); operation != nil {
		c.giveAnswer(handle, operation, answer)
		c.removeIfDone(handle, operation)
	}
}
