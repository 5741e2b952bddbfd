package routing

import (
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/slottable"
)

// OperationState is an operation on its way from one process of the node to another, with
// all its route steps, in order.
type OperationState struct {
	Operation Operation // without its owner
	Arrived   time.Duration
	Tries     []balance.PriorAttempt
	Until     []time.Duration // by try, where it is out
}

// ExportLearned returns what the module has learned, for another process.
func (c *Core) ExportLearned() []uint64 { return c.balancer.ExportState() }

// ImportLearned has the module take up what it has learned in another process.
func (c *Core) ImportLearned(state []uint64) error {
	return c.balancer.ImportState(c.clock.Now(), state)
}

// StepsInFlight returns the route steps of an operation that are out at destinations, by the
// number of the try; the zero Ref stands for one that is not.
func (c *Core) StepsInFlight(ref slottable.Handle) []slottable.Handle {
	op := c.operations.Get(ref)
	if op == nil || op.concluded {
		return nil
	}
	out := make([]slottable.Handle, len(op.steps))
	for i, at := range op.steps {
		if c.steps.Get(at) != nil {
			out[i] = at
		}
	}
	return out
}

// Release gives an operation up to another process, without a word to its owner.
// move gives up the connection at work on a step, and tells whether a byte of the
// step may have gone out; one that is not moved is called off here.
func (c *Core) Release(ref slottable.Handle, move func(try int, step slottable.Handle) (moved, begun bool)) OperationState {
	op := c.operations.Get(ref)
	state := OperationState{Operation: op.Operation, Arrived: op.arrived, Tries: op.attempts, Until: make([]time.Duration, len(op.attempts))}
	state.Operation.Owner = nil
	for i, at := range op.steps {
		s := c.steps.Get(at)
		if s == nil {
			continue
		}
		state.Until[i] = s.until
		if moved, begun := move(i, at); !moved {
			state.Tries[i].Out, state.Tries[i].MayHave = false, begun
			c.destinations.Abort(at)
		}
		c.timers.Cancel(s.deadline)
		c.steps.Remove(at)
		op.inFlight--
	}
	c.counts.Moved++
	c.finish(op)
	c.operations.Remove(ref)
	c.dispatch(balance.RequestEnded{Request: balance.RequestID(ref)})
	return state
}

// Adopt takes over an operation that another process has released, and returns its
// Ref and those of the steps that are out. Nothing becomes of it before Resume.
func (c *Core) Adopt(in OperationState, owner Owner) (slottable.Handle, []slottable.Handle) {
	in.Operation.Owner = owner
	ref := c.Accept(in.Operation)
	op := c.operations.Get(ref)
	op.arrived, op.attempts = in.Arrived, in.Tries
	op.steps = make([]slottable.Handle, len(in.Tries))
	for i, t := range in.Tries {
		if !t.Out {
			continue
		}
		s := &step{op: ref, number: i, to: t.Worker, sentAt: t.SentAt, until: in.Until[i]}
		at := c.steps.Add(s)
		s.deadline = c.timers.Add(s.until, func() { c.endStep(at, balance.TimedOut) })
		op.steps[i] = at
		op.inFlight++
	}
	return ref, op.steps
}

// Resume puts an adopted operation to the module.
func (c *Core) Resume(ref slottable.Handle) {
	if op := c.operations.Get(ref); op != nil {
		c.dispatch(balance.Adopted{Request: c.request(ref, op), Arrived: op.arrived, Attempts: op.attempts})
	}
}
