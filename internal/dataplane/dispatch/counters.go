package dispatch

import "sync/atomic"

// counters are the figures behind Counts.
type counters struct {
	requests, unrouted, refused, failed, broken, left atomic.Int64
	prefills, runs, repeats, resumed                  atomic.Int64
	handlesFreed, handlesDropped                      atomic.Int64
}

func (c *counters) read() Counts {
	return Counts{
		Requests:       c.requests.Load(),
		Unrouted:       c.unrouted.Load(),
		Refused:        c.refused.Load(),
		Failed:         c.failed.Load(),
		Broken:         c.broken.Load(),
		Left:           c.left.Load(),
		Prefills:       c.prefills.Load(),
		Runs:           c.runs.Load(),
		Repeats:        c.repeats.Load(),
		Resumed:        c.resumed.Load(),
		HandlesFreed:   c.handlesFreed.Load(),
		HandlesDropped: c.handlesDropped.Load(),
	}
}
