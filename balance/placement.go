package balance

import (
	"math"
	"slices"
	"time"
)

const (
	queuePollInterval   = 20 * time.Millisecond // a held request looks for a worker this often
	pollsPerRun         = 8.                    // looks in the time a job runs, where that is longer
	maxPollDoublings    = 3                     // doublings of that at most
	unseenDiscount      = 0.5                   // part of its total that a worker not heard of counts for, once
	tieMargin           = 0.01                  // totals within this part of the least are tied
	allowedWaitFraction = 0.1                   // part of its time left that any job may wait in a queue
	maxFullProbability  = 0.5                   // hold a job that is turned away more likely than this
	lateCredit          = 0.25                  // part of the time past the aim that full late worth would buy
)

// place sends a request to the worker of least total, holds it or refuses it.
func (b *Balancer) place(now time.Duration, r *request) {
	if r == nil || r.over || r.inFlight > 0 {
		return
	}
	maySend, mayRefuse := b.permit(now, r)
	if !maySend {
		b.rejectOrFail(now, r, b.estimator.run.Or(0, 0))
		return
	}
	f, ok := b.choose(now, r)
	// What it runs for at the usual pace, and has left for it.
	fastestRun, timeLeft := b.estimator.sizeOf(r.job)*min(1, b.estimator.allSlowdown.Or(1, 1)), b.timeLeft(now, r)
	deadlineInfeasible := f.delay-f.run+fastestRun > timeLeft // by the usual pace: first slow jobs would make all look so
	switch {
	case ok && b.probe(now, r, f):
	case !ok && fastestRun > timeLeft:
		b.rejectOrFail(now, r, b.estimator.run.Or(0, 0)) // held past any use
	case !ok:
		b.enqueue(now, r)
	case b.inFlight == 0: // a dispatcher that refuses all on a wrong estimate never learns better
		b.send(now, r, f)
	case deadlineInfeasible && mayRefuse && (!r.probingDone || fastestRun > timeLeft): // others than the few asked may have room
		b.rejectOrFail(now, r, f.delay-f.run+fastestRun-timeLeft)
	case deadlineInfeasible && r.probingDone || f.full > maxFullProbability || f.delay-f.run > max(b.queueingTolerance(r), timeLeft*allowedWaitFraction):
		b.enqueue(now, r)
	default:
		b.send(now, r, f)
	}
}

// queueingTolerance is the queue wait, in seconds, that a job may be sent into: the slack of the tightest
// class worth as much or more. Jobs with time to spare, which wait here, would else make it late.
func (b *Balancer) queueingTolerance(r *request) float64 {
	tolerance := math.Inf(1)
	for i := range b.settings.Classes {
		c, size := &b.settings.Classes[i], &b.estimator.size[i]
		if c.Value >= r.class.Value && (size.N > 0 || c == r.class) {
			typical := size.Or(b.estimator.sizeOf(r.job), 0)
			tolerance = min(tolerance, c.LatencyTarget.Seconds()+(c.TargetStretch-b.estimator.allSlowdown.Or(1, 1))*typical)
		}
	}
	return max(tolerance, 0)
}

// timeLeft is the time, in seconds, in which an answer still pays; late ones pay by their worth.
func (b *Balancer) timeLeft(now time.Duration, r *request) float64 {
	end := (r.Deadline - now).Seconds()
	untilTarget := min(end, b.latencyTarget(r)-(now-r.arrived).Seconds())
	return untilTarget + lateCredit*r.class.LateValue*(end-untilTarget)
}

