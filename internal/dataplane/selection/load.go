package selection

import (
	"math"
	"time"
)

const (
	reportDecay        = 1500 * time.Millisecond // time constant in which the weight of a report decays by a factor of e, in favor of the class's mean
	meanLoadSamples    = 64.                     // responses over which the mean load of a class is averaged
	meanLoadDecay      = 3 * time.Second         // time constant in which the mean load decays by a factor of e without new reports
	fullAfterRejection = 400 * time.Millisecond  // a worker that rejected a call counts as full for this long
	overdueFactor      = 3.                      // a call is overdue after this multiple of its predicted time
	overdueSlack       = 0.05                    // plus this many seconds
	minRemainingShare  = 0.15                    // share of a call's work that counts as remaining, at least, until its response begins
)

// callCounts are numbers of calls, by whether their response has begun.
type callCounts struct{ waiting, running float64 }

// loadReport is the foreign load in a worker's latest response: its reported load without this node's calls.
type loadReport struct {
	at               time.Duration
	running, waiting float64
	slots            float64 // 0: unknown
	known            bool
	fullUntil        time.Duration // after a rejection, the worker counts as full until then
}

// recordLoad records the load that a worker reported in a response at the given instant. Own are this
// node's other calls at that instant, which the report includes.
//
// Engines differ in whether the report includes the request that it responds to. This is inferred for each class of
// workers: a report of no requests at all shows that it does not.
func (s *service) recordLoad(at time.Duration, worker *worker, load *Load, own callCounts) {
	if load == nil || load.Running < 0 || load.Waiting < 0 {
		return
	}
	pooled, report := &s.estimates[worker.class], &worker.report
	if load.Running+load.Waiting == 0 {
		pooled.excludesOwnRequest = true
	}
	if !pooled.excludesOwnRequest {
		own.running++
	}
	report.running = float64(load.Running) - own.running
	report.waiting = float64(load.Waiting) - own.waiting
	if report.running < 0 || report.waiting < 0 || worker.class == classPrefill {
		// The worker may count calls as waiting that this node counts as running, and vice versa.
		total := max(0, report.running+report.waiting)
		report.waiting = min(max(0, report.waiting), total)
		report.running = total - report.waiting
	}
	if worker.class == classPrefill { // a call has no response until its prefill ends, so this node counts all as waiting
		report.running, report.waiting = 0, report.running+report.waiting
	}
	if load.Slots > 0 {
		report.slots = float64(load.Slots)
	}
	report.at, report.known = at, true
	pooled.foreignRunning.Add(report.running, meanLoadSamples)
	pooled.foreignWaiting.Add(report.waiting, meanLoadSamples)
	pooled.lastReport = at
}

// foreignLoad estimates the load at a worker that is not due to this node's calls. It blends the worker's
// latest report, with a weight that decays with its age, and the mean over the worker's class. The states
// of the other nodes, as far as they are known, replace both.
func (s *service) foreignLoad(now time.Duration, w *worker) (waiting, running float64) {
	pooled := &s.estimates[w.class]
	meanWeight := math.Exp(-max(0, now-pooled.lastReport).Seconds() / meanLoadDecay.Seconds())
	waiting, running = pooled.foreignWaiting.Blend(0, 1)*meanWeight, pooled.foreignRunning.Blend(0, 1)*meanWeight
	if w.report.known {
		reportWeight := math.Exp(-max(0, now-w.report.at).Seconds() / reportDecay.Seconds())
		waiting += (w.report.waiting - waiting) * reportWeight
		running += (w.report.running - running) * reportWeight
	}
	waiting, running = s.blendPeerLoad(now, w, waiting, running)
	if now < w.report.fullUntil {
		running = max(running, s.slotsOf(w))
	}
	return waiting, running
}

// workerLoad is the estimated load of a worker.
type workerLoad struct {
	waiting float64 // requests without a response yet, weighted by their remaining work relative to a typical request of the class
	running float64 // requests whose response has begun
	overdue float64 // seconds by which the most overdue of this node's calls is late
}

// estimateLoad estimates a worker's load from this node's own calls and the foreign load.
func (s *service) estimateLoad(now time.Duration, worker *worker) workerLoad {
	waiting, running := s.foreignLoad(now, worker)
	estimate := workerLoad{waiting: waiting, running: running}
	unloaded := s.estimates[worker.class].typicalUnloadedTime(worker.class)
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
		estimate.overdue = max(estimate.overdue, elapsed-overdueFactor*expected-overdueSlack)
	}
	return estimate
}

// fittedLoad returns the part of the load that the processing times of a class are fitted against.
func (l workerLoad) fittedLoad(class workerClass) float64 {
	if class == classPlain {
		return l.running + l.waiting
	}
	return l.waiting
}

// total returns the number of requests, waiting and running.
func (l workerLoad) total() float64 { return l.running + l.waiting }
