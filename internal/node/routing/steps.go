package routing

import (
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/faultinjection"
	"ospreybend/internal/node/slottable"
	"ospreybend/internal/node/timerqueue"
)

// networkAllowance is the time that a request may take on the network: half of the tolerance of the platform's rules.
const networkAllowance = 25 * time.Millisecond

// step is one route step: an attempt of an operation at a destination.
type step struct {
	op       slottable.Handle
	number   int
	to       balance.WorkerID
	sentAt   time.Duration
	until    time.Duration
	deadline *timerqueue.Timer
	gated    bool // waits for its owner's Gate
}

// MayStart reports whether a route step may write its first byte now that its connection is
// open. Meanwhile the destination may have begun to drain, the deadline may have passed, the
// client may have disconnected or the window for repeats may be over.
func (c *Core) MayStart(handle slottable.Handle) bool {
	s := c.steps.Get(handle)
	if s == nil {
		return false
	}
	state, listed := c.workerStates[s.to]
	return listed && state == balance.Ready && c.clock.Now() < s.until && c.clientWaits(s.op) && c.inDedupWindow(s)
}

// inDedupWindow reports whether a retry would arrive while the destinations still recognize it as a repeat.
// Its connection may have been opened long after the balancer's decision, and its bytes are yet to travel.
func (c *Core) inDedupWindow(s *step) bool {
	operation := c.operations.Get(s.op)
	if operation.Class >= len(c.settings.Classes) || c.settings.Classes[operation.Class].Effect != balance.Deduplicated {
		return true
	}
	for i, t := range operation.attempts {
		if i != s.number && t.MayHave && c.clock.Now() > t.SentAt+c.settings.Classes[operation.Class].DedupWindow-networkAllowance {
			return false
		}
	}
	return true
}

// clientWaits reports whether the client waits for an operation's answer. If not, the owner
// withdraws the operation within the call.
func (c *Core) clientWaits(handle slottable.Handle) bool {
	operation := c.operations.Get(handle)
	if operation == nil || operation.concluded {
		return false
	}
	w, ok := operation.Owner.(Waiter)
	return !ok || w.ClientWaits(handle)
}

// StepStarted takes the event that the destination has begun to run the step.
func (c *Core) StepStarted(handle slottable.Handle) {
	s := c.steps.Get(handle)
	if s == nil {
		return
	}
	c.traceStep("step started", s)
	if c.stepObserver != nil {
		c.stepObserver.StepStarted(handle)
	}
	if operation := c.operations.Get(s.op); operation != nil && !operation.concluded {
		operation.attempts[s.number].Started = c.clock.Now()
		operation.Owner.Started(s.op, s.to)
		if c.loadObserver != nil {
			c.loadObserver.StartDelay(operation.Owner, c.clock.Now()-s.sentAt)
		}
	}
	c.dispatch(balance.AttemptProgress{Request: balance.RequestID(s.op), Attempt: s.number, Worker: s.to, Started: true})
}

// StepProgress takes the share of the step that the destination has completed, from 0 to 1.
func (c *Core) StepProgress(handle slottable.Handle, share float64) {
	if s := c.steps.Get(handle); s != nil {
		c.dispatch(balance.AttemptProgress{Request: balance.RequestID(s.op), Attempt: s.number, Worker: s.to,
			Progress: share})
	}
}

