package balance

import (
	"slices"
	"time"

	"ospreybend/internal/util/stats"
)

const (
	startLate = 400 * time.Millisecond // a start is overdue after this, a mean run and two waits
	startSoon = 100 * time.Millisecond // a start is told within it, unless the job has to wait
	onItsWay  = 30 * time.Millisecond  // that a send takes to where repeats are dropped for a while
)

// firstThatMayHaveRun returns the earliest attempt that may have had effect.
func (r *request) firstThatMayHaveRun() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHave }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// inGroup tells whether a worker drops the repeats of what ran at the first.
func inGroup(c *Class, first, w *worker) bool {
	return c.Effect != Keyed || c.Group == GroupAll ||
		c.Group == GroupZone && first.zone == w.zone || c.Group == GroupCell && first.cell == w.cell
}

// permit is the one gate of rule 2: whether a request may be sent again or refused after its attempts.
func (b *Balancer) permit(now time.Duration, r *request) (send, refuse bool) {
	first, effect := r.firstThatMayHaveRun(), r.class.Effect
	send = len(r.attempts) < b.settings.Limits.MaxAttempts && (r.out == 0 || b.settings.Limits.SecondCopies)
	if first == nil {
		return send, true
	}
	send = send && effect != Unsafe && (effect != Keyed || now <= first.sentAt+r.class.Window-onItsWay)
	return send, effect == Safe || effect == Keyed && r.class.Group == GroupAll
}

func (b *Balancer) send(now time.Duration, r *request, f forecast) {
	if maySend, _ := b.permit(now, r); r.over || now >= r.Deadline || !maySend {
		return
	}
	w := f.worker
	b.fleet.spend(now, w, f.cost)
	r.attempts = append(r.attempts, attempt{worker: w, started: w.started, sentAt: now, out: true, mayHave: true,
		free: f.free})
	r.out++
	b.out++
	w.unfinished += r.Slots
	b.do(Send{Request: r.ID, Worker: w.id})
	if at := len(r.attempts) - 1; b.settings.TellsStart {
		wait := 2*max(0, f.delay-f.run) + b.est.run.Or(0, 0)
		late := startLate + time.Duration(wait*float64(time.Second))
		b.after(late, func(now time.Duration) { b.look(now, r, at, late) })
		if r.out == 1 && b.settings.Limits.Cancel {
			b.after(startSoon, func(now time.Duration) { b.copyOut(now, r, at, false) })
		}
	}
}

// copyOut sends a copy of what still waits in a queue, or runs where nothing ends, to where a slot is
// free, if that may be repeated. The one that starts first has a waiting one called off: it cost nothing.
func (b *Balancer) copyOut(now time.Duration, r *request, at int, running bool) {
	maySend, _ := b.permit(now, r)
	if a := &r.attempts[at]; r.over || r.out != 1 || !a.out || a.runningAt > 0 && !running || !maySend {
		return
	}
	r.scouted, r.asked = false, nil
	f, ok := b.choose(now, r)
	if ok && f.delay <= b.timeLeft(now, r) && !b.scout(now, r, f) && f.free >= r.Slots {
		b.send(now, r, f)
	}
}

// look checks on an attempt whose start is overdue. A worker silent for so long may hang: it is
// blamed, next reached anew, and what may be repeated is also sent where a slot is free.
func (b *Balancer) look(now time.Duration, r *request, at int, late time.Duration) {
	a := r.attempts[at]
	if r.over || !a.out || a.runningAt > 0 {
		return
	}
	if left := max(a.sentAt, a.worker.heardAt) + late - now; left > 0 {
		b.after(left, func(now time.Duration) { b.look(now, r, at, late) })
		return
	}
	b.fleet.judge(now, a.worker, r.Class, true)
	b.do(CloseIdle{Worker: a.worker.id})
	b.copyOut(now, r, at, false)
}

func (b *Balancer) attemptNews(now time.Duration, ev AttemptNews) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt >= len(r.attempts) || !ev.Started {
		return
	}
	r.attempts[ev.Attempt].worker.heardAt = now
	if a := &r.attempts[ev.Attempt]; a.runningAt == 0 {
		a.runningAt = now
		b.callOff(r, false)
		took, zone := (now - a.sentAt).Seconds(), a.worker.zone
		if least, ok := b.est.floor[zone]; !ok || took < least {
			b.est.floor[zone] = took
		}
	}
}

func (b *Balancer) attemptDone(now time.Duration, ev AttemptDone) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].out {
		return
	}
	a := &r.attempts[ev.Attempt]
	a.out = false
	a.mayHave = !ev.Outcome.NeverRan()
	r.out--
	b.out--
	a.worker.unfinished -= r.Slots
	b.learn(now, r, a, ev)
	if ev.Over {
		b.end(r)
		return
	}
	b.forget(r)
	r.scouted = false
	if ev.Outcome == Full && len(r.attempts) > 1 {
		b.hold(now, r) // a second 'full' tells that the knowledge of who is free is poor: wait for better
		return
	}
	b.place(now, r)
}

// learn books what an outcome says of the worker. Only 'served' and 'full' feed windows.
func (b *Balancer) learn(now time.Duration, r *request, a *attempt, ev AttemptDone) {
	w := a.worker
	if w.started != a.started || b.fleet.byID[w.id] != w {
		return // another process answers by that name now
	}
	if ev.Outcome == Served || ev.Outcome == Full {
		w.heardAt = now
	}
	if ev.Report != nil {
		b.fleet.report(now, w, ev.Report)
	}
	switch ev.Outcome {
	case Served:
		b.learnServed(now, r, a, ev.Elapsed.Seconds())
		b.fleet.judge(now, w, r.Class, false)
	case Full:
		b.est.full.AddWeighted(a.free-r.Slots, 1, 1, poolSamples)
		if a.free >= r.Slots {
			// Something else is wrong with it, and with nothing in work it would draw ever more.
			b.fleet.judge(now, w, r.Class, true)
		}
		b.fleet.sawFull(now, w, b.est.run.Or(usualRun, 1))
		w.profile.transfer.Add(now, b.est.sizeOf(r.job), ev.Elapsed.Seconds(), windowLen)
		stats.Of(b.est.transfer, w.zone).Add(ev.Elapsed.Seconds(), poolSamples)
	case Errored, ConnectFailed, Reset, TimedOut:
		if ev.Outcome != TimedOut || a.runningAt == 0 {
			b.fleet.judge(now, w, r.Class, true)
		}
	}
}

func (b *Balancer) learnServed(now time.Duration, r *request, a *attempt, elapsed float64) {
	w := a.worker
	process := max(0, elapsed-b.est.transferTo(now, &w.profile, w.zone, r.job))
	run := min(process, b.est.paceOf(now, &w.profile, w.kind)*b.est.sizeOf(r.job))
	if a.runningAt > 0 {
		run = min(process, (now - a.runningAt).Seconds())
	}
	b.est.learnProcess(now, &w.profile, w.kind, r.job, a.free, b.fleet.slotsOf(w), process-run, run)
}
