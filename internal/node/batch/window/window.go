// Package window limits how many slots batch jobs use in the core at the same time. A backlog of batch
// jobs thereby uses the capacity that the platform's requests leave, and yields as soon as these are
// delayed. The package does no I/O and takes the current time as an argument. Package jobs uses it.
//
// The algorithm is LEDBAT (RFC 6817), a congestion control for background transfers: the window grows
// while the measured queueing delay is below a target, shrinks in proportion to the excess above it,
// and is halved after a loss, at most once per minHalvingInterval. The delay is the time from the
// sending of a step to its start at the destination, measured for platform requests and batch jobs
// alike. The base delay is its minimum over the last minutes. A loss is a platform request or a batch
// job that the core rejected or that failed. docs/design compares LEDBAT with other algorithms.
package window

import (
	"math"
	"time"
)

// Config configures a window.
type Config struct {
	MaxSlots    float64       // maximum size of the window
	DelayTarget time.Duration // target for the queueing delay
}

const (
	initialSlots       = 2.0
	minSlots           = 1.0
	gain               = 1.0         // maximum growth in slots per window of starts (RFC 6817: GAIN)
	smoothing          = 0.125       // weight of the newest delay in the moving average
	baseInterval       = time.Minute // one minimum delay is kept for each interval (RFC 6817: BASE_HISTORY)
	baseHistoryLength  = 10          // number of minima kept
	minHalvingInterval = 500 * time.Millisecond
	staleAfter         = 2 * time.Second       // the mean delay is reset after this time without a new measurement
	initialPause       = 50 * time.Millisecond // after the first rejection
	maxDoublings       = 5                     // of the pause, by further rejections
	maxPause           = 2 * time.Second
	idleResetAfter     = 5 * time.Second // a window unused for longer returns to its initial size
)

// Window is the adaptive limit on the slots in use. It is not safe for concurrent use.
type Window struct {
	config         Config
	size           float64
	used           float64
	slowStart      bool // the size grows by one with each start, until the first delay or loss
	meanDelay      float64
	lastStartAt    time.Duration
	halvedAt       time.Duration
	lastUsedAt     time.Duration
	baseDelays     [baseHistoryLength]time.Duration
	newestInterval time.Duration // number of the interval of baseDelays[0]; -1: none yet
	halvings       uint64
	rejections     int           // of batch jobs, since the last start of a batch job
	pausedUntil    time.Duration // Acquire fails until then
	wasFull        bool          // Acquire has found the window full since the last start of a batch job
}

// New returns a window of the initial size.
func New(c Config) *Window {
	w := &Window{config: c, size: initialSlots, slowStart: true, newestInterval: -1, halvedAt: -minHalvingInterval}
	for i := range w.baseDelays {
		w.baseDelays[i] = math.MaxInt64
	}
	w.clamp()
	return w
}

// Reconfigure replaces the configuration while the window is in use.
func (w *Window) Reconfigure(c Config) {
	w.config = c
	w.clamp()
}

// Acquire takes slots for a job, and returns false if there are not enough or the window is paused. While
// no slots are in use, a job of any size gets its slots.
func (w *Window) Acquire(now time.Duration, slots float64) bool {
	if w.used == 0 && now-w.lastUsedAt > idleResetAfter && w.lastUsedAt > 0 {
		// The size is outdated, as other traffic may have used the capacity since (compare RFC 2861).
		w.size, w.slowStart = min(w.size, initialSlots), true
		w.clamp()
	}
	if now < w.pausedUntil {
		return false
	}
	if w.used > 0 && w.used+slots > w.size {
		w.wasFull = true
		return false
	}
	w.used += slots
	w.lastUsedAt = now
	return true
}

// Release returns the slots of a job.
func (w *Window) Release(now time.Duration, slots float64) {
	w.used = max(0, w.used-slots)
	if w.used < 1e-9 {
		w.used = 0
	}
	w.lastUsedAt = now
}

// ObserveStart adapts the size to the time that an operation waited for its start. batch is true for a
// batch job and false for a platform request.
func (w *Window) ObserveStart(now, wait time.Duration, batch bool) {
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
	case !batch || !w.wasFull:
		// A window that is not full gives no evidence that it could be larger.
	case w.slowStart && w.meanDelay < target/2:
		w.size++ // the size doubles with each window of starts
	default:
		w.slowStart = false
		w.size += gain * offset / w.size
	}
	if batch {
		w.wasFull, w.rejections = false, 0
	}
	w.clamp()
}

// baseDelay records a wait and returns the minimum over the last baseHistoryLength intervals.
func (w *Window) baseDelay(now, wait time.Duration) time.Duration {
	interval := now / baseInterval
	if w.newestInterval < 0 {
		w.newestInterval = interval
	}
	for ; w.newestInterval < interval; w.newestInterval++ {
		if interval-w.newestInterval > baseHistoryLength {
			w.newestInterval = interval - baseHistoryLength
		}
		copy(w.baseDelays[1:], w.baseDelays[:baseHistoryLength-1])
		w.baseDelays[0] = math.MaxInt64
	}
	w.baseDelays[0] = min(w.baseDelays[0], wait)
	minimum := w.baseDelays[0]
	for _, b := range w.baseDelays[1:] {
		minimum = min(minimum, b)
	}
	return minimum
}

// ObserveRejection pauses the window after the core has rejected a batch job. advice is the time after
// which the core advises a retry. The pause applies to all jobs: otherwise the next one would be rejected
// too, and so on through the backlog. It doubles with each rejection until a batch job starts again.
func (w *Window) ObserveRejection(now, advice time.Duration) {
	pause := max(advice, initialPause<<min(w.rejections, maxDoublings))
	w.rejections++
	w.pausedUntil = max(w.pausedUntil, now+min(pause, maxPause))
}

// Paused reports whether the window is paused and until when.
func (w *Window) Paused(now time.Duration) (until time.Duration, paused bool) {
	return w.pausedUntil, now < w.pausedUntil
}

// ObserveLoss halves the window after a platform request or a batch job was rejected or failed.
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

// clamp limits the size to the range from minSlots to the configured maximum.
func (w *Window) clamp() { w.size = min(max(w.size, minSlots), max(w.config.MaxSlots, minSlots)) }

// State is the state of the window, as the administration API shows it.
type State struct {
	Size     float64 `json:"slots"`
	Used     float64 `json:"used"`
	Delay    float64 `json:"queueingDelay"` // mean in seconds
	Halvings uint64  `json:"halvings"`
}

// State returns the current state.
func (w *Window) State() State {
	return State{Size: w.size, Used: w.used, Delay: time.Duration(w.meanDelay).Seconds(), Halvings: w.halvings}
}
