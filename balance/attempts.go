package balance

import (
	"slices"
	"time"

	"ospreybend/internal/util/stats"
)

const (
	minStartTimeout = 400 * time.Millisecond // plus a mean run time and twice the predicted queue wait
	hedgeDelay      = 100 * time.Millisecond // a job that is not queued reports its start earlier
	maxTransitTime  = 30 * time.Millisecond  // from a send until the worker checks for duplicates
)

// firstPossiblyRun returns the earliest attempt that may have run, or nil.
func (r *request) firstPossiblyRun() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// inDedupGroup reports whether a worker drops repeats of what ran at the first, if the class needs that.
func inDedupGroup(c *Class, first, w *worker) bool {
	return c.Effect != Deduplicated || c.DedupGroup == GroupAll ||
		c.DedupGroup == GroupZone && first.zone == w.zone || c.DedupGroup == GroupCell && first.cell == w.cell
}

// permit enforces rule 2: whether a request may be sent (again), or rejected, so that the client may retry.
func (b *Balancer) permit(now time.Duration, r *request) (maySend, mayReject bool) {
	first, effect, limits := r.firstPossiblyRun(), r.class.Effect, &b.settings.Limits
	maySend = len(r.attempts) < limits.MaxAttempts && (r.inFlight == 0 || limits.HedgedRequests)
	if first == nil {
		return maySend, true
	}
	inWindow := now <= first.sentAt+r.class.DedupWindow-maxTransitTime
	maySend = maySend && effect != NonIdempotent && (effect != Deduplicated || inWindow)
	return maySend, effect == Idempotent || effect == Deduplicated && r.class.DedupGroup == GroupAll
}

// send starts the request's next attempt, and schedules the hedge and the check of its start.
func (b *Balancer) send(now time.Duration, r *request, f forecast) {
	if maySend, _ := b.permit(now, r); r.finished || now >= r.Deadline || !maySend {
		return
	}
	w := f.worker
	b.fleet.spendWarmupBudget(now, w, f.work)
	r.attempts = append(r.attempts, attempt{worker: w, workerStarted: w.startedAt, sentAt: now, inFlight: true,
		mayHaveRun: true, freeSlots: f.freeSlots})
	r.inFlight++
	b.inFlight++
	w.inFlightSlots += r.Slots
	b.emit(Send{Request: r.ID, Worker: w.id})
	if index := len(r.attempts) - 1; b.settings.ReportsStart {
		wait := 2*max(0, f.delay-f.unqueuedDelay) + b.estimator.meanRun.Blend(0, 0)
		startTimeout := minStartTimeout + time.Duration(wait*float64(time.Second))
		b.schedule(startTimeout, func(now time.Duration) { b.checkStart(now, r, index, startTimeout) })
		if r.inFlight == 1 && b.settings.Limits.Cancel {
			b.schedule(hedgeDelay, func(now time.Duration) { b.hedge(now, r, index, false) })
		}
	}
}

// hedge sends a second attempt to a worker with a free slot if the first, at index, has not started or, with
// includeStarted, also if it runs (in a failed zone). When one starts, the other is cancelled if not started.
func (b *Balancer) hedge(now time.Duration, r *request, index int, includeStarted bool) {
	maySend, _ := b.permit(now, r)
	a := &r.attempts[index]
	if r.finished || r.inFlight != 1 || !a.inFlight || a.startedAt > 0 && !includeStarted || !maySend {
		return
	}
	r.probingDone, r.probed = false, nil
	f, ok := b.choose(now, r)
	if ok && f.delay <= b.timeLeft(now, r) && !b.sendProbes(now, r, f) && f.freeSlots >= r.Slots {
		b.send(now, r, f)
	}
}

// checkStart takes an overdue start as a failure (a worker may hang), closes its idle connections and hedges.
func (b *Balancer) checkStart(now time.Duration, r *request, index int, startTimeout time.Duration) {
	a := r.attempts[index]
	if r.finished || !a.inFlight || a.startedAt > 0 {
		return
	}
	if remaining := max(a.sentAt, a.worker.lastSeenAt) + startTimeout - now; remaining > 0 {
		b.schedule(remaining, func(now time.Duration) { b.checkStart(now, r, index, startTimeout) })
		return
	}
	b.fleet.recordResult(now, a.worker, r.Class, true)
	b.emit(CloseIdle{Worker: a.worker.id})
	b.hedge(now, r, index, false)
}

