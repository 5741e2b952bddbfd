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
	Most   float64       // slots at most
	Target time.Duration // queueing delay aimed at
}

const (
	initial     = 2.0
	least       = 1.0
	gain        = 1.0                    // slots that a window's worth of starts adds at most (RFC 6817: GAIN)
	smooth      = 0.125                  // weight of the newest wait
	baseSpan    = time.Minute            // one minimum is kept for each (RFC 6817: BASE_HISTORY)
	baseKept    = 10                     // of these
	calmAfter   = 500 * time.Millisecond // between two halvings at least
	staleFor    = 2 * time.Second        // a wait as old as this says nothing any more
	leastShut   = 50 * time.Millisecond
	mostDoubled = 5
	mostShut    = 2 * time.Second
	idleFor     = 5 * time.Second // a window unused for as long starts anew
)

// Window is a number of slots. It is for one goroutine.
type Window struct {
	config    Config
	size      float64
	used      float64
	opening   bool // growing with each start, until the first delay or loss
	mean      float64
	heardAt   time.Duration
	halvedAt  time.Duration
	usedAt    time.Duration
	base      [baseKept]time.Duration
	baseAt    time.Duration // the span of base[0]
	halvings  uint64
	refusals  int           // of ours since something of ours started
	shutUntil time.Duration // nothing is let through before
	limited   bool          // something has been turned away since the last start
}

// New makes a window.
func New(c Config) *Window {
	w := &Window{config: c, size: initial, opening: true, baseAt: -1, halvedAt: -calmAfter}
	for i := range w.base {
		w.base[i] = math.MaxInt64
	}
	w.bound()
	return w
}

// Reconfigure changes the window's bounds while it is in use.
func (w *Window) Reconfigure(c Config) {
	w.config = c
	w.bound()
}

// Take takes slots for a job, and tells whether there were any. Whatever its
// size, a job may go while no other is in.
func (w *Window) Take(now time.Duration, slots float64) bool {
	if w.used == 0 && now-w.usedAt > idleFor && w.usedAt > 0 {
		// What was learnt is old: others have been at work since (RFC 2861's reason).
		w.size, w.opening = min(w.size, initial), true
		w.bound()
	}
	if now < w.shutUntil {
		return false
	}
	if w.used > 0 && w.used+slots > w.size {
		w.limited = true
		return false
	}
	w.used += slots
	w.usedAt = now
	return true
}

// Give gives a job's slots back.
func (w *Window) Give(now time.Duration, slots float64) {
	w.used = max(0, w.used-slots)
	if w.used < 1e-9 {
		w.used = 0
	}
	w.usedAt = now
}

// Started tells how long an operation of either front waited for its start.
func (w *Window) Started(now, wait time.Duration, ours bool) {
	base := w.lowest(now, wait)
	if now-w.heardAt > staleFor {
		w.mean = 0
	}
	w.heardAt = now
	delay := float64(wait - base)
	w.mean += smooth * (delay - w.mean)
	target := float64(w.config.Target)
	off := min(1, max(-1, (target-w.mean)/target))
	switch {
	case off <= 0:
		w.opening = false
		w.size += gain * off / w.size
	case !ours || !w.limited:
		// Who does not fill the window has not shown that it may be larger.
	case w.opening && w.mean < target/2:
		w.size++ // doubles with a window's worth of starts
	default:
		w.opening = false
		w.size += gain * off / w.size
	}
	if ours {
		w.limited, w.refusals = false, 0
	}
	w.bound()
}

// lowest notes a wait and returns the least of the last minutes.
func (w *Window) lowest(now, wait time.Duration) time.Duration {
	span := now / baseSpan
	if w.baseAt < 0 {
		w.baseAt = span
	}
	for ; w.baseAt < span; w.baseAt++ {
		if span-w.baseAt > baseKept {
			w.baseAt = span - baseKept
		}
		copy(w.base[1:], w.base[:baseKept-1])
		w.base[0] = math.MaxInt64
	}
	w.base[0] = min(w.base[0], wait)
	low := w.base[0]
	for _, b := range w.base[1:] {
		low = min(low, b)
	}
	return low
}

// Refused tells that the core refused an operation of ours, with its advice when
// to return. The advice holds for all that wait: were it heeded by that job alone,
// the next would knock in its place, and so through the whole backlog. It doubles
// with each refusal until something of ours starts again.
func (w *Window) Refused(now, advice time.Duration) {
	pause := max(advice, leastShut<<min(w.refusals, mostDoubled))
	w.refusals++
	w.shutUntil = max(w.shutUntil, now+min(pause, mostShut))
}

// Shut tells until when nothing is let through, whatever room there is.
func (w *Window) Shut(now time.Duration) (until time.Duration, shut bool) {
	return w.shutUntil, now < w.shutUntil
}

// Lost tells that the core refused or failed an operation of either front.
func (w *Window) Lost(now time.Duration) {
	w.opening = false
	if now-w.halvedAt < calmAfter {
		return
	}
	w.halvedAt = now
	w.halvings++
	w.size /= 2
	w.bound()
}

func (w *Window) bound() { w.size = min(max(w.size, least), max(w.config.Most, least)) }

// State is the window as it is shown.
type State struct {
	Size     float64 `json:"slots"`
	Used     float64 `json:"used"`
	Delay    float64 `json:"queueingDelay"` // seconds, mean
	Halvings uint64  `json:"halvings"`
}

// State returns the window's state.
func (w *Window) State() State {
	return State{Size: w.size, Used: w.used, Delay: time.Duration(w.mean).Seconds(), Halvings: w.halvings}
}
