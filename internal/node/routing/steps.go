package routing

import (
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/faultinjection"
	"ospreybend/internal/node/slottable"
	"ospreybend/internal/node/timerqueue"
)

// networkAllowance is what the network may take, with half of the slack that the rules have on sockets to spare.
const networkAllowance = 25 * time.Millisecond

// step is one route step.
type step struct {
	op       slottable.Handle
	number   int
	to       balance.WorkerID
	sentAt   time.Duration
	until    time.Duration
	deadline *timerqueue.Timer
	gated    bool // not let through to the destination yet
}

// MayStart tells whether a route step whose connection has come up only now may
// still write its first byte: the destination may have been told to drain, the
// deadline may have passed and the client may have left while the connection was made.
func (c *Core) MayStart(ref slottable.Handle) bool {
	s := c.steps.Get(ref)
	if s == nil {
		return false
	}
	state, listed := c.workerStates[s.to]
	return listed && state == balance.Ready && c.clock.Now() < s.until && c.clientWaits(s.op) && c.inDedupWindow(s)
}

// inDedupWindow tells whether a repeat of what destinations drop repeats of for a while may still begin: its
// connection may have come up long after the module's decision, and its bytes are on their way yet.
func (c *Core) inDedupWindow(s *step) bool {
	op := c.operations.Get(s.op)
	if op.Class >= len(c.settings.Classes) || c.settings.Classes[op.Class].Effect != balance.Deduplicated {
		return true
	}
	for i, t := range op.attempts {
		if i != s.number && t.MayHave && c.clock.Now() > t.SentAt+c.settings.Classes[op.Class].Window-networkAllowance {
			return false
		}
	}
	return true
}

// clientWaits tells whether anybody waits for an operation's answer. It may withdraw it.
func (c *Core) clientWaits(ref slottable.Handle) bool {
	op := c.operations.Get(ref)
	if op == nil || op.concluded {
		return false
	}
	w, ok := op.Owner.(Waiter)
	return !ok || w.ClientWaits(ref)
}

// StepStarted tells that the destination has begun to run the step.
func (c *Core) StepStarted(ref slottable.Handle) {
	s := c.steps.Get(ref)
	if s == nil {
		return
	}
	c.traceStep("step started", s)
	if c.stepObserver != nil {
		c.stepObserver.StepStarted(ref)
	}
	if op := c.operations.Get(s.op); op != nil && !op.concluded {
		op.attempts[s.number].Started = c.clock.Now()
		op.Owner.Started(s.op, s.to)
		if c.loadObserver != nil {
			c.loadObserver.StartDelay(op.Owner, c.clock.Now()-s.sentAt)
		}
	}
	c.dispatch(balance.AttemptProgress{Request: balance.RequestID(s.op), Attempt: s.number, Worker: s.to, Started: true})
}

// StepProgress tells how far the destination is.
func (c *Core) StepProgress(ref slottable.Handle, share float64) {
	if s := c.steps.Get(ref); s != nil {
		c.dispatch(balance.AttemptProgress{Request: balance.RequestID(s.op), Attempt: s.number, Worker: s.to,
			Progress: share})
	}
}

