package selection

import (
	"math"
	"time"
)

const (
	toldLife    = 1500 * time.Millisecond // in which what a worker told of others falls by e towards the mean
	toldMemory  = 64.                     // answers over which the mean load by others forgets
	fullLife    = 400 * time.Millisecond  // for which a worker that turned a call away counts as full
	lateFactor  = 3.                      // a call this many times overdue means that its worker stands still
	lateSlack   = 0.05                    // seconds that any call may be late
	leastRemain = 0.15                    // part of a call's work that remains until it is answered
)

// told is the load at a worker that is not this node's, by the worker's latest answer.
type told struct {
	at               time.Duration
	running, waiting float64
	slots            float64 // 0: not told
	known            bool
	fullUntil        time.Duration
}

// hear takes in the load that an answer told, at the instant when it was told.
func (s *service) hear(at time.Duration, w *worker, load *Load, except *Call) {
	if load == nil || load.Running < 0 || load.Waiting < 0 {
		return
	}
	waiting, running := w.own()
	if except != nil && except.begun {
		running--
	} else if except != nil {
		waiting--
	}
	t := &w.told
	t.running = max(0, float64(load.Running)-running)
	t.waiting = max(0, float64(load.Waiting)-waiting)
	if w.class == classPrefill { // its requests run as soon as they are being read
		t.running, t.waiting = 0, max(0, float64(load.Running+load.Waiting)-running-waiting)
	}
	if load.Slots > 0 {
		t.slots = float64(load.Slots)
	}
	t.at, t.known = at, true
	pool := &s.pools[w.class]
	pool.running.Add(t.running, toldMemory)
	pool.waiting.Add(t.waiting, toldMemory)
}

// others estimates the load at a worker that is not this node's: what it told, the less the older, and
// the mean over workers for the rest.
func (s *service) others(now time.Duration, w *worker) (waiting, running float64) {
	pool := &s.pools[w.class]
	waiting, running = pool.waiting.Or(0, 1), pool.running.Or(0, 1)
	if w.told.known {
		fresh := math.Exp(-max(0, now-w.told.at).Seconds() / toldLife.Seconds())
		waiting += (w.told.waiting - waiting) * fresh
		running += (w.told.running - running) * fresh
	}
	if now < w.told.fullUntil {
		running = max(running, s.slotsOf(w))
	}
	return waiting, running
}

// load is the state of a worker as a choice sees it.
type load struct {
	waiting float64 // usual requests' worth of work that is not begun or not yet answered
	running float64 // requests that are being answered
	stall   float64 // seconds that the most overdue call is late beyond doubt
}

// loadOf estimates a worker's load from this node's own calls and what answers told of others.
func (s *service) loadOf(now time.Duration, w *worker) load {
	waiting, running := s.others(now, w)
	l := load{waiting: waiting, running: running}
	solo := s.pools[w.class].usualSolo(w.class)
	for _, call := range w.calls {
		if call.begun {
			l.running++
			continue
		}
		elapsed, expected := (now - call.sent).Seconds(), call.forecast.total()
		left := call.forecast.run * min(1, max(leastRemain, 1-elapsed/max(expected, leastSeconds)))
		if w.class == classPlain {
			l.running++
		} else {
			l.waiting += min(left/solo, oddRatio*oddRatio)
		}
		l.stall = max(l.stall, elapsed-lateFactor*expected-lateSlack)
	}
	return l
}

// at is the load that processing time is fitted against.
func (l load) at(c class) float64 {
	if c == classPlain {
		return l.running + l.waiting
	}
	return l.waiting
}

// taken is the number of slots in use.
func (l load) taken() float64 { return l.running + l.waiting }
