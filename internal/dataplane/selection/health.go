package selection

import "time"

const (
	baseEjection   = 500 * time.Millisecond
	maxEjection    = 4 * time.Second
	slowStartCalls = 8 // calls at once from which a worker that came back counts as well
	failureDecay   = 3 * time.Second
)

// weights of failures: at 1 the worker is shunned.
var failureWeights = [...]float64{
	FailureConnect:   1,
	FailureBroken:    0.6,
	FailureTimeout:   1,
	FailureStatus:    0.2,
	FailureTransfer:  0, // counts against the pair
	FailureMisrouted: 1,
}

// health is whether a worker may be sent to, judged by the outcomes of this node's calls alone.
type health struct {
	failures       decayingCount
	ejectionLevel  int           // times that it was shunned without serving well since
	ejectedUntil   time.Duration // shunned up to then
	slowStartLimit int           // calls at once while it comes back; 0: as many as may be
	ejectedLocally bool          // it is shunned for calls of this node's own
}

// failing tells whether the worker is shunned for what this node has found itself.
func (h *health) failing(now time.Duration) bool { return h.ejectedLocally && now < h.ejectedUntil }

// eject shuns the worker for what other nodes have found.
func (h *health) eject(until time.Duration) {
	h.ejectedUntil, h.slowStartLimit, h.ejectedLocally = until, 1, false
}

// available tells whether a worker with so many calls may be sent another.
func (h *health) available(now time.Duration, calls int) bool {
	if now < h.ejectedUntil {
		return false
	}
	return h.slowStartLimit == 0 || calls < h.slowStartLimit
}

// recordFailure takes in a failure.
func (h *health) recordFailure(now time.Duration, cause Failure) {
	weight := 1.
	if int(cause) < len(failureWeights) {
		weight = failureWeights[cause]
	}
	if weight == 0 || now < h.ejectedUntil { // what was sent before fails together
		return
	}
	if h.slowStartLimit > 0 {
		weight = 1 // a trial has failed
	}
	h.failures = decayingCount{h.failures.valueAt(now, failureDecay) + weight, now}
	if h.failures.value < 1 {
		return
	}
	h.failures.value = 0
	if cause == FailureTimeout { // each trial may cost a request, and a long wait
		h.ejectionLevel = max(h.ejectionLevel, 1)
	}
	h.ejectedUntil = now + min(baseEjection<<h.ejectionLevel, maxEjection)
	h.slowStartLimit, h.ejectedLocally = 1, true
	if cause != FailureMisrouted && baseEjection<<h.ejectionLevel < maxEjection {
		h.ejectionLevel++
	}
}

// recordSuccess takes in an answer.
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
