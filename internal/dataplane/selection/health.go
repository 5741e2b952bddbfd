package selection

import "time"

const (
	baseEjection   = 500 * time.Millisecond // doubled with each ejection in a row
	maxEjection    = 4 * time.Second
	slowStartCalls = 8               // calls at once above which slow start is over
	failureDecay   = 3 * time.Second // in which the weight of past failures falls by e
)

// failureWeights are the weights of failures; at a sum of 1 the worker is ejected.
var failureWeights = [...]float64{
	FailureConnect:   1,
	FailureBroken:    0.6,
	FailureTimeout:   1,
	FailureStatus:    0.2,
	FailureTransfer:  0, // counts against the pair, see pairPenalty
	FailureMisrouted: 1,
}

// health is the outlier ejection of one worker with exponential backoff: after an ejection it gets a
// single call, and with each success twice as many (slow start).
type health struct {
	failures       decayingCount
	ejectionLevel  int           // ejections since slow start was last completed
	ejectedUntil   time.Duration // instant up to which the worker is ejected
	slowStartLimit int           // calls at once during slow start; 0: not limited
	ejectedLocally bool          // ejected for failures of this node's own calls
}

// ejectedByOwnCalls reports whether the worker is ejected for failures of this node's own calls.
func (h *health) ejectedByOwnCalls(now time.Duration) bool {
	return h.ejectedLocally && now < h.ejectedUntil
}

// eject ejects the worker because other nodes report failures.
func (h *health) eject(until time.Duration) {
	h.ejectedUntil, h.slowStartLimit, h.ejectedLocally = until, 1, false
}

// available reports whether the worker, with that many calls in flight, may be sent another.
func (h *health) available(now time.Duration, calls int) bool {
	if now < h.ejectedUntil {
		return false
	}
	return h.slowStartLimit == 0 || calls < h.slowStartLimit
}

// recordFailure counts a failed call, and ejects the worker if there were too many. Failures during an
// ejection are ignored: those calls were sent before it.
func (h *health) recordFailure(now time.Duration, cause Failure) {
	weight := 1.
	if int(cause) < len(failureWeights) {
		weight = failureWeights[cause]
	}
	if weight == 0 || now < h.ejectedUntil {
		return
	}
	if h.slowStartLimit > 0 {
		weight = 1 // one failure during slow start is enough
	}
	h.failures = decayingCount{h.failures.valueAt(now, failureDecay) + weight, now}
	if h.failures.value < 1 {
		return
	}
	h.failures.value = 0
	if cause == FailureTimeout { // each probing call may cost a request a long wait
		h.ejectionLevel = max(h.ejectionLevel, 1)
	}
	h.ejectedUntil = now + min(baseEjection<<h.ejectionLevel, maxEjection)
	h.slowStartLimit, h.ejectedLocally = 1, true
	if cause != FailureMisrouted && baseEjection<<h.ejectionLevel < maxEjection {
		h.ejectionLevel++
	}
}

// recordSuccess counts a successful call.
func (h *health) recordSuccess() {
	h.failures.value /= 2
	if h.slowStartLimit == 0 {
		return
	}
	h.ejectedUntil = 0
	if h.slowStartLimit *= 2; h.slowStartLimit > slowStartCalls {
		h.slowStartLimit, h.ejectionLevel = 0, 0
	}
}
