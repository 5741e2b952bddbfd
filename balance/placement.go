package balance

import (
	"math"
	"slices"
	"time"
)

const (
	queuePollInterval   = 20 * time.Millisecond // a queued request is placed again this often
	pollsPerRun         = 8.                    // attempts to place it in a mean run time, where that is longer
	maxPollDoublings    = 3                     // doublings of that interval at most
	unseenDiscount      = 0.5                   // factor on the total of an idle worker that never answered
	tieMargin           = 0.01                  // totals within this fraction of the least are ties
	allowedWaitFraction = 0.1                   // fraction of its time left that any job may wait at a worker
	maxFullProbability  = 0.5                   // queue a job that would be rejected with a higher probability
	lateCredit          = 0.25                  // fraction of the time past the target that late value buys
)

// place sends a request to the worker with the least total cost, queues it, or rejects it.
func (b *Balancer) place(now time.Duration, r *request) {
	if r == nil || r.over || r.inFlight > 0 {
		return
	}
	maySend, mayReject := b.permit(now, r)
	if !maySend {
		b.rejectOrFail(now, r, b.estimator.run.Or(0, 0))
		return
	}
	f, ok := b.choose(now, r)
	run := b.estimator.sizeOf(r.job) * min(1, b.estimator.allSlowdown.Or(1, 1)) // at the usual speed
	wait, left := f.delay-f.run, b.timeLeft(now, r)
	infeasible := wait+run > left // at the usual speed: one slow job must not make all look infeasible
	switch {
	case ok && b.probe(now, r, f):
	case !ok && run > left:
		b.rejectOrFail(now, r, b.estimator.run.Or(0, 0)) // queued until its deadline became infeasible
	case !ok:
		b.enqueue(now, r)
	case b.inFlight == 0: // a dispatcher that rejects all by a wrong estimate would never correct it
		b.send(now, r, f)
	case infeasible && mayReject && (!r.probingDone || run > left): // workers not probed may have free slots
		b.rejectOrFail(now, r, wait+run-left)
	case infeasible && r.probingDone, f.full > maxFullProbability,
		wait > max(b.queueingTolerance(r), left*allowedWaitFraction):
		b.enqueue(now, r)
	default:
		b.send(now, r, f)
	}
}

// queueingTolerance returns the queue wait, in seconds, that a job may be sent into: the slack of the
// tightest class of the same or higher value. Jobs with more slack wait here, lest they make that class late.
func (b *Balancer) queueingTolerance(r *request) float64 {
	tolerance := math.Inf(1)
	for i := range b.settings.Classes {
		c, size := &b.settings.Classes[i], &b.estimator.size[i]
		if c.Value >= r.class.Value && (size.N > 0 || c == r.class) {
			slack := (c.TargetStretch - b.estimator.allSlowdown.Or(1, 1)) * size.Or(b.estimator.sizeOf(r.job), 0)
			tolerance = min(tolerance, c.LatencyTarget.Seconds()+slack)
		}
	}
	return max(tolerance, 0)
}

// timeLeft returns the time, in seconds, in which an answer still has value; late answers count by theirs.
func (b *Balancer) timeLeft(now time.Duration, r *request) float64 {
	end := (r.Deadline - now).Seconds()
	untilTarget := min(end, b.latencyTarget(r)-(now-r.arrived).Seconds())
	return untilTarget + lateCredit*r.class.LateValue*(end-untilTarget)
}

// enqueue queues a request until it can be placed, with growing intervals between the attempts.
func (b *Balancer) enqueue(now time.Duration, r *request) {
	r.probingDone = false
	step := max(queuePollInterval, time.Duration(b.estimator.run.Or(0, 0)/pollsPerRun*float64(time.Second)))
	r.retryAt = now + step<<min(r.queueRounds, maxPollDoublings)
	r.queueRounds++
	b.appendToQueue(r)
}

func (b *Balancer) appendToQueue(r *request) {
	r.queued, b.queue = true, append(b.queue, r)
	if !b.wakeScheduled {
		b.wakeScheduled = true
		b.schedule(queuePollInterval, b.retryQueued)
	}
}

// retryQueued places the queued requests that are due, oldest first. A class that finds no worker is skipped.
func (b *Balancer) retryQueued(now time.Duration) {
	b.wakeScheduled = false
	queue := b.queue
	b.queue = nil
	blocked := make([]bool, len(b.settings.Classes))
	for _, r := range queue {
		fresh := len(r.attempts) == 0
		switch {
		case r.over:
		case now < r.retryAt || fresh && blocked[r.Class]:
			b.appendToQueue(r)
		default:
			r.queued = false
			b.place(now, r)
			blocked[r.Class] = blocked[r.Class] || fresh && r.queued
		}
	}
}

