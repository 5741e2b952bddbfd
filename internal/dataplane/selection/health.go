package selection

import "time"

const (
	firstShun   = 500 * time.Millisecond
	longestShun = 4 * time.Second
	rampDone    = 8 // calls at once from which a worker that came back counts as well
	strikeLife  = 3 * time.Second
)

// weights of failures: at 1 the worker is shunned.
var failureWeight = [...]float64{
	FailureConnect:   1,
	FailureBroken:    0.6,
	FailureSilence:   1,
	FailureStatus:    0.2,
	FailureHandover:  0, // counts against the pair
	FailureMisrouted: 1,
}

// health is whether a worker may be sent to, judged by the outcomes of this node's calls alone.
type health struct {
	strikes strikes
	level   int           // times that it was shunned without serving well since
	until   time.Duration // shunned up to then
	ramp    int           // calls at once while it comes back; 0: as many as may be
	own     bool          // it is shunned for calls of this node's own
}

// failing tells whether the worker is shunned for what this node has found itself.
func (h *health) failing(now time.Duration) bool { return h.own && now < h.until }

// setAside shuns the worker for what other nodes have found.
func (h *health) setAside(until time.Duration) {
	h.until, h.ramp, h.own = until, 1, false
}

// available tells whether a worker with so many calls may be sent another.
func (h *health) available(now time.Duration, calls int) bool {
	if now < h.until {
		return false
	}
	return h.ramp == 0 || calls < h.ramp
}

// fail takes in a failure.
func (h *health) fail(now time.Duration, cause Failure) {
	weight := 1.
	if int(cause) < len(failureWeight) {
		weight = failureWeight[cause]
	}
	if weight == 0 || now < h.until { // what was sent before fails together
		return
	}
	if h.ramp > 0 {
		weight = 1 // a trial has failed
	}
	h.strikes = strikes{h.strikes.now(now, strikeLife) + weight, now}
	if h.strikes.count < 1 {
		return
	}
	h.strikes.count = 0
	if cause == FailureSilence { // each trial may cost a request, and a long wait
		h.level = max(h.level, 1)
	}
	h.until = now + min(firstShun<<h.level, longestShun)
	h.ramp, h.own = 1, true
	if cause != FailureMisrouted && firstShun<<h.level < longestShun {
		h.level++
	}
}

// succeed takes in an answer.
func (h *health) succeed() {
	h.strikes.count /= 2
	if h.ramp == 0 {
		return
	}
	h.until = 0
	if h.ramp *= 2; h.ramp > rampDone {
		h.ramp, h.level = 0, 0
	}
}
