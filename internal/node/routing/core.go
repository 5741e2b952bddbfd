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
	steps    []slottable.Handle     // by number; a Ref goes stale when its step ends
	tries    []balance.PriorAttempt // the same, as another process would have to know them
	arrived  time.Duration
	out      int
	gated    int  // of those that are out: before the gate
	over     bool // has its final answer, or nobody waits for one
	deadline *timerqueue.Timer
}

// Core is the node's state of operations and route steps. It belongs to the
// loop.
type Core struct {
	settings balance.Settings
	decide   *balance.Balancer
	clock    Clock
	timers   *timerqueue.Queue
	to       Destinations
	pool     Pool
	peers    Peers
	ops      slottable.Table[*operation]
	steps    slottable.Table[*step]
	open     int // operations that are owed an answer
	state    map[balance.WorkerID]balance.State
	events   []balance.Event
	busy     bool
	idle     func()        // called when the last open operation is answered
	witness  Witness       // nil: none
	observer Observer      // nil: none
	keeper   Admission     // nil: all are let in
	heardAt  time.Duration // the last message of another node; 0: none
	endBy    time.Duration // what ending owns is to be answered by then
	ending   Owner         // nil: none
	traced   bool          // the log has each operation's way
	named    func(balance.WorkerID) string

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
func New(s balance.Settings, seed uint64, clock Clock, line *timerqueue.Queue) (*Core, error) {
	decide, err := balance.New(s, seed)
	if err != nil {
		return nil, err
	}
	return &Core{settings: s, decide: decide, clock: clock, timers: line,
		counts: Counts{Classes: make([]ClassCounts, len(s.Classes))}, state: map[balance.WorkerID]balance.State{}, idle: func() {}, traced: tracing(),
		named: func(id balance.WorkerID) string { return strconv.FormatUint(uint64(id), 16) }}, nil
}

// Connect names the adapters on the far side.
func (c *Core) Connect(to Destinations, pool Pool, peers Peers) {
	c.to, c.pool, c.peers = to, pool, peers
}

// Show has a witness told of what happens from now on.
func (c *Core) Show(w Witness) { c.witness = w }

// Observe has an observer told of the route steps from now on.
func (c *Core) Observe(o Observer) { c.observer = o }

// Keep has a doorkeeper asked about each operation from now on.
func (c *Core) Keep(k Admission) { c.keeper = k }

// ZoneShares hands the module what the fleet has decided on the zones.
func (c *Core) ZoneShares(s balance.ZoneShares) { c.dispatch(s) }

// Zones tells what is known of the zones' ready destinations.
func (c *Core) Zones() []balance.ZoneView { return c.decide.Zones(c.clock.Now()) }

// Listed calls f for each destination of the pool config, with its state and the
// chance that the module gives a failure there.
func (c *Core) Listed(f func(id balance.WorkerID, state balance.State, doubt float64)) {
	for id, state := range c.state {
		f(id, state, c.decide.FailureProbability(c.clock.Now(), id))
	}
}

// Able tells whether any destination is there to serve.
func (c *Core) Able() bool {
	for _, s := range c.state {
		if s == balance.Ready {
			return true
		}
	}
	return false
}

// Open returns the number of operations that are owed an answer.
func (c *Core) Open() int { return c.open }

// Counts returns the totals.
func (c *Core) Counts() Counts { return c.counts }

// WhenIdle sets what is called whenever no operation is open any more.
func (c *Core) WhenIdle(f func()) { c.idle = f }

// Take takes an operation in. Nothing becomes of it before Route, so that its
// owner can note the Ref first.
func (c *Core) Take(in Operation) slottable.Handle {
	if c.ending != nil && in.Owner == c.ending {
		in.Deadline = min(in.Deadline, c.endBy)
	}
	in.Work.Once = in.Class < len(c.settings.Classes) && c.settings.Classes[in.Class].Effect == balance.NonIdempotent
	op := &operation{Operation: in, arrived: c.clock.Now()}
	ref := c.ops.Add(op)
	c.open++
	c.counts.Operations++
	// The module answers a little before the deadline. Should it ever not, the
	// client is still owed an answer while it listens.
	op.deadline = c.timers.Add(in.Deadline+graceAfterDeadline, func() { c.overdue(ref) })
	return ref
}

// EndBy has all operations of an owner answered by a time, those still to come too:
// the process may live no longer. The module refuses or fails what does not end by
// then.
func (c *Core) EndBy(owner Owner, at time.Duration) {
	c.ending, c.endBy = owner, at
	var refs []slottable.Handle
	c.ops.All(func(ref slottable.Handle, op *operation) {
		if !op.over && op.Owner == owner && op.Deadline > at {
			refs = append(refs, ref)
		}
	})
	for _, ref := range refs {
		op := c.ops.Get(ref)
		if op == nil || op.over {
			continue
		}
		op.Deadline = at
		c.timers.Cancel(op.deadline)
		op.deadline = c.timers.Add(at+graceAfterDeadline, func() { c.overdue(ref) })
		c.dispatch(balance.DeadlineShortened{Request: balance.RequestID(ref), Deadline: at})
	}
}

// HeardWithin tells whether a message of another node has come in the last span.
func (c *Core) HeardWithin(span time.Duration) bool {
	return c.heardAt > 0 && c.clock.Now()-c.heardAt <= span
}

// Route puts an operation to the module. Its final answer may come before Route
// returns.
func (c *Core) Route(ref slottable.Handle) {
	op := c.ops.Get(ref)
	if op == nil {
		return
	}
	c.traceOperation("operation taken", op, "class", op.Class, "slots", op.Slots, "hint_us", op.Cost.Microseconds(),
		"due_us", (op.Deadline - op.arrived).Microseconds())
	if c.keeper != nil {
		if after, ok := c.keeper.Admit(op.Class); !ok {
			c.conclude(ref, Answer{Verdict: Refused, RetryAfter: c.advice(after)})
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
	op := c.ops.Get(ref)
	return op != nil && (op.out > op.gated ||
		slices.ContainsFunc(op.tries, func(t balance.PriorAttempt) bool { return t.MayHave && !t.Out }))
}

// Withdraw tells that nobody waits for the operation any more. It gets no
// answer from then on.
func (c *Core) Withdraw(ref slottable.Handle) {
	op := c.ops.Get(ref)
	if op == nil || op.over {
		return
	}
	c.counts.Gone++
	c.traceOperation("operation withdrawn", op)
	c.finish(op)
	c.dispatch(balance.RequestEnded{Request: balance.RequestID(ref)})
	c.forget(ref, op)
}

func (c *Core) overdue(ref slottable.Handle) {
	op := c.ops.Get(ref)
	if op == nil || op.over {
		return
	}
	slog.Warn("operation overdue", "id", op.Work.ID, "steps", len(op.steps))
	c.answer(ref, op, Answer{Verdict: Failed})
	c.dispatch(balance.RequestEnded{Request: balance.RequestID(ref)})
	c.forget(ref, op)
}

// answer gives the operation its one final answer.
func (c *Core) answer(ref slottable.Handle, op *operation, a Answer) {
	if op.over {
		return
	}
	a.MayHaveRun = c.MayHaveRun(ref)
	c.count(op.Class, a.Verdict)
	c.traceOperation("operation answered", op, "verdict", a.Verdict, "retry_us", a.RetryAfter.Microseconds(),
		"may_have_run", a.MayHaveRun)
	c.finish(op)
	op.Owner.Answered(ref, a)
	if c.witness != nil {
		c.witness.Concluded(op.Owner, a.Verdict)
	}
}

// count books a final answer, in all and on its class.
func (c *Core) count(class int, v Verdict) {
	of := &ClassCounts{}
	if class >= 0 && class < len(c.counts.Classes) {
		of = &c.counts.Classes[class]
	}
	switch v {
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
	op.over = true
	c.timers.Cancel(op.deadline)
	c.open--
	if c.open == 0 {
		c.idle()
	}
}

// forget frees the slot of an operation that is over with nothing out.
func (c *Core) forget(ref slottable.Handle, op *operation) {
	if op.over && op.out == 0 {
		c.ops.Remove(ref)
	}
}

// ProbeEnded tells what a probe found.
func (c *Core) ProbeEnded(ev balance.ProbeDone) {
	if c.witness != nil && ev.Report != nil {
		c.witness.Reported(ev.Worker, ev.Report)
	}
	if c.traced {
		slog.Debug("probe ended", "destination", c.named(ev.Worker), "outcome", ev.Outcome, "after_us",
			ev.Elapsed.Microseconds(), "report", ev.Report)
	}
	c.dispatch(ev)
}

// PoolChanged takes in news of the destinations.
func (c *Core) PoolChanged(up balance.ListUpdate) {
	switch up.Kind {
	case balance.ListFull, balance.ListCached:
		clear(c.state)
	}
	for _, l := range up.Workers {
		if l.State == balance.Gone {
			delete(c.state, l.Worker)
			continue
		}
		c.state[l.Worker] = l.State
	}
	c.dispatch(up)
}

// Heard takes in a message of another node.
func (c *Core) Heard(from int, payload []byte) {
	c.heardAt = c.clock.Now()
	c.dispatch(balance.PeerMessage{From: from, Payload: payload})
}

// dispatch hands an event to the module and carries its actions out. What they
// bring about waits its turn, as the module is not to be called within a call.
func (c *Core) dispatch(ev balance.Event) {
	c.events = append(c.events, ev)
	if c.busy {
		return
	}
	c.busy = true
	for len(c.events) > 0 {
		next := c.events[0]
		c.events = slices.Delete(c.events, 0, 1)
		for _, a := range c.decide.Handle(c.clock.Now(), next) {
			c.perform(a)
		}
	}
	c.busy = false
}

func (c *Core) perform(a balance.Action) {
	switch a := a.(type) {
	case balance.Send:
		c.send(slottable.Handle(a.Request), a)
	case balance.Reject:
		c.conclude(slottable.Handle(a.Request), Answer{Verdict: Refused, RetryAfter: c.advice(a.RetryAfter)})
	case balance.Fail:
		c.conclude(slottable.Handle(a.Request), Answer{Verdict: Failed})
	case balance.Cancel:
		c.cancel(slottable.Handle(a.Request), a.Attempt)
	case balance.SetTimer:
		c.timers.Add(c.clock.Now()+a.After, func() { c.dispatch(balance.TimerFired{Token: a.Token}) })
	case balance.Probe:
		if state, listed := c.state[a.Worker]; c.settings.Limits.Probes && listed && state == balance.Ready {
			c.to.Probe(a.Worker)
		}
	case balance.CloseIdle:
		c.to.CloseIdle(a.Worker)
	case balance.SendToPeers:
		if c.settings.Limits.Messages {
			c.peers.Tell(a.To, a.Payload)
		}
	case balance.Subscribe:
		c.pool.Watch(a.On)
	case balance.FetchList:
		c.pool.Fetch()
	case balance.Log:
		slog.Info("module", "says", a.Text)
	case balance.InternalError:
		slog.Error("module fault", "says", a.Text)
	}
}

// advice cuts the time to come back to what the settings allow.
func (c *Core) advice(after time.Duration) time.Duration {
	if !c.settings.Limits.RetryAfter {
		return 0
	}
	if most := c.settings.Limits.MaxRetryAfter; most > 0 {
		return min(after, most)
	}
	return after
}

func (c *Core) conclude(ref slottable.Handle, a Answer) {
	if op := c.ops.Get(ref); op != nil {
		c.answer(ref, op, a)
		c.forget(ref, op)
	}
}
