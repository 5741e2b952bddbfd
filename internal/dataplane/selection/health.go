package selection

import "time"

const (
	baseEjection   = 500 * time.Millisecond // duration of the first ejection, doubled with each consecutive one
	maxEjection    = 4 * time.Second
	slowStartCalls = 8               // limit of concurrent calls above which slow start ends
	failureDecay   = 3 * time.Second // time constant in which the weight of past failures decays by a factor of e
)

// failureWeights are the weights of failures. A worker is ejected when the decayed sum reaches 1.
var failureWeights = [...]float64{
	FailureConnect:   1,
	FailureBroken:    0.6,
	FailureTimeout:   1,
	FailureStatus:    0.2,
	FailureTransfer:  0, // counts against the pair of workers, see pairPenalty
	FailureMisrouted: 1,
}

// health is the state of a worker's outlier ejection. Consecutive ejections back off exponentially. An
// ejection is followed by slow start: the worker gets one call at a time, and each success doubles this
// limit.
type health struct {
	failures       decayingCount
	ejectionLevel  int           // exponent of the backoff; reset when slow start completes
	ejectedUntil   time.Duration // end of the current or last ejection
	slowStartLimit int           // limit of concurrent calls during slow start; 0: not in slow start
	ejectedLocally bool          // the ejection is due to failures of this node's own calls
}

// ejectedByOwnCalls reports whether the worker is ejected due to failures of this node's own calls.
func (h *health) ejectedByOwnCalls(now time.Duration) bool {
	return h.ejectedLocally && now < h.ejectedUntil
}

// ejectByPeers ejects the worker because other nodes report it.
func (h *health) ejectByPeers(until time.Duration) {
	h.ejectedUntil, h.slowStartLimit, h.ejectedLocally = until, 1, false
}

// available reports whether the worker may be sent another call, with the given number of calls in flight.
func (h *health) available(now time.Duration, calls int) bool {
	if now < h.ejectedUntil {
		return false
	}
	return h.slowStartLimit == 0 || calls < h.slowStartLimit
}

// recordFailure adds a failed call and ejects the worker if the sum of weights reaches 1. Failures during
// an ejection are ignored, as these calls were sent before it.
func (h *health) recordFailure(now time.Duration, cause Failure) {
	weight := 1.
	if int(cause) < len(failureWeights) {
		weight = failureWeights[cause]
	}
	if weight == 0 || now < h.ejectedUntil {
		return
	}
	if h.slowStartLimit > 0 {
		weight = 1 // during slow start, one failure ejects the worker again
	}
	h.failures = decayingCount{h.failures.valueAt(now, failureDecay) + weight, now}
	if h.failures.value < 1 {
		return
	}
	h.failures.value = 0
	if cause == FailureTimeout { // start with a longer ejection: a probing call may delay its request by a full timeout
		h.ejectionLevel = max(h.ejectionLevel, 1)
	}
	h.ejectedUntil = now + min(baseEjection<<h.ejectionLevel, maxEjection)
	h.slowStartLimit, h.ejectedLocally = 1, true
	if cause != FailureMisrouted && baseEjection<<h.ejectionLevel < maxEjection {
		h.ejectionLevel++
	}
}

// recordSuccess adds a successful call: it halves the sum of failures and advances slow start.
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
