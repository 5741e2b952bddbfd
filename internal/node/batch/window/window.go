// Package window limits the batch jobs in the core at once, so that a backlog of batch jobs uses
// the capacity that the platform's requests leave, and yields as soon as they are delayed. It
// does no I/O and takes the clock as an argument. Package jobs uses it.
//
// It is LEDBAT (RFC 6817), congestion control for background transfers: the window grows while
// the measured queueing delay is under a target, shrinks in proportion above it, and is halved by
// a loss, at most once per minHalvingInterval. The delay measured here is the time from the
// sending of a step to its start at the destination, of both fronts' operations; the base delay
// is its minimum over the last minutes; a loss is an operation of either front that the core
// refused or failed. docs/design compares it with other algorithms.
package window

import (
	"math"
	"time"
)

// Config configures a window.
type Config struct {
	MaxSlots    float64
	DelayTarget time.Duration // target of the queueing delay
}

const (
	initialSlots       = 2.0
	minSlots           = 1.0
	gain               = 1.0         // slots that a window of starts adds at most (RFC 6817: GAIN)
	smoothing          = 0.125       // weight of the newest delay in the mean
	baseInterval       = time.Minute // one minimum is kept for each (RFC 6817: BASE_HISTORY)
	baseHistory        = 10          // of the minima
	minHalvingInterval = 500 * time.Millisecond
	staleAfter         = 2 * time.Second // a mean without a new delay for longer is dropped
	minPause           = 50 * time.Millisecond
	maxDoublings       = 5
	maxPause           = 2 * time.Second
	idleResetTime      = 5 * time.Second // a window unused for longer starts again
)

// Window is the adaptive number of slots. It is not safe for concurrent use.
type Window struct {
	config      Config
	size        float64
	used        float64
	slowStart   bool // grows by one with each start, until the first delay or loss
	meanDelay   float64
	lastStartAt time.Duration
	halvedAt    time.Duration
	lastUsedAt  time.Duration
	baseDelays  [baseHistory]time.Duration
	baseIndex   time.Duration // the span of base[0]
	halvings    uint64
	rejections  int           // of batch jobs since the last start of one
	pausedUntil time.Duration // no slots are given out before
	limited     bool          // Acquire has failed since the last start: the window is full
}

// New returns a window of its initial size.
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

// Acquire takes slots for a job. It returns false if there are not enough. A job of any size gets
// its slots while no other has any.
func (w *Window) Acquire(now time.Duration, slots float64) bool {
	if w.used == 0 && now-w.lastUsedAt > idleResetTime && w.lastUsedAt > 0 {
		// The size is outdated: others have used the capacity since (as in RFC 2861).
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

// Release returns a job's slots.
func (w *Window) Release(now time.Duration, slots float64) {
	w.used = max(0, w.used-slots)
	if w.used < 1e-9 {
		w.used = 0
	}
	w.lastUsedAt = now
}

// ObserveStart takes the time that an operation of either front waited for its start; own is a
// batch job's. It adapts the window.
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
		// A window that is not full gives no evidence that it may be larger.
	case w.slowStart && w.meanDelay < target/2:
		w.size++ // doubles with a window of starts
	default:
		w.slowStart = false
		w.size += gain * offset / w.size
	}
	if own {
		w.limited, w.rejections = false, 0
	}
	w.clamp()
}

// baseDelay records a wait and returns the minimum of the last minutes.
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

// ObserveRejection takes a refusal of a batch job by the core, with its advice when to retry. The
// window pauses for all jobs: else the next one would be refused in its place, and so on through
// the backlog. The pause doubles with each refusal until a batch job starts again.
func (w *Window) ObserveRejection(now, advice time.Duration) {
	pause := max(advice, minPause<<min(w.rejections, maxDoublings))
	w.rejections++
	w.pausedUntil = max(w.pausedUntil, now+min(pause, maxPause))
}

// Paused reports whether the window is paused, and until when.
func (w *Window) Paused(now time.Duration) (until time.Duration, shut bool) {
	return w.pausedUntil, now < w.pausedUntil
}

// ObserveLoss takes a refused or failed operation of either front. It halves the window.
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

// clamp keeps the size within its bounds.
func (w *Window) clamp() { w.size = min(max(w.size, minSlots), max(w.config.MaxSlots, minSlots)) }

// State is the window's state as the administration shows it.
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
