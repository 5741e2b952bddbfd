package balance

import (
	"math"
	"slices"
	"time"
)

const (
	pollInterval        = 20 * time.Millisecond // least interval between attempts to place a queued request
	pollsPerRun         = 8.                    // such attempts per mean run time, if that interval is longer
	maxPollDoublings    = 3                     // doublings of the interval at most
	unusedWorkerFactor  = 0.5                   // on the cost of an idle worker that never answered
	tieMargin           = 0.01                  // costs within this fraction of the least are ties
	allowedWaitFraction = 0.1                   // fraction of its time left that any job may wait at a worker
	maxFullProbability  = 0.5                   // a job that is more likely to be rejected as full is queued
	lateTimeFraction    = 0.25                  // part of the time after the target that counts at LateValue 1
)

// place sends a request to the worker of least cost, queues it, or rejects it.
func (b *Balancer) place(now time.Duration, r *request) {
	if r == nil || r.finished || r.inFlight > 0 {
		return
	}
	maySend, mayReject := b.permit(now, r)
	if !maySend {
		b.rejectOrFail(now, r, b.estimator.meanRun.Blend(0, 0))
		return
	}
	f, ok := b.choose(now, r)
	run := b.estimator.sizeOf(r.job) * min(1, b.estimator.allSlowdown.Blend(1, 1))
	wait, remaining := f.delay-f.unqueuedDelay, b.timeLeft(now, r)
	infeasible := wait+run > remaining // at the usual speed: one slow job must not make all look infeasible
	switch {
	case ok && b.sendProbes(now, r, f):
	case !ok && run > remaining:
		b.rejectOrFail(now, r, b.estimator.meanRun.Blend(0, 0)) // its target became infeasible in the queue
	case !ok:
		b.enqueue(now, r)
	case b.inFlight == 0: // a balancer that rejects all requests by a wrong estimate would never correct it
		b.send(now, r, f)
	case infeasible && mayReject && (!r.probingDone || run > remaining):
		// After probes it is queued below: the workers that were not probed may have free slots.
		b.rejectOrFail(now, r, wait+run-remaining)
	case infeasible && r.probingDone, f.fullProbability > maxFullProbability,
		wait > max(b.maxQueueWait(r), remaining*allowedWaitFraction):
		b.enqueue(now, r)
	default:
		b.send(now, r, f)
	}
}

// maxQueueWait returns the longest predicted wait, in seconds, to send a job into: the slack of the strictest
// class of at least its value. Jobs with more slack wait here: at a worker they would make that class late.
func (b *Balancer) maxQueueWait(r *request) float64 {
	leastSlack := math.Inf(1)
	for i := range b.settings.Classes {
		c, size := &b.settings.Classes[i], &b.estimator.classSize[i]
		if c.Value >= r.class.Value && (size.N > 0 || c == r.class) {
			slack := (c.TargetStretch - b.estimator.allSlowdown.Blend(1, 1)) * size.Blend(b.estimator.sizeOf(r.job), 0)
			leastSlack = min(leastSlack, c.LatencyTarget.Seconds()+slack)
		}
	}
	return max(leastSlack, 0)
}

// timeLeft returns the seconds in which a response has value; past the target they count in part (LateValue).
func (b *Balancer) timeLeft(now time.Duration, r *request) float64 {
	untilDeadline := (r.Deadline - now).Seconds()
	untilTarget := min(untilDeadline, b.latencyTarget(r)-(now-r.arrived).Seconds())
	return untilTarget + lateTimeFraction*r.class.LateValue*(untilDeadline-untilTarget)
}

// enqueue queues a request. It is placed again at growing intervals.
func (b *Balancer) enqueue(now time.Duration, r *request) {
	r.probingDone = false
	delay := max(pollInterval, time.Duration(b.estimator.meanRun.Blend(0, 0)/pollsPerRun*float64(time.Second)))
	r.retryAt = now + delay<<min(r.timesQueued, maxPollDoublings)
	r.timesQueued++
	b.appendToQueue(r)
}

// appendToQueue appends a request to the queue and starts the queue's timer if it is not set.
func (b *Balancer) appendToQueue(r *request) {
	r.queued, b.queue = true, append(b.queue, r)
	if !b.queueTimerSet {
		b.queueTimerSet = true
		b.schedule(pollInterval, b.retryQueued)
	}
}

// retryQueued places the queued requests that are due, oldest first. Once a request that was never sent finds
// no worker, others of its class that were never sent are skipped.
func (b *Balancer) retryQueued(now time.Duration) {
	queue := b.queue
	b.queueTimerSet, b.queue = false, nil
	blocked := make([]bool, len(b.settings.Classes))
	for _, r := range queue {
		neverSent := len(r.attempts) == 0
		switch {
		case r.finished:
		case now < r.retryAt || neverSent && blocked[r.Class]:
			b.appendToQueue(r)
		default:
			r.queued = false
			b.place(now, r)
			blocked[r.Class] = blocked[r.Class] || neverSent && r.queued
		}
	}
}