// forecast predicts a request at a worker. Times are in seconds.
type forecast struct {
	worker *worker
	total  float64 // the cost that workers are compared by
	delay  float64 // from the send to the answer
	run    float64 // transfer and run time, without queue wait
	full   float64 // probability that the worker rejects it as full
	free   float64 // slots free now
	cost   float64 // slot-seconds of work
}

// choose returns the forecast of the least total among the eligible workers.
func (b *Balancer) choose(now time.Duration, r *request) (forecast, bool) {
	least, first := math.Inf(1), r.firstPossiblyRun()
	meanRun, eligible, known, bestDraw := b.estimator.run.Or(defaultRunTime, 1), 0, 0, -1.
	r.job.cachedSize = b.estimator.sizeOf(r.job)
	target, left := b.latencyTarget(r), b.timeLeft(now, r)
	b.ties = b.ties[:0]
	for _, w := range b.fleet.workers {
		if !b.eligible(r, w, first) {
			continue
		}
		eligible++
		if w.reported && w.reportedFree >= r.Slots && (now-w.reportedAt).Seconds() < meanRun {
			known++
		}
		f := b.forecast(now, r, w, meanRun, target, left)
		if !b.fleet.withinWarmupBudget(now, w, f.cost) {
			continue
		}
		draw := b.rng.Float64()
		if b.fleet.warmCapacity(now, w) < 1 {
			draw++
		}
		if draw > bestDraw {
			b.randomCandidate, bestDraw = w, draw
		}
		if f.total < least*(1-tieMargin) {
			b.ties = b.ties[:0]
		}
		if f.total <= least*(1+tieMargin) {
			b.ties = append(b.ties, f)
		}
		least = min(least, f.total)
	}
	r.job.cachedSize = 0 // estimated anew for the next choice
	b.sparseReports = eligible > maxProbes && float64(known) < sparseFraction*float64(eligible)
	if len(b.ties) == 0 {
		return forecast{}, false
	}
	return b.ties[b.rng.IntN(len(b.ties))], true
}

// forecast predicts a request at a worker. The total is the delay plus, as time, the own jobs in flight there
// and what a failure, a rejection or another zone would cost. period is the mean run time.
func (b *Balancer) forecast(now time.Duration, r *request, w *worker, period, target, left float64) forecast {
	f := forecast{worker: w, free: b.fleet.freeSlots(now, w, period)}
	process := b.estimator.processAt(now, &w.profile, w.kind, r.job, f.free, b.fleet.slotsOf(w))
	transfer := b.estimator.transferTo(now, &w.profile, w.zone, r.job)
	run := b.estimator.slowdownOf(now, &w.profile, w.kind) * b.estimator.sizeOf(r.job)
	f.cost, f.run, f.delay = run*r.Slots, transfer+run, transfer+process
	f.full = min(1, b.estimator.full.At(f.free-r.Slots))
	f.total = f.delay + b.fetchCost(r, w) + process*w.inFlightSlots/b.fleet.slotsOf(w)
	f.total += target * min(1, (f.delay-f.run)/max(left-f.run, minRunTime)) // probability of being late
	f.total += b.fleet.failureProbability(now, w, r.Class) * r.class.Timeout.Seconds()
	// Each rejection uses up an attempt and its round trip.
	f.total += f.full * target / float64(b.settings.Limits.MaxAttempts-len(r.attempts))
	if w.zone != b.settings.Zone {
		f.total += b.settings.Costs.CrossZone * target
	}
	switch {
	case w.lastSeenAt == 0 && b.sparseReports && b.settings.Limits.Probes:
		f.total += b.settings.Costs.Handshake * target // it is likely to need a new connection
	case w.lastSeenAt == 0 && w.inFlightSlots == 0:
		f.total *= unseenDiscount // a worker known by pooled estimates alone would never have the least
	}
	return f
}

// latencyTarget returns the time, in seconds, in which an answer earns full value.
func (b *Balancer) latencyTarget(r *request) float64 {
	return r.class.LatencyTarget.Seconds() + r.class.TargetStretch*b.estimator.sizeOf(r.job)
}

// eligible reports whether a worker may get the request's next attempt at all.
func (b *Balancer) eligible(r *request, w *worker, first *attempt) bool {
	otherKind := r.class.Kind >= 0 && r.class.Kind != w.kind
	if !b.fleet.isReady(w) || !b.fleet.withinZoneShare(r.ID, w.zone) || otherKind {
		return false
	}
	if first != nil && !deduplicates(r.class, first.worker, w) || slices.Contains(r.probed, w) ||
		r.candidates != nil && !slices.Contains(r.candidates, w) {
		return false
	}
	return !slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.worker == w })
}
