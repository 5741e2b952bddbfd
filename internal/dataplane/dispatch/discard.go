package dispatch

import "sync/atomic"

// DiscardReason is why a worker's complete or partial response did not reach the client. A request that fails after such a discard
// counts as a failure of the proxy.
type DiscardReason int

// Reasons to discard a response.
const (
	DiscardInvalid    DiscardReason = iota // it has a Content-Encoding, belongs to another request, or is a success without a signature
	DiscardStatus                          // its status is a server error, or states that the request was not executed
	DiscardMidStream                       // it is complete, but part of an earlier run's stream has already been sent
	DiscardUnordered                       // an event of a resumed stream cannot be ordered relative to those already sent
	DiscardSlow                            // its run exceeded the idle timeout and was canceled in favor of another run
	DiscardDeadline                        // the request's deadline passed before it was complete
	DiscardBroken                          // the worker or its connection failed before it was complete
	NumDiscardReasons                      // the number of reasons
)

// discardLabels are the values of the metric label, by reason.
var discardLabels = [NumDiscardReasons]string{"invalid", "status", "mid_stream", "unordered", "slow", "deadline", "broken"}

// String returns the reason's metric label value.
func (r DiscardReason) String() string { return discardLabels[r] }

// discardCounters counts discarded responses by reason.
type discardCounters [NumDiscardReasons]atomic.Int64

// read returns the current values.
func (c *discardCounters) read() (counts [NumDiscardReasons]int64) {
	for reason := range c {
		counts[reason] = c[reason].Load()
	}
	return counts
}

// discard counts a response that is not forwarded to the client.
func (r *clientRequest) discard(reason DiscardReason) {
	r.dispatcher.counts.discarded[reason].Add(1)
	r.trace.discarded = append(r.trace.discarded, reason)
}

// discardIncomplete counts a run that ended before its response was complete, unless its client has disconnected.
func (r *clientRequest) discardIncomplete(watcher *idleWatcher, unordered bool) {
	switch {
	case r.clientDisconnected():
	case unordered:
		r.discard(DiscardUnordered)
	case r.ctx.Err() != nil:
		r.discard(DiscardDeadline)
	case watcher.timedOut():
		r.discard(DiscardSlow)
	default:
		r.discard(DiscardBroken)
	}
}
