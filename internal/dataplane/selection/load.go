package selection

import (
	"math"
	"time"
)

const (
	reportDecay        = 1500 * time.Millisecond // in which what a worker told of others falls by e towards the mean
	meanLoadSamples    = 64.                     // answers over which the mean load by others forgets
	meanLoadDecay      = 3 * time.Second         // in which the mean load falls by e once no answer tells of any
	fullAfterRejection = 400 * time.Millisecond  // for which a worker that turned a call away counts as full
	overdueFactor      = 3.                      // a call this many times overdue means that its worker stands still
	overdueSlack       = 0.05                    // seconds that any call may be late
	minRemainingShare  = 0.15                    // part of a call's work that remains until it is answered
)

// callCounts is a number of requests by what the worker does with them.
type callCounts struct{ waiting, running float64 }

// loadReport is the load at a worker that is not this node's, by the worker's latest answer.
type loadReport struct {
	at               time.Duration
	running, waiting float64
	slots            float64 // 0: not told
	known            bool
	fullUntil        time.Duration
}

// recordLoad takes in the load that an answer told, at the instant when it was told.
// Whether an answer counts its own request is seen from the answers: none that does tells of none.
func (s *service) recordLoad(at time.Duration, worker *worker, load *Load, own callCounts) {
	if load == nil || load.Running < 0 || load.Waiting < 0 {
		return
	}
	pool, report := &s.pools[worker.class], &worker.report
	if load.Running+load.Waiting == 0 {
		pool.excludesOwnRequest = true
	}
	if !pool.excludesOwnRequest {
		own.running++
	}
	report.running = float64(load.Running) - own.running
	report.waiting = float64(load.Waiting) - own.waiting
	if report.running < 0 || report.waiting < 0 || worker.class == classPrefill { // one that it calls waiting may run here
		total := max(0, report.running+report.waiting)
		report.waiting = min(max(0, report.waiting), total)
		report.running = total - report.waiting
	}
	if worker.class == classPrefill { // its requests run as soon as they are being read
		report.running, report.waiting = 0, report.running+report.waiting
	}
	if load.Slots > 0 {
		report.slots = float64(load.Slots)
	}
	report.at, report.known = at, true
	pool.running.Add(report.running, meanLoadSamples)
	pool.waiting.Add(report.waiting, meanLoadSamples)
	pool.lastReport = at
}

// foreignLoad estimates the load at a worker that is not this node's: what it told, the less the older, and
// the mean over workers for the rest.
func (s *service) foreignLoad(now time.Duration, w *worker) (waiting, running float64) {
	pool := &s.pools[w.class]
	recent := math.Exp(-max(0, now-pool.lastReport).Seconds() / meanLoadDecay.Seconds())
	waiting, running = pool.waiting.Or(0, 1)*recent, pool.running.Or(0, 1)*recent
	if w.report.known {
		fresh := math.Exp(-max(0, now-w.report.at).Seconds() / reportDecay.Seconds())
		waiting += (w.report.waiting - waiting) * fresh
		running += (w.report.running - running) * fresh
	}
	waiting, running = s.blendPeerLoad(now, w, waiting, running)
	if now < w.report.fullUntil {
		running = max(running, s.slotsOf(w))
	}
	return waiting, running
}

// workerLoad is the state of a worker as a choice sees it.
type workerLoad struct {
	waiting float64 // usual requests' worth of work that is not begun or not yet answered
	running float64 // requests that are being answered
	stall   float64 // seconds that the most overdue call is late beyond doubt
}

// estimateLoad estimates a worker's load from this node's own calls and what answers told of others.
func (s *service) estimateLoad(now time.Duration, worker *worker) workerLoad {
	waiting, running := s.foreignLoad(now, worker)
	estimate := workerLoad{waiting: waiting, running: running}
	unloaded := s.pools[worker.class].typicalUnloadedTime(worker.class)
	for _, call := range worker.calls {
		if call.started {
			estimate.running++
			continue
		}
		elapsed, expected := (now - call.sentAt).Seconds(), call.forecast.total()
		remaining := call.remainingWork(now)
		if worker.class == classPlain {
			estimate.running++
		} else {
			estimate.waiting += min(remaining/unloaded, maxOutlierRatio*maxOutlierRatio)
		}
		estimate.stall = max(estimate.stall, elapsed-overdueFactor*expected-overdueSlack)
	}
	return estimate
}

// forClass is the load that processing time is fitted against.
func (l workerLoad) forClass(class workerClass) float64 {
	if class == classPlain {
		return l.running + l.waiting
	}
	return l.waiting
}

// total is the number of slots in use.
func (l workerLoad) total() float64 { return l.running + l.waiting }
