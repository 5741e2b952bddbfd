package routing

import (
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/faultinjection"
	"ospreybend/internal/node/slottable"
	"ospreybend/internal/node/timerqueue"
)

// networkAllowance is the time that a request may take on the network. It is half of the tolerance
// that the platform's rules allow.
const networkAllowance = 25 * time.Millisecond

// step is one route step: an attempt of an operation at a destination.
type step struct {
	operation   slottable.Handle
	attempt     int
	destination balance.WorkerID
	sentAt      time.Duration
	deadline    time.Duration
	timer       *timerqueue.Timer
	awaitsGate  bool // its owner's Gate has not called open yet
}

// MayStart reports whether a route step may still write its first byte once its connection is
// open. Since the balancer's decision the destination may have begun to drain, the deadline may
// have passed, the client may have disconnected or the deduplication window may have ended.
func (c *Core) MayStart(handle slottable.Handle) bool {
	s := c.steps.Get(handle)
	if s == nil {
		return false
	}
	state, listed := c.workerStates[s.destination]
	return listed && state == balance.Ready && c.clock.Now() < s.deadline && c.clientConnected(s.operation) && c.inDedupWindow(s)
}

// inDedupWindow reports whether a retry would arrive while the destinations still recognize it as
// a duplicate. Its connection may have been opened long after the balancer's decision, and the
// request takes time on the network (networkAllowance).
func (c *Core) inDedupWindow(s *step) bool {
	operation := c.operations.Get(s.operation)
	if operation.Class >= len(c.settings.Classes) || c.settings.Classes[operation.Class].Effect != balance.Deduplicated {
		return true
	}
	for i, attempt := range operation.attempts {
		if i != s.attempt && attempt.MayHave && c.clock.Now() > attempt.SentAt+c.settings.Classes[operation.Class].DedupWindow-networkAllowance {
			return false
		}
	}
	return true
}

// clientConnected reports whether an operation has no answer yet and its client is connected. If the
// client has disconnected, the owner withdraws the operation within the call.
func (c *Core) clientConnected(handle slottable.Handle) bool {
	operation := c.operations.Get(handle)
	if operation == nil || operation.concluded {
		return false
	}
	waiter, ok := operation.Owner.(DisconnectChecker)
	return !ok || waiter.ClientConnected(handle)
}

// StepStarted handles the event that the destination has begun to run a step.
func (c *Core) StepStarted(handle slottable.Handle) {
	s := c.steps.Get(handle)
	if s == nil {
		return
	}
	c.traceStep("step started", s)
	if c.stepObserver != nil {
		c.stepObserver.StepStarted(handle)
	}
	if operation := c.operations.Get(s.operation); operation != nil && !operation.concluded {
		operation.attempts[s.attempt].Started = c.clock.Now()
		operation.Owner.Started(s.operation, s.destination)
		if c.loadObserver != nil {
			c.loadObserver.StartDelay(operation.Owner, c.clock.Now()-s.sentAt)
		}
	}
	c.dispatch(balance.AttemptProgress{Request: balance.RequestID(s.operation), Attempt: s.attempt, Worker: s.destination, Started: true})
}

// StepProgress handles a progress report: the fraction of a step that the destination has
// completed, from 0 to 1.
func (c *Core) StepProgress(handle slottable.Handle, fraction float64) {
	if s := c.steps.Get(handle); s != nil {
		c.dispatch(balance.AttemptProgress{Request: balance.RequestID(s.operation), Attempt: s.attempt, Worker: s.destination,
			Progress: fraction})
	}
}

