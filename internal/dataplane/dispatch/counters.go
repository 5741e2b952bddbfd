package dispatch

import "sync/atomic"

// counters holds the atomic counters behind Counts.
type counters struct {
	requests, unrouted, rejected, failed, aborted, canceled atomic.Int64
	prefills, runs, retries, resumed                        atomic.Int64
	handlesFreed, handlesDropped                            atomic.Int64
	discarded                                               discardCounters
}

// read returns the current values. Each counter is read separately, so they are not a consistent snapshot.
func (c *counters) read() Counts {
	return Counts{
		Requests:       c.requests.Load(),
		Unrouted:       c.unrouted.Load(),
		Rejected:       c.rejected.Load(),
		Failed:         c.failed.Load(),
		Aborted:        c.aborted.Load(),
		Canceled:       c.canceled.Load(),
		Prefills:       c.prefills.Load(),
		Runs:           c.runs.Load(),
		Retries:        c.retries.Load(),
		Resumed:        c.resumed.Load(),
		HandlesFreed:   c.handlesFreed.Load(),
		HandlesDropped: c.handlesDropped.Load(),
		Discarded:      c.discarded.read(),
	}
}
