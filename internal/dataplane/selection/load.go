package selection

import (
	"math"
	"time"
)

const (
	reportDecay        = 1500 * time.Millisecond // in which a worker's report falls by e towards the mean of its class
	meanLoadSamples    = 64.                     // responses after which the mean load forgets
	meanLoadDecay      = 3 * time.Second         // in which the mean load falls by e while no response reports any
	fullAfterRejection = 400 * time.Millisecond  // for which a worker that rejected a call counts as full
	overdueFactor      = 3.                      // multiple of its predicted time after which a call is overdue
	overdueSlack       = 0.05                    // seconds added to that
	minRemainingShare  = 0.15                    // share of a call's work that remains until its response begins
)

// callCounts is a number of calls by their state at the worker.
type callCounts struct{ waiting, running float64 }

// loadReport is what a worker's latest response said of the load that is not this node's.
type loadReport struct {
	at               time.Duration
	running, waiting float64
	slots            float64 // 0: unknown
	known            bool
	fullUntil        time.Duration // after a rejection
}

// recordLoad records the load that a response reported, at the instant when it was reported. Own are this
// node's other calls at that instant, which the report includes.
//
// Workers differ in whether a report includes the request whose response it is in. It is inferred for each class:
// if it did, no report would say that there is no request.
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
	if report.running < 0 || report.waiting < 0 || worker.class == classPrefill {
		// What the worker counts as waiting may be running by this node's count, and the reverse.
		total := max(0, report.running+report.waiting)
		report.waiting = min(max(0, report.waiting), total)
		report.running = total - report.waiting
	}
	if worker.class == classPrefill { // a call has no response for as long as its prefill takes
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

// foreignLoad estimates the load at a worker that is not this node's: its report, weighed less the older
// it is, the mean over its class for the rest, and in place of both what other nodes say.
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

// workerLoad is the estimated load of a worker.
type workerLoad struct {
	waiting float64 // work of requests without a response yet, in typical requests of the worker's class
	running float64 // requests whose response has begun
	stall   float64 // seconds by which the most overdue call is late
}

// estimateLoad estimates a worker's load from this node's own calls and the foreign load.
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

// forClass returns the load that the processing time of a class is fitted against.
func (l workerLoad) forClass(class workerClass) float64 {
	if class == classPlain {
		return l.running + l.waiting
	}
	return l.waiting
}

// total returns the number of slots in use.
func (l workerLoad) total() float64 { return l.running + l.waiting }