// StepEnded handles the end of a route step. Later events of the step are ignored.
func (c *Core) StepEnded(handle slottable.Handle, end StepEnd) {
	s := c.steps.Get(handle)
	if s == nil {
		return
	}
	c.steps.Remove(handle)
	c.timers.Cancel(s.timer)
	if end.Rejected {
		// The request is invalid at every destination. If the balancer counted it as a failure,
		// one faulty client could make all destinations look unhealthy, so the step is reported
		// as cancelled.
		end.Outcome = balance.Cancelled
	}
	c.counts.Outcomes[end.Outcome]++
	c.traceStep("step ended", s, "outcome", end.Outcome, "report", end.Report)
	operation := c.operations.Get(s.operation)
	if c.stepObserver != nil {
		c.stepObserver.StepEnded(handle, end.Outcome)
	}
	operation.inFlight--
	operation.attempts[s.attempt].Out, operation.attempts[s.attempt].MayHave = false, !end.Outcome.NeverRan()
	if c.loadObserver != nil && end.Report != nil {
		c.loadObserver.LoadReported(s.destination, end.Report)
	}
	if !operation.concluded {
		operation.Owner.StepEnded(s.operation, s.destination, end.Outcome)
	}
	switch {
	case end.Rejected:
		c.giveAnswer(s.operation, operation, Answer{Verdict: Rejected})
	case end.Outcome == balance.Served:
		c.giveAnswer(s.operation, operation, Answer{Verdict: Served, Result: end.Result})
	}
	c.dispatch(balance.AttemptDone{Request: balance.RequestID(s.operation), Attempt: s.attempt, Worker: s.destination,
		Outcome: end.Outcome, Elapsed: c.clock.Now() - s.sentAt, Over: operation.concluded, Report: end.Report})
	c.removeIfDone(s.operation, operation)
}

// send starts a route step. A step that the core's rules forbid ends as NotSent, whatever the
// balancer has decided.
func (c *Core) send(handle slottable.Handle, action balance.Send) {
	operation, now := c.operations.Get(handle), c.clock.Now()
	if operation == nil {
		return
	}
	deadline := operation.Deadline
	if action.Until > 0 {
		deadline = min(deadline, action.Until)
	}
	s := &step{operation: handle, attempt: len(operation.steps), destination: action.Worker, sentAt: now, deadline: deadline}
	stepHandle := c.steps.Add(s)
	operation.steps = append(operation.steps, stepHandle)
	operation.attempts = append(operation.attempts, balance.PriorAttempt{Worker: action.Worker, SentAt: now, Out: true, MayHave: true})
	operation.inFlight++
	state, listed := c.workerStates[action.Worker]
	if !c.clientConnected(handle) || !listed || state != balance.Ready || len(operation.steps) > c.settings.Limits.MaxAttempts || !c.inDedupWindow(s) {
		c.StepEnded(stepHandle, StepEnd{Outcome: balance.NotSent})
		return
	}
	c.counts.Steps++
	c.traceStep("step sent", s)
	if c.stepObserver != nil {
		c.stepObserver.StepSent(stepHandle, action.Worker, operation.Class, operation.Slots)
	}
	s.timer = c.timers.Add(deadline, func() { c.endStep(stepHandle, balance.TimedOut) })
	operation.Owner.StepSent(handle, action.Worker)
	gate, ok := operation.Owner.(Gate)
	if !ok {
		c.destinations.Send(stepHandle, action.Worker, &operation.Work, deadline)
		return
	}
	s.awaitsGate = true
	operation.awaitingGate++
	gate.BeforeSend(handle, func(ok bool) { c.gateOpened(stepHandle, ok) })
}

// gateOpened handles the owner's call of open: it sends the step, or ends it unsent if the owner
// does not allow it or it may not start any more.
func (c *Core) gateOpened(stepHandle slottable.Handle, ok bool) {
	s := c.steps.Get(stepHandle)
	if s == nil || !s.awaitsGate {
		return
	}
	operation := c.operations.Get(s.operation)
	s.awaitsGate = false
	operation.awaitingGate--
	if !ok || !c.MayStart(stepHandle) {
		c.StepEnded(stepHandle, StepEnd{Outcome: balance.NotSent})
		return
	}
	faultinjection.Hit(faultinjection.SendBefore)
	c.destinations.Send(stepHandle, s.destination, &operation.Work, s.deadline)
}

// cancel ends a step that the balancer cancels.
func (c *Core) cancel(handle slottable.Handle, attempt int) {
	if operation := c.operations.Get(handle); operation != nil && attempt >= 0 && attempt < len(operation.steps) {
		c.endStep(operation.steps[attempt], balance.Cancelled)
	}
}

// endStep ends a step with an outcome and closes its connection. A step that waits for its gate ends
// as NotSent.
func (c *Core) endStep(handle slottable.Handle, outcome balance.Outcome) {
	s := c.steps.Get(handle)
	if s == nil {
		return
	}
	if s.awaitsGate {
		c.gateOpened(handle, false) // it has not run, so that outcome does not apply
		return
	}
	c.destinations.Abort(handle)
	c.StepEnded(handle, StepEnd{Outcome: outcome})
}
