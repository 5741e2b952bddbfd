package balance

import (
	"slices"
	"time"

	"ospreybend/internal/util/stats"
)

const (
	startOverdue = 400 * time.Millisecond // overdue after this, a mean run time and two predicted waits
	hedgeDelay   = 100 * time.Millisecond // a start is reported within it unless the job is queued
	transitTime  = 30 * time.Millisecond  // from a send to the worker's deduplication
)

// firstPossiblyRun returns the earliest attempt that may have run.
func (r *request) firstPossiblyRun() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// deduplicates reports whether a worker drops repeats of what ran at the first worker.
func deduplicates(c *Class, first, w *worker) bool {
	return c.Effect != Deduplicated || c.DedupGroup == GroupAll ||
		c.DedupGroup == GroupZone && first.zone == w.zone || c.DedupGroup == GroupCell && first.cell == w.cell
}

// permit enforces rule 2: whether a request may be sent (again), and whether it may be rejected as not run.
func (b *Balancer) permit(now time.Duration, r *request) (send, reject bool) {
	first, effect, limits := r.firstPossiblyRun(), r.class.Effect, &b.settings.Limits
	send = len(r.attempts) < limits.MaxAttempts && (r.inFlight == 0 || limits.HedgedRequests)
	if first == nil {
		return send, true
	}
	inWindow := now <= first.sentAt+r.class.DedupWindow-transitTime
	send = send && effect != NonIdempotent && (effect != Deduplicated || inWindow)
	return send, effect == Idempotent || effect == Deduplicated && r.class.DedupGroup == GroupAll
}

// send starts the request's next attempt and schedules the checks on its start.
func (b *Balancer) send(now time.Duration, r *request, f forecast) {
	if maySend, _ := b.permit(now, r); r.over || now >= r.Deadline || !maySend {
		return
	}
	w := f.worker
	b.fleet.spendWarmupBudget(now, w, f.cost)
	r.attempts = append(r.attempts, attempt{worker: w, workerStarted: w.startedAt, sentAt: now, inFlight: true,
		mayHaveRun: true, freeSlots: f.free})
	r.inFlight++
	b.inFlight++
	w.inFlightSlots += r.Slots
	b.emit(Send{Request: r.ID, Worker: w.id})
	if at := len(r.attempts) - 1; b.settings.ReportsStart {
		wait := 2*max(0, f.delay-f.run) + b.estimator.run.Or(0, 0)
		late := startOverdue + time.Duration(wait*float64(time.Second))
		b.schedule(late, func(now time.Duration) { b.checkStart(now, r, at, late) })
		if r.inFlight == 1 && b.settings.Limits.Cancel {
			b.schedule(hedgeDelay, func(now time.Duration) { b.hedge(now, r, at, false) })
		}
	}
}

// hedge sends a second attempt to a worker with a free slot while the first is still queued, or runs in a
// failed zone. When one of them starts, the other is cancelled if it is still queued.
func (b *Balancer) hedge(now time.Duration, r *request, index int, evenRunning bool) {
	maySend, _ := b.permit(now, r)
	a := &r.attempts[index]
	if r.over || r.inFlight != 1 || !a.inFlight || a.startedAt > 0 && !evenRunning || !maySend {
		return
	}
	r.probingDone, r.probed = false, nil
	f, ok := b.choose(now, r)
	if ok && f.delay <= b.timeLeft(now, r) && !b.probe(now, r, f) && f.free >= r.Slots {
		b.send(now, r, f)
	}
}

// checkStart handles an overdue start. The worker may hang: that counts as a failure, its connections are
// closed, and the request is hedged.
func (b *Balancer) checkStart(now time.Duration, r *request, index int, startTimeout time.Duration) {
	a := r.attempts[index]
	if r.over || !a.inFlight || a.startedAt > 0 {
		return
	}
	if left := max(a.sentAt, a.worker.lastSeenAt) + startTimeout - now; left > 0 {
		b.schedule(left, func(now time.Duration) { b.checkStart(now, r, index, startTimeout) })
		return
	}
	b.fleet.recordHealth(now, a.worker, r.Class, true)
	b.emit(CloseIdle{Worker: a.worker.id})
	b.hedge(now, r, index, false)
}

func (b *Balancer) attemptProgress(now time.Duration, ev AttemptProgress) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt >= len(r.attempts) || !ev.Started {
		return
	}
	r.attempts[ev.Attempt].worker.lastSeenAt = now
	if a := &r.attempts[ev.Attempt]; a.startedAt == 0 {
		a.startedAt = now
		b.cancelAttempts(r, false)
		took, zone := (now - a.sentAt).Seconds(), a.worker.zone
		if minDelay, ok := b.estimator.minStartDelay[zone]; !ok || took < minDelay {
			b.estimator.minStartDelay[zone] = took
		}
	}
}

func (b *Balancer) attemptDone(now time.Duration, ev AttemptDone) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].inFlight {
		return
	}
	a := &r.attempts[ev.Attempt]
	a.inFlight = false
	a.mayHaveRun = !ev.Outcome.NeverRan()
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
		b.enqueue(now, r) // two rejections: the knowledge of free slots is poor
		return
	}
	b.place(now, r)
}

// recordOutcome records what an outcome shows of the worker. Only Served and Full give samples of delays.
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
		b.fleet.recordHealth(now, w, r.Class, false)
	case Full:
		b.estimator.full.AddWeighted(a.freeSlots-r.Slots, 1, 1, pooledSamples)
		if a.freeSlots >= r.Slots {
			// It rejects with free slots, so something is wrong; idle, it would attract ever more requests.
			b.fleet.recordHealth(now, w, r.Class, true)
		}
		b.fleet.recordFull(now, w, b.estimator.run.Or(defaultRunTime, 1))
		w.profile.transfer.Add(now, b.estimator.sizeOf(r.job), ev.Elapsed.Seconds(), windowLen)
		stats.Of(b.estimator.transfer, w.zone).Add(ev.Elapsed.Seconds(), pooledSamples)
	case Errored, ConnectFailed, Reset, TimedOut:
		if ev.Outcome != TimedOut || a.startedAt == 0 {
			b.fleet.recordHealth(now, w, r.Class, true)
		}
	}
}

// recordServed splits the time of a served attempt into transfer, queue wait and run time.
func (b *Balancer) recordServed(now time.Duration, r *request, a *attempt, elapsed float64) {
	w := a.worker
	process := max(0, elapsed-b.estimator.transferTo(now, &w.profile, w.zone, r.job))
	run := min(process, b.estimator.slowdownOf(now, &w.profile, w.kind)*b.estimator.sizeOf(r.job))
	if a.startedAt > 0 {
		run = min(process, (now - a.startedAt).Seconds())
	}
	b.estimator.learnProcess(now, &w.profile, w.kind, r.job, a.freeSlots, b.fleet.slotsOf(w), process-run, run)
}
