package routing

import (
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/slottable"
)

// OperationState is an operation that one process of the node hands over to the next, with all
// its route steps, in order. It is encoded with gob, so that its fields and those of Operation
// and Work keep their names.
type OperationState struct {
	Operation Operation // without its owner
	Arrived   time.Duration
	Tries     []balance.PriorAttempt
	Until     []time.Duration // deadlines by attempt, for those in flight
}

// ExportLearned returns the balancer's learned state, for another process.
func (c *Core) ExportLearned() []uint64 { return c.balancer.ExportState() }

// ImportLearned sets the balancer's learned state to that of another process.
func (c *Core) ImportLearned(state []uint64) error {
	return c.balancer.ImportState(c.clock.Now(), state)
}

// StepsInFlight returns the route steps of an operation by the number of the attempt, with the
// zero handle for those that are not in flight.
func (c *Core) StepsInFlight(handle slottable.Handle) []slottable.Handle {
	operation := c.operations.Get(handle)
	if operation == nil || operation.concluded {
		return nil
	}
	out := make([]slottable.Handle, len(operation.steps))
	for i, stepHandle := range operation.steps {
		if c.steps.Get(stepHandle) != nil {
			out[i] = stepHandle
		}
	}
	return out
}

// Release removes an operation for a hand-over to another process, without an answer to its
// owner. move gives up the connection of a step and reports whether a byte of the step may
// have been written (begun); a step that is not moved is cancelled here.
func (c *Core) Release(handle slottable.Handle, move func(try int, step slottable.Handle) (moved, begun bool)) OperationState {
	operation := c.operations.Get(handle)
	state := OperationState{Operation: operation.Operation, Arrived: operation.arrived, Tries: operation.attempts, Until: make([]time.Duration, len(operation.attempts))}
	state.Operation.Owner = nil
	for i, stepHandle := range operation.steps {
		s := c.steps.Get(stepHandle)
		if s == nil {
			continue
		}
		state.Until[i] = s.until
		if moved, begun := move(i, stepHandle); !moved {
			state.Tries[i].Out, state.Tries[i].MayHave = false, begun
			c.destinations.Abort(stepHandle)
		}
		c.timers.Cancel(s.deadline)
		c.steps.Remove(stepHandle)
		operation.inFlight--
	}
	c.counts.Moved++
	c.finish(operation)
	c.operations.Remove(handle)
	c.dispatch(balance.RequestEnded{Request: balance.RequestID(handle)})
	return state
}

// Adopt takes over an operation that another process has released, and returns its handle and
// those of its steps in flight. Nothing is sent before Resume.
func (c *Core) Adopt(in OperationState, owner Owner) (slottable.Handle, []slottable.Handle) {
	in.Operation.Owner = owner
	handle := c.Accept(in.Operation)
	operation := c.operations.Get(handle)
	operation.arrived, operation.attempts = in.Arrived, in.Tries
	operation.steps = make([]slottable.Handle, len(in.Tries))
	for i, t := range in.Tries {
		if !t.Out {
			continue
		}
		s := &step{op: handle, number: i, to: t.Worker, sentAt: t.SentAt, until: in.Until[i]}
		stepHandle := c.steps.Add(s)
		s.deadline = c.timers.Add(s.until, func() { c.endStep(stepHandle, balance.TimedOut) })
		operation.steps[i] = stepHandle
		operation.inFlight++
	}
	return handle, operation.steps
}

// Resume continues an adopted operation with the balancer.
func (c *Core) Resume(handle slottable.Handle) {
	if operation := c.operations.Get(handle); operation != nil {
		c.dispatch(balance.Adopted{Request: c.request(handle, operation), Arrived: operation.arrived, Attempts: operation.attempts})
	}
}