// handleAttemptProgress records that an attempt started, and cancels the hedged one that has not.
func (b *Balancer) handleAttemptProgress(now time.Duration, ev AttemptProgress) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt >= len(r.attempts) || !ev.Started {
		return
	}
	r.attempts[ev.Attempt].worker.lastSeenAt = now
	if a := &r.attempts[ev.Attempt]; a.startedAt == 0 {
		a.startedAt = now
		b.cancelAttempts(r, false)
		startDelay, zone := (now - a.sentAt).Seconds(), a.worker.zone
		if minDelay, ok := b.estimator.minStartDelay[zone]; !ok || startDelay < minDelay {
			b.estimator.minStartDelay[zone] = startDelay
		}
	}
}

// handleAttemptDone records the end of an attempt, and places the request again if it is not finished.
func (b *Balancer) handleAttemptDone(now time.Duration, ev AttemptDone) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].inFlight {
		return
	}
	a := &r.attempts[ev.Attempt]
	a.inFlight, a.mayHaveRun = false, !ev.Outcome.NeverRan()
	r.inFlight--
	b.inFlight--
	a.worker.inFlightSlots -= r.Slots
	b.recordOutcome(now, r, a, ev)
	if ev.Over {
		b.finish(r)
		return
	}
	b.release(r)
	r.probingDone = false
	if ev.Outcome == Full && len(r.attempts) > 1 {
		b.enqueue(now, r) // after two rejections: the estimates of free slots are too high
		return
	}
	b.place(now, r)
}

// recordOutcome records what an outcome shows about the worker. Only Served and Full give samples of delays.
func (b *Balancer) recordOutcome(now time.Duration, r *request, a *attempt, ev AttemptDone) {
	w := a.worker
	if w.startedAt != a.workerStarted || b.fleet.byID[w.id] != w {
		return // the worker restarted since
	}
	if ev.Outcome == Served || ev.Outcome == Full {
		w.lastSeenAt = now
	}
	if ev.Report != nil {
		b.fleet.recordReport(now, w, ev.Report)
	}
	switch ev.Outcome {
	case Served:
		b.recordServed(now, r, a, ev.Elapsed.Seconds())
		b.fleet.recordResult(now, w, r.Class, false)
	case Full:
		b.estimator.fullRate.AddWeighted(a.freeSlots-r.Slots, 1, 1, pooledSamples)
		if a.freeSlots >= r.Slots {
			// It rejects although it seems to have free slots, so it is faulty. Unless this counts as a failure,
			// it looks idle and attracts ever more requests.
			b.fleet.recordResult(now, w, r.Class, true)
		}
		b.fleet.recordFull(now, w, b.estimator.meanRun.Blend(defaultRunTime, 1))
		w.delays.transfer.Add(now, b.estimator.sizeOf(r.job), ev.Elapsed.Seconds(), windowLen)
		stats.Ensure(b.estimator.zoneTransfer, w.zone).Add(ev.Elapsed.Seconds(), pooledSamples)
	case Errored, ConnectFailed, Reset, TimedOut:
		if ev.Outcome != TimedOut || a.startedAt == 0 {
			b.fleet.recordResult(now, w, r.Class, true)
		}
	}
}

// recordServed records the elapsed seconds of a served attempt, split into transfer, queue wait and run time.
func (b *Balancer) recordServed(now time.Duration, r *request, a *attempt, elapsed float64) {
	w, e := a.worker, &b.estimator
	processing := max(0, elapsed-e.predictTransfer(now, &w.delays, w.zone, r.job))
	run := min(processing, e.slowdownOf(now, &w.delays, w.kind)*e.sizeOf(r.job))
	if a.startedAt > 0 {
		run = min(processing, (now - a.startedAt).Seconds())
	}
	e.recordProcessing(now, &w.delays, w.kind, r.job, a.freeSlots, b.fleet.slotsOf(w), processing-run, run)
}