func (b *Balancer) enqueue(now time.Duration, r *request) { // until a worker may take it, with ever rarer looks
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

// retryQueued tries the held requests again, oldest first, and of a class that finds no worker only one.
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

// forecast is what is predicted of a request at a worker, in seconds.
type forecast struct {
	worker *worker
	total  float64 // what workers are compared by
	delay  float64 // from the send to the answer
	run    float64 // transfer and running, without queue wait
	full   float64 // chance of being turned away
	free   float64 // slots free now
	cost   float64 // slot-seconds of work
}

// choose returns the forecast of the least total among the eligible workers.
func (b *Balancer) choose(now time.Duration, r *request) (forecast, bool) {
	least, first := math.Inf(1), r.firstPossiblyRun()
	turnover, eligible, known, bestDraw := b.estimator.run.Or(defaultRunTime, 1), 0, 0, -1.
	r.job.cachedSize = b.estimator.sizeOf(r.job)
	target, timeLeft := b.latencyTarget(r), b.timeLeft(now, r)
	b.ties = b.ties[:0]
	for _, w := range b.fleet.workers {
		if !b.eligible(r, w, first) {
			continue
		}
		eligible++
		if w.reported && w.reportedFree >= r.Slots && (now-w.reportedAt).Seconds() < turnover {
			known++
		}
		f := b.forecast(now, r, w, turnover, target, timeLeft)
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
	r.job.cachedSize = 0 // what is learned meanwhile counts for the next choice
	if b.sparseReports = eligible > maxProbes && float64(known) < sparseFraction*float64(eligible); len(b.ties) == 0 {
		return forecast{}, false
	}
	return b.ties[b.rng.IntN(len(b.ties))], true
}

// forecast predicts a request's delay at a worker. The total adds own unfinished work there, and
// as time what a failure, a 'full' or another zone would cost.
func (b *Balancer) forecast(now time.Duration, r *request, w *worker, turnover, target, timeLeft float64) forecast {
	f := forecast{worker: w, free: b.fleet.freeSlots(now, w, turnover)}
	process := b.estimator.processAt(now, &w.profile, w.kind, r.job, f.free, b.fleet.slotsOf(w))
	transfer := b.estimator.transferTo(now, &w.profile, w.zone, r.job)
	run := b.estimator.slowdownOf(now, &w.profile, w.kind) * b.estimator.sizeOf(r.job)
	f.cost, f.run, f.delay = run*r.Slots, transfer+run, transfer+process
	f.full = min(1, b.estimator.full.At(f.free-r.Slots))
	f.total = f.delay + b.fetchCost(r, w) + process*w.inFlightSlots/b.fleet.slotsOf(w)
	f.total += target * min(1, (f.delay-f.run)/max(timeLeft-f.run, minRunTime)) // the chance that the wait makes it late
	f.total += b.fleet.failureProbability(now, w, r.Class) * r.class.Timeout.Seconds()
	// Each 'full' uses up one of the attempts and its round trip.
	f.total += f.full * target / float64(b.settings.Limits.MaxAttempts-len(r.attempts))
	if w.zone != b.settings.Zone {
		f.total += b.settings.Costs.CrossZone * target
	}
	switch {
	case w.lastSeenAt == 0 && b.sparseReports && b.settings.Limits.Probes:
		f.total += b.settings.Costs.Handshake * target // its connection is likely to be the first
	case w.lastSeenAt == 0 && w.inFlightSlots == 0:
		f.total *= unseenDiscount // where the others are known, what is only pooled would never be the least
	}
	return f
}

// latencyTarget is the time, in seconds, in which an answer earns full worth.
func (b *Balancer) latencyTarget(r *request) float64 {
	return r.class.LatencyTarget.Seconds() + r.class.TargetStretch*b.estimator.sizeOf(r.job)
}

// eligible tells whether a worker may get the request's next attempt at all.
func (b *Balancer) eligible(r *request, w *worker, first *attempt) bool {
	if !b.fleet.isReady(w) || !b.fleet.withinZoneShare(r.ID, w.zone) || (r.class.Kind >= 0 && r.class.Kind != w.kind) {
		return false
	}
	if first != nil && !deduplicates(r.class, first.worker, w) || slices.Contains(r.probed, w) ||
		r.candidates != nil && !slices.Contains(r.candidates, w) {
		return false
	}
	return !slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.worker == w })
}
