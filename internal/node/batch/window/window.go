// Package window limits how much of the batch front's work is in the core at
// once, so that a backlog of batch jobs takes up what the platform's requests
// leave and gives way as soon as they feel it. It does no I/O and takes the
// clock as an argument.
//
// The law is LEDBAT's (RFC 6817), the congestion control of transfers that are
// to use what is left over: the window grows while the measured queueing delay
// is under a target and shrinks in proportion once it is over, and a loss
// halves it at most once in a round trip. What is measured here is the time from
// a step's sending to the start that its destination tells of, of both fronts'
// operations alike; the base delay is its least over the last minutes; a loss is
// an operation of either front that the core refused or failed. docs/design
// names the laws weighed against it.
package window

import (
	"math"
	"time"
)

// Config is what the window is told.
type Config struct {
	MaxSlots    float64       // slots at most
	DelayTarget time.Duration // queueing delay aimed at
}

const (
	initialSlots       = 2.0
	minSlots           = 1.0
	gain               = 1.0                    // slots that a window's worth of starts adds at most (RFC 6817: GAIN)
	smoothing          = 0.125                  // weight of the newest wait
	baseInterval       = time.Minute            // one minimum is kept for each (RFC 6817: BASE_HISTORY)
	baseHistory        = 10                     // of these
	minHalvingInterval = 500 * time.Millisecond // between two halvings at least
	staleAfter         = 2 * time.Second        // a wait as old as this says nothing any more
	minPause           = 50 * time.Millisecond
	maxDoublings       = 5
	maxPause           = 2 * time.Second
	idleResetTime      = 5 * time.Second // a window unused for as long starts anew
)

// Window is a number of slots. It is for one goroutine.
type Window struct {
	config      Config
	size        float64
	used        float64
	slowStart   bool // growing with each start, until the first delay or loss
	meanDelay   float64
	lastStartAt time.Duration
	halvedAt    time.Duration
	lastUsedAt  time.Duration
	baseDelays  [baseHistory]time.Duration
	baseIndex   time.Duration // the span of base[0]
	halvings    uint64
	rejections  int           // of ours since something of ours started
	pausedUntil time.Duration // nothing is let through before
	limited     bool          // something has been turned away since the last start
}

// New makes a window.
func New(c Config) *Window {
	w := &Window{config: c, size: initialSlots, slowStart: true, baseIndex: -1, halvedAt: -minHalvingInterval}
	for i := range w.baseDelays {
		w.baseDelays[i] = math.MaxInt64
	}
	w.clamp()
	return w
}

// Reconfigure changes the window's bounds while it is in use.
func (w *Window) Reconfigure(c Config) {
	w.config = c
	w.clamp()
}

// Acquire takes slots for a job, and tells whether there were any. Whatever its
// size, a job may go while no other is in.
func (w *Window) Acquire(now time.Duration, slots float64) bool {
	if w.used == 0 && now-w.lastUsedAt > idleResetTime && w.lastUsedAt > 0 {
		// What was learnt is old: others have been at work since (RFC 2861's reason).
		w.size, w.slowStart = min(w.size, initialSlots), true
		w.clamp()
	}
	if now < w.pausedUntil {
		return false
	}
	if w.used > 0 && w.used+slots > w.size {
		w.limited = true
		return false
	}
	w.used += slots
	w.lastUsedAt = now
	return true
}

// Release gives a job's slots back.
func (w *Window) Release(now time.Duration, slots float64) {
	w.used = max(0, w.used-slots)
	if w.used < 1e-9 {
		w.used = 0
	}
	w.lastUsedAt = now
}

// ObserveStart tells how long an operation of either front waited for its start.
func (w *Window) ObserveStart(now, wait time.Duration, own bool) {
	base := w.baseDelay(now, wait)
	if now-w.lastStartAt > staleAfter {
		w.meanDelay = 0
	}
	w.lastStartAt = now
	delay := float64(wait - base)
	w.meanDelay += smoothing * (delay - w.meanDelay)
	target := float64(w.config.DelayTarget)
	offset := min(1, max(-1, (target-w.meanDelay)/target))
	switch {
	case offset <= 0:
		w.slowStart = false
		w.size += gain * offset / w.size
	case !own || !w.limited:
		// Who does not fill the window has not shown that it may be larger.
	case w.slowStart && w.meanDelay < target/2:
		w.size++ // doubles with a window's worth of starts
	default:
		w.slowStart = false
		w.size += gain * offset / w.size
	}
	if own {
		w.limited, w.rejections = false, 0
	}
	w.clamp()
}

// baseDelay notes a wait and returns the least of the last minutes.
func (w *Window) baseDelay(now, wait time.Duration) time.Duration {
	span := now / baseInterval
	if w.baseIndex < 0 {
		w.baseIndex = span
	}
	for ; w.baseIndex < span; w.baseIndex++ {
		if span-w.baseIndex > baseHistory {
			w.baseIndex = span - baseHistory
		}
		copy(w.baseDelays[1:], w.baseDelays[:baseHistory-1])
		w.baseDelays[0] = math.MaxInt64
	}
	w.baseDelays[0] = min(w.baseDelays[0], wait)
	low := w.baseDelays[0]
	for _, b := range w.baseDelays[1:] {
		low = min(low, b)
	}
	return low
}

// ObserveRejection tells that the core refused an operation of ours, with its advice when
// to return. The advice holds for all that wait: were it heeded by that job alone,
// the next would knock in its place, and so through the whole backlog. It doubles
// with each refusal until something of ours starts again.
func (w *Window) ObserveRejection(now, advice time.Duration) {
	pause := max(advice, minPause<<min(w.rejections, maxDoublings))
	w.rejections++
	w.pausedUntil = max(w.pausedUntil, now+min(pause, maxPause))
}

// Paused tells until when nothing is let through, whatever room there is.
func (w *Window) Paused(now time.Duration) (until time.Duration, shut bool) {
	return w.pausedUntil, now < w.pausedUntil
}

// ObserveLoss tells that the core refused or failed an operation of either front.
func (w *Window) ObserveLoss(now time.Duration) {
	w.slowStart = false
	if now-w.halvedAt < minHalvingInterval {
		return
	}
	w.halvedAt = now
	w.halvings++
	w.size /= 2
	w.clamp()
}

func (w *Window) clamp() { w.size = min(max(w.size, minSlots), max(w.config.MaxSlots, minSlots)) }

// State is the window as it is shown.
type State struct {
	Size     float64 `json:"slots"`
	Used     float64 `json:"used"`
	Delay    float64 `json:"queueingDelay"` // seconds, mean
	Halvings uint64  `json:"halvings"`
}

// State returns the window's state.
func (w *Window) State() State {
	return State{Size: w.size, Used: w.used, Delay: time.Duration(w.meanDelay).Seconds(), Halvings: w.halvings}
}
