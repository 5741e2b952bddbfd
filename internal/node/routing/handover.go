package routing

import (
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/slottable"
)

// Carried is an operation on its way from one process of the node to another, with
// all its route steps, in order.
type Carried struct {
	Operation Operation // without its owner
	Arrived   time.Duration
	Tries     []balance.PriorAttempt
	Until     []time.Duration // by try, where it is out
}

// Learned returns what the module has learned, for another process.
func (c *Core) Learned() []uint64 { return c.decide.ExportState() }

// Recall has the module take up what it has learned in another process.
func (c *Core) Recall(row []uint64) error { return c.decide.ImportState(c.clock.Now(), row) }

// Out returns the route steps of an operation that are out at destinations, by the
// number of the try; the zero Ref stands for one that is not.
func (c *Core) Out(ref slottable.Handle) []slottable.Handle {
	op := c.ops.Get(ref)
	if op == nil || op.over {
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
func (c *Core) Release(ref slottable.Handle, move func(try int, step slottable.Handle) (moved, begun bool)) Carried {
	op := c.ops.Get(ref)
	carried := Carried{Operation: op.Operation, Arrived: op.arrived, Tries: op.tries, Until: make([]time.Duration, len(op.tries))}
	carried.Operation.Owner = nil
	for i, at := range op.steps {
		s := c.steps.Get(at)
		if s == nil {
			continue
		}
		carried.Until[i] = s.until
		if moved, begun := move(i, at); !moved {
			carried.Tries[i].Out, carried.Tries[i].MayHave = false, begun
			c.to.Abort(at)
		}
		c.timers.Cancel(s.deadline)
		c.steps.Remove(at)
		op.out--
	}
	c.counts.Moved++
	c.finish(op)
	c.ops.Remove(ref)
	c.dispatch(balance.RequestEnded{Request: balance.RequestID(ref)})
	return carried
}

// Adopt takes over an operation that another process has released, and returns its
// Ref and those of the steps that are out. Nothing becomes of it before Resume.
func (c *Core) Adopt(in Carried, owner Owner) (slottable.Handle, []slottable.Handle) {
	in.Operation.Owner = owner
	ref := c.Take(in.Operation)
	op := c.ops.Get(ref)
	op.arrived, op.tries = in.Arrived, in.Tries
	op.steps = make([]slottable.Handle, len(in.Tries))
	for i, t := range in.Tries {
		if !t.Out {
			continue
		}
		s := &step{op: ref, number: i, to: t.Worker, sentAt: t.SentAt, until: in.Until[i]}
		at := c.steps.Add(s)
		s.deadline = c.timers.Add(s.until, func() { c.stop(at, balance.TimedOut) })
		op.steps[i] = at
		op.out++
	}
	return ref, op.steps
}

// Resume puts an adopted operation to the module.
func (c *Core) Resume(ref slottable.Handle) {
	if op := c.ops.Get(ref); op != nil {
		c.dispatch(balance.Adopted{Request: c.request(ref, op), Arrived: op.arrived, Attempts: op.tries})
	}
}
