package balance

import (
	"slices"
	"time"

	"ospreybend/internal/util/stats"
)

const (
	startOverdue = 400 * time.Millisecond // a start is overdue after this, a mean run and two waits
	hedgeDelay   = 100 * time.Millisecond // a start is told within it, unless the job has to wait
	transitTime  = 30 * time.Millisecond  // that a send takes to where repeats are dropped for a while
)

// firstPossiblyRun returns the earliest attempt that may have had effect.
func (r *request) firstPossiblyRun() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// deduplicates tells whether a worker drops the repeats of what ran at the first.
func deduplicates(c *Class, first, w *worker) bool {
	return c.Effect != Deduplicated || c.Group == GroupAll ||
		c.Group == GroupZone && first.zone == w.zone || c.Group == GroupCell && first.cell == w.cell
}

// permit is the one gate of rule 2: whether a request may be sent again or refused after its attempts.
func (b *Balancer) permit(now time.Duration, r *request) (send, refuse bool) {
	first, effect := r.firstPossiblyRun(), r.class.Effect
	send = len(r.attempts) < b.settings.Limits.MaxAttempts && (r.inFlight == 0 || b.settings.Limits.HedgedRequests)
	if first == nil {
		return send, true
	}
	send = send && effect != NonIdempotent && (effect != Deduplicated || now <= first.sentAt+r.class.Window-transitTime)
	return send, effect == Idempotent || effect == Deduplicated && r.class.Group == GroupAll
}

func (b *Balancer) send(now time.Duration, r *request, f forecast) {
	if maySend, _ := b.permit(now, r); r.over || now >= r.Deadline || !maySend {
		return
	}
	w := f.worker
	b.fleet.spendWarmupBudget(now, w, f.cost)
	r.attempts = append(r.attempts, attempt{worker: w, workerStarted: w.startedAt, sentAt: now, inFlight: true, mayHaveRun: true,
		freeSlots: f.free})
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

// hedge sends a copy of what still waits in a queue, or runs where nothing ends, to where a slot is
// free, if that may be repeated. The one that starts first has a waiting one called off: it cost nothing.
func (b *Balancer) hedge(now time.Duration, r *request, index int, evenRunning bool) {
	maySend, _ := b.permit(now, r)
	if a := &r.attempts[index]; r.over || r.inFlight != 1 || !a.inFlight || a.startedAt > 0 && !evenRunning || !maySend {
		return
	}
	r.probingDone, r.probed = false, nil
	f, ok := b.choose(now, r)
	if ok && f.delay <= b.timeLeft(now, r) && !b.probe(now, r, f) && f.free >= r.Slots {
		b.send(now, r, f)
	}
}

// checkStart checks on an attempt whose start is overdue. A worker silent for so long may hang: it is
// blamed, next reached anew, and what may be repeated is also sent where a slot is free.
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
		b.enqueue(now, r) // a second 'full' tells that the knowledge of who is free is poor: wait for better
		return
	}
	b.place(now, r)
}

// recordOutcome books what an outcome says of the worker. Only 'served' and 'full' feed windows.
func (b *Balancer) recordOutcome(now time.Duration, r *request, a *attempt, ev AttemptDone) {
	w := a.worker
	if w.startedAt != a.workerStarted || b.fleet.byID[w.id] != w {
		return // another process answers by that name now
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
			// Something else is wrong with it, and with nothing in work it would draw ever more.
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

func (b *Balancer) recordServed(now time.Duration, r *request, a *attempt, elapsed float64) {
	w := a.worker
	process := max(0, elapsed-b.estimator.transferTo(now, &w.profile, w.zone, r.job))
	run := min(process, b.estimator.slowdownOf(now, &w.profile, w.kind)*b.estimator.sizeOf(r.job))
	if a.startedAt > 0 {
		run = min(process, (now - a.startedAt).Seconds())
	}
	b.estimator.learnProcess(now, &w.profile, w.kind, r.job, a.freeSlots, b.fleet.slotsOf(w), process-run, run)
}