// StepEnded tells how a route step ended. Only the first word on a step counts.
func (c *Core) StepEnded(ref slottable.Handle, end StepEnd) {
	s := c.steps.Get(ref)
	if s == nil {
		return
	}
	c.steps.Remove(ref)
	c.timers.Cancel(s.deadline)
	if end.Rejected {
		// No fault of the destination's, and another would say the same: one bad
		// client could else make all of them look sick. To the module it is as if
		// the step had been called off.
		end.Outcome = balance.Cancelled
	}
	c.counts.Outcomes[end.Outcome]++
	c.traceStep("step ended", s, "outcome", end.Outcome, "report", end.Report)
	op := c.operations.Get(s.op)
	if c.stepObserver != nil {
		c.stepObserver.StepEnded(ref, end.Outcome)
	}
	op.inFlight--
	op.attempts[s.number].Out, op.attempts[s.number].MayHave = false, !end.Outcome.NeverRan()
	if c.loadObserver != nil && end.Report != nil {
		c.loadObserver.LoadReported(s.to, end.Report)
	}
	if !op.concluded {
		op.Owner.StepEnded(s.op, s.to, end.Outcome)
	}
	switch {
	case end.Rejected:
		c.giveAnswer(s.op, op, Answer{Verdict: Rejected})
	case end.Outcome == balance.Served:
		c.giveAnswer(s.op, op, Answer{Verdict: Served, Result: end.Result})
	}
	c.dispatch(balance.AttemptDone{Request: balance.RequestID(s.op), Attempt: s.number, Worker: s.to,
		Outcome: end.Outcome, Elapsed: c.clock.Now() - s.sentAt, Over: op.concluded, Report: end.Report})
	c.forget(s.op, op)
}

// send starts a route step. What the rules forbid outright ends as not sent,
// whatever the module thinks.
func (c *Core) send(ref slottable.Handle, send balance.Send) {
	operation, now := c.operations.Get(ref), c.clock.Now()
	if operation == nil {
		return
	}
	until := operation.Deadline
	if send.Until > 0 {
		until = min(until, send.Until)
	}
	s := &step{op: ref, number: len(operation.steps), to: send.Worker, sentAt: now, until: until}
	at := c.steps.Add(s)
	operation.steps = append(operation.steps, at)
	operation.attempts = append(operation.attempts, balance.PriorAttempt{Worker: send.Worker, SentAt: now, Out: true, MayHave: true})
	operation.inFlight++
	state, listed := c.workerStates[send.Worker]
	if !c.clientWaits(ref) || !listed || state != balance.Ready || len(operation.steps) > c.settings.Limits.MaxAttempts || !c.inDedupWindow(s) {
		c.StepEnded(at, StepEnd{Outcome: balance.NotSent})
		return
	}
	c.counts.Steps++
	c.traceStep("step sent", s)
	if c.stepObserver != nil {
		c.stepObserver.StepSent(at, send.Worker, operation.Class, operation.Slots)
	}
	s.deadline = c.timers.Add(until, func() { c.endStep(at, balance.TimedOut) })
	operation.Owner.StepSent(ref, send.Worker)
	gate, ok := operation.Owner.(Gate)
	if !ok {
		c.destinations.Send(at, send.Worker, &operation.Work, until)
		return
	}
	s.gated = true
	operation.gated++
	gate.BeforeSend(ref, func(ok bool) { c.openGate(at, ok) })
}

// openGate lets a step through its gate, or ends it there. What is now over, late or
// at a destination that has been told to drain does not go out any more.
func (c *Core) openGate(at slottable.Handle, ok bool) {
	s := c.steps.Get(at)
	if s == nil || !s.gated {
		return
	}
	op := c.operations.Get(s.op)
	s.gated = false
	op.gated--
	if !ok || !c.MayStart(at) {
		c.StepEnded(at, StepEnd{Outcome: balance.NotSent})
		return
	}
	faultinjection.Hit(faultinjection.GateOpen)
	c.destinations.Send(at, s.to, &op.Work, s.until)
}

func (c *Core) cancel(ref slottable.Handle, number int) {
	if op := c.operations.Get(ref); op != nil && number >= 0 && number < len(op.steps) {
		c.endStep(op.steps[number], balance.Cancelled)
	}
}

// endStep gives a step up. Its connection is closed with it.
func (c *Core) endStep(ref slottable.Handle, as balance.Outcome) {
	s := c.steps.Get(ref)
	if s == nil {
		return
	}
	if s.gated {
		c.openGate(ref, false) // whatever the reason, it never ran
		return
	}
	c.destinations.Abort(ref)
	c.StepEnded(ref, StepEnd{Outcome: as})
}