// StepEnded takes the end of a route step; later events of the step are ignored.
func (c *Core) StepEnded(handle slottable.Handle, end StepEnd) {
	s := c.steps.Get(handle)
	if s == nil {
		return
	}
	c.steps.Remove(handle)
	c.timers.Cancel(s.deadline)
	if end.Rejected {
		// The request is invalid at any destination: if it counted as a failure, one faulty
		// client could make all destinations look unhealthy. To the balancer the step was
		// cancelled.
		end.Outcome = balance.Cancelled
	}
	c.counts.Outcomes[end.Outcome]++
	c.traceStep("step ended", s, "outcome", end.Outcome, "report", end.Report)
	operation := c.operations.Get(s.op)
	if c.stepObserver != nil {
		c.stepObserver.StepEnded(handle, end.Outcome)
	}
	operation.inFlight--
	operation.attempts[s.number].Out, operation.attempts[s.number].MayHave = false, !end.Outcome.NeverRan()
	if c.loadObserver != nil && end.Report != nil {
		c.loadObserver.LoadReported(s.to, end.Report)
	}
	if !operation.concluded {
		operation.Owner.StepEnded(s.op, s.to, end.Outcome)
	}
	switch {
	case end.Rejected:
		c.giveAnswer(s.op, operation, Answer{Verdict: Rejected})
	case end.Outcome == balance.Served:
		c.giveAnswer(s.op, operation, Answer{Verdict: Served, Result: end.Result})
	}
	c.dispatch(balance.AttemptDone{Request: balance.RequestID(s.op), Attempt: s.number, Worker: s.to,
		Outcome: end.Outcome, Elapsed: c.clock.Now() - s.sentAt, Over: operation.concluded, Report: end.Report})
	c.forget(s.op, operation)
}

// send starts a route step. One that the rules forbid ends as not sent, whatever the
// balancer has decided.
func (c *Core) send(handle slottable.Handle, send balance.Send) {
	operation, now := c.operations.Get(handle), c.clock.Now()
	if operation == nil {
		return
	}
	until := operation.Deadline
	if send.Until > 0 {
		until = min(until, send.Until)
	}
	s := &step{op: handle, number: len(operation.steps), to: send.Worker, sentAt: now, until: until}
	stepHandle := c.steps.Add(s)
	operation.steps = append(operation.steps, stepHandle)
	operation.attempts = append(operation.attempts, balance.PriorAttempt{Worker: send.Worker, SentAt: now, Out: true, MayHave: true})
	operation.inFlight++
	state, listed := c.workerStates[send.Worker]
	if !c.clientWaits(handle) || !listed || state != balance.Ready || len(operation.steps) > c.settings.Limits.MaxAttempts || !c.inDedupWindow(s) {
		c.StepEnded(stepHandle, StepEnd{Outcome: balance.NotSent})
		return
	}
	c.counts.Steps++
	c.traceStep("step sent", s)
	if c.stepObserver != nil {
		c.stepObserver.StepSent(stepHandle, send.Worker, operation.Class, operation.Slots)
	}
	s.deadline = c.timers.Add(until, func() { c.endStep(stepHandle, balance.TimedOut) })
	operation.Owner.StepSent(handle, send.Worker)
	gate, ok := operation.Owner.(Gate)
	if !ok {
		c.destinations.Send(stepHandle, send.Worker, &operation.Work, until)
		return
	}
	s.gated = true
	operation.gated++
	gate.BeforeSend(handle, func(ok bool) { c.openGate(stepHandle, ok) })
}

// openGate sends a step once its owner allows it, or ends it unsent: if the owner does not
// allow it, or if it may not start any more.
func (c *Core) openGate(stepHandle slottable.Handle, ok bool) {
	s := c.steps.Get(stepHandle)
	if s == nil || !s.gated {
		return
	}
	operation := c.operations.Get(s.op)
	s.gated = false
	operation.gated--
	if !ok || !c.MayStart(stepHandle) {
		c.StepEnded(stepHandle, StepEnd{Outcome: balance.NotSent})
		return
	}
	faultinjection.Hit(faultinjection.SendBefore)
	c.destinations.Send(stepHandle, s.to, &operation.Work, s.until)
}

// cancel ends a step that the balancer cancels.
func (c *Core) cancel(handle slottable.Handle, number int) {
	if operation := c.operations.Get(handle); operation != nil && number >= 0 && number < len(operation.steps) {
		c.endStep(operation.steps[number], balance.Cancelled)
	}
}

// endStep abandons a step with an outcome, and closes its connection.
func (c *Core) endStep(handle slottable.Handle, as balance.Outcome) {
	s := c.steps.Get(handle)
	if s == nil {
		return
	}
	if s.gated {
		c.openGate(handle, false) // it never ran, whatever the outcome was to be
		return
	}
	c.destinations.Abort(handle)
	c.StepEnded(handle, StepEnd{Outcome: as})
}
