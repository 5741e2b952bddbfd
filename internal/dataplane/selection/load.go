package selection

import (
	"math"
	"time"
)

const (
	toldLife    = 1500 * time.Millisecond // in which what a worker told of others falls by e towards the mean
	toldMemory  = 64.                     // answers over which the mean load by others forgets
	poolLife    = 3 * time.Second         // in which the mean load falls by e once no answer tells of any
	fullLife    = 400 * time.Millisecond  // for which a worker that turned a call away counts as full
	lateFactor  = 3.                      // a call this many times overdue means that its worker stands still
	lateSlack   = 0.05                    // seconds that any call may be late
	leastRemain = 0.15                    // part of a call's work that remains until it is answered
)

// counts is a number of requests by what the worker does with them.
type counts struct{ waiting, running float64 }

// told is the load at a worker that is not this node's, by the worker's latest answer.
type told struct {
	at               time.Duration
	running, waiting float64
	slots            float64 // 0: not told
	known            bool
	fullUntil        time.Duration
}

// hear takes in the load that an answer told, at the instant when it was told.
// Whether an answer counts its own request is seen from the answers: none that does tells of none.
func (s *service) hear(at time.Duration, w *worker, load *Load, own counts) {
	if load == nil || load.Running < 0 || load.Waiting < 0 {
		return
	}
	pool, t := &s.pools[w.class], &w.told
	if load.Running+load.Waiting == 0 {
		pool.leavesOut = true
	}
	if !pool.leavesOut {
		own.running++
	}
	t.running = float64(load.Running) - own.running
	t.waiting = float64(load.Waiting) - own.waiting
	if t.running < 0 || t.waiting < 0 || w.class == classPrefill { // one that it calls waiting may run here
		total := max(0, t.running+t.waiting)
		t.waiting = min(max(0, t.waiting), total)
		t.running = total - t.waiting
	}
	if w.class == classPrefill { // its requests run as soon as they are being read
		t.running, t.waiting = 0, t.running+t.waiting
	}
	if load.Slots > 0 {
		t.slots = float64(load.Slots)
	}
	t.at, t.known = at, true
	pool.running.Add(t.running, toldMemory)
	pool.waiting.Add(t.waiting, toldMemory)
	pool.heard = at
}

// others estimates the load at a worker that is not this node's: what it told, the less the older, and
// the mean over workers for the rest.
func (s *service) others(now time.Duration, w *worker) (waiting, running float64) {
	pool := &s.pools[w.class]
	recent := math.Exp(-max(0, now-pool.heard).Seconds() / poolLife.Seconds())
	waiting, running = pool.waiting.Or(0, 1)*recent, pool.running.Or(0, 1)*recent
	if w.told.known {
		fresh := math.Exp(-max(0, now-w.told.at).Seconds() / toldLife.Seconds())
		waiting += (w.told.waiting - waiting) * fresh
		running += (w.told.running - running) * fresh
	}
	waiting, running = s.withPeers(now, w, waiting, running)
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
		left := call.left(now)
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