// forecast is the prediction for a request at a worker. Times are in seconds.
type forecast struct {
	worker          *worker
	totalCost       float64 // the cost that workers are compared by
	delay           float64 // from the send to the response
	unqueuedDelay   float64 // transfer and run time, without queue wait
	fullProbability float64 // probability that the worker rejects it as full
	freeSlots       float64 // slots free now
	work            float64 // slot-seconds of work
}

// choose returns the forecast of least cost among the eligible workers, if any. Ties are broken at random.
func (b *Balancer) choose(now time.Duration, r *request) (forecast, bool) {
	leastCost, first := math.Inf(1), r.firstPossiblyRun()
	meanRun, eligible, knownFree, bestDraw := b.estimator.meanRun.Blend(defaultRunTime, 1), 0, 0, -1.
	r.job.cachedSize = b.estimator.sizeOf(r.job)
	target, remaining := b.latencyTarget(r), b.timeLeft(now, r)
	b.ties = b.ties[:0]
	for _, w := range b.fleet.workers {
		if !b.eligible(r, w, first) {
			continue
		}
		eligible++
		if w.hasReport && w.reportedFree >= r.Slots && (now-w.reportedAt).Seconds() < meanRun {
			knownFree++
		}
		f := b.predict(now, r, w, meanRun, target, remaining)
		if !b.fleet.withinWarmupBudget(now, w, f.work) {
			continue
		}
		draw := b.rng.Float64()
		if b.fleet.capacityFraction(now, w) < 1 {
			draw++
		}
		if draw > bestDraw {
			b.randomCandidate, bestDraw = w, draw
		}
		if f.totalCost < leastCost*(1-tieMargin) {
			b.ties = b.ties[:0]
		}
		if f.totalCost <= leastCost*(1+tieMargin) {
			b.ties = append(b.ties, f)
		}
		leastCost = min(leastCost, f.totalCost)
	}
	r.job.cachedSize = 0 // to be estimated anew for the next choice
	b.sparseReports = eligible > maxProbes && float64(knownFree) < sparseReportFraction*float64(eligible)
	if len(b.ties) == 0 {
		return forecast{}, false
	}
	return b.ties[b.rng.IntN(len(b.ties))], true
}

// predict returns the forecast for a request at a worker. Its cost is the delay plus, as time, the expected
// costs of this balancer's jobs in flight there, a cache miss, lateness, a failure, a rejection and another
// zone. target is the request's latency target and left its time left, in seconds.
func (b *Balancer) predict(now time.Duration, r *request, w *worker, meanRun, target, left float64) forecast {
	f := forecast{worker: w, freeSlots: b.fleet.freeSlots(now, w, meanRun)}
	processing := b.estimator.predictProcessing(now, &w.delays, w.kind, r.job, f.freeSlots, b.fleet.slotsOf(w))
	transfer := b.estimator.predictTransfer(now, &w.delays, w.zone, r.job)
	run := b.estimator.slowdownOf(now, &w.delays, w.kind) * b.estimator.sizeOf(r.job)
	f.work, f.unqueuedDelay, f.delay = run*r.Slots, transfer+run, transfer+processing
	f.fullProbability = min(1, b.estimator.fullRate.At(f.freeSlots-r.Slots))
	f.totalCost = f.delay + b.fetchCost(r, w) + processing*w.inFlightSlots/b.fleet.slotsOf(w)
	f.totalCost += target * min(1, (f.delay-f.unqueuedDelay)/max(left-f.unqueuedDelay, minRunTime)) // lateness
	f.totalCost += b.fleet.failureProbability(now, w, r.Class) * r.class.Timeout.Seconds()
	// Each rejection costs one of the remaining attempts and a round trip.
	f.totalCost += f.fullProbability * target / float64(b.settings.Limits.MaxAttempts-len(r.attempts))
	if w.zone != b.settings.Zone {
		f.totalCost += b.settings.Costs.CrossZone * target
	}
	switch {
	case w.lastSeenAt == 0 && b.sparseReports && b.settings.Limits.Probes:
		f.totalCost += b.settings.Costs.Handshake * target // it probably needs a new connection
	case w.lastSeenAt == 0 && w.inFlightSlots == 0:
		f.totalCost *= unusedWorkerFactor // with pooled estimates alone it would never be the best and get a job
	}
	return f
}

// latencyTarget returns the time, in seconds, within which a response earns the full value.
func (b *Balancer) latencyTarget(r *request) float64 {
	return r.class.LatencyTarget.Seconds() + r.class.TargetStretch*b.estimator.sizeOf(r.job)
}

// eligible reports whether a worker may get the next attempt. first is the earliest one that may have run.
func (b *Balancer) eligible(r *request, w *worker, first *attempt) bool {
	if !b.fleet.isReady(w) || !b.fleet.withinZoneShare(r.ID, w.zone) || slices.Contains(r.probed, w) {
		return false
	}
	if r.class.Kind >= 0 && r.class.Kind != w.kind || first != nil && !inDedupGroup(r.class, first.worker, w) ||
		r.candidates != nil && !slices.Contains(r.candidates, w) {
		return false
	}
	return !slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.worker == w })
}
