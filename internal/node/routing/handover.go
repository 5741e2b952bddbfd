package routing

import (
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/slottable"
)

// OperationState is an operation that one process of the node hands over to the next, with all
// its route steps in the order of their attempts. It is encoded with gob: its fields and those of
// Operation and Work must keep their names.
type OperationState struct {
	Operation Operation // without its owner
	Arrived   time.Duration
	Tries     []balance.PriorAttempt
	Until     []time.Duration // by attempt: the deadlines of the steps in flight
}

// ExportLearned returns the state that the balancer has learned, for another process.
func (c *Core) ExportLearned() []uint64 { return c.balancer.ExportState() }

// ImportLearned replaces the state that the balancer has learned by that of another process.
func (c *Core) ImportLearned(state []uint64) error {
	return c.balancer.ImportState(c.clock.Now(), state)
}

// StepsInFlight returns the route steps of an operation by attempt, with the zero handle for steps
// that are not in flight. It returns nil if the operation is concluded.
func (c *Core) StepsInFlight(handle slottable.Handle) []slottable.Handle {
	operation := c.operations.Get(handle)
	if operation == nil || operation.concluded {
		return nil
	}
	inFlight := make([]slottable.Handle, len(operation.steps))
	for i, stepHandle := range operation.steps {
		if c.steps.Get(stepHandle) != nil {
			inFlight[i] = stepHandle
		}
	}
	return inFlight
}

// Release removes an operation that is handed over to another process, without an answer to its
// owner. It calls move for each step in flight: move hands over the step's connection (moved), and
// reports whether a byte of the step may have been written (begun). A step that is not moved is
// cancelled.
func (c *Core) Release(handle slottable.Handle, move func(attempt int, step slottable.Handle) (moved, begun bool)) OperationState {
	operation := c.operations.Get(handle)
	state := OperationState{Operation: operation.Operation, Arrived: operation.arrived, Tries: operation.attempts,
		Until: make([]time.Duration, len(operation.attempts))}
	state.Operation.Owner = nil
	for i, stepHandle := range operation.steps {
		s := c.steps.Get(stepHandle)
		if s == nil {
			continue
		}
		state.Until[i] = s.deadline
		if moved, begun := move(i, stepHandle); !moved {
			state.Tries[i].Out, state.Tries[i].MayHave = false, begun
			c.destinations.Abort(stepHandle)
		}
		c.timers.Cancel(s.timer)
		c.steps.Remove(stepHandle)
		operation.inFlight--
	}
	c.counts.HandedOver++
	c.markConcluded(operation)
	c.operations.Remove(handle)
	c.dispatch(balance.RequestEnded{Request: balance.RequestID(handle)})
	return state
}

// Adopt registers an operation that another process has released. It returns the operation's handle
// and those of its steps by attempt, with the zero handle for steps that are not in flight. Nothing
// is sent before Resume.
func (c *Core) Adopt(state OperationState, owner Owner) (slottable.Handle, []slottable.Handle) {
	state.Operation.Owner = owner
	handle := c.Accept(state.Operation)
	operation := c.operations.Get(handle)
	operation.arrived, operation.attempts = state.Arrived, state.Tries
	operation.steps = make([]slottable.Handle, len(state.Tries))
	for i, attempt := range state.Tries {
		if !attempt.Out {
			continue
		}
		s := &step{operation: handle, attempt: i, destination: attempt.Worker, sentAt: attempt.SentAt, deadline: state.Until[i]}
		stepHandle := c.steps.Add(s)
		s.timer = c.timers.Add(s.deadline, func() { c.endStep(stepHandle, balance.TimedOut) })
		operation.steps[i] = stepHandle
		operation.inFlight++
	}
	return handle, operation.steps
}

// Resume passes an adopted operation to the balancer, which continues it.
func (c *Core) Resume(handle slottable.Handle) {
	if operation := c.operations.Get(handle); operation != nil {
		c.dispatch(balance.Adopted{Request: c.request(handle, operation), Arrived: operation.arrived, Attempts: operation.attempts})
	}
}
