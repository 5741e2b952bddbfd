package balance

import (
	"math"
	"slices"
	"time"
)

const (
	holdStep   = 20 * time.Millisecond // a held request looks for a worker this often
	holdLooks  = 8.                    // looks in the time a job runs, where that is longer
	holdTop    = 3                     // doublings of that at most
	firstTry   = 0.5                   // part of its total that a worker not heard of counts for, once
	nearTie    = 0.01                  // totals within this part of the least are tied
	ownWait    = 0.1                   // part of its time left that any job may wait in a queue
	fullOdds   = 0.5                   // hold a job that is turned away more likely than this
	lateCredit = 0.25                  // part of the time past the aim that full late worth would buy
)

// place sends a request to the worker of least total, holds it or refuses it.
func (b *Balancer) place(now time.Duration, r *request) {
	if r == nil || r.over || r.out > 0 {
		return
	}
	maySend, mayRefuse := b.permit(now, r)
	if !maySend {
		b.giveUp(now, r, b.est.run.Or(0, 0))
		return
	}
	f, ok := b.choose(now, r)
	// What it runs for at the usual pace, and has left for it.
	best, left := b.est.sizeOf(r.job)*min(1, b.est.allPace.Or(1, 1)), b.timeLeft(now, r)
	hopeless := f.delay-f.run+best > left // by the usual pace: first slow jobs would make all look so
	switch {
	case ok && b.scout(now, r, f):
	case !ok && best > left:
		b.giveUp(now, r, b.est.run.Or(0, 0)) // held past any use
	case !ok:
		b.hold(now, r)
	case b.out == 0: // a dispatcher that refuses all on a wrong estimate never learns better
		b.send(now, r, f)
	case hopeless && mayRefuse && (!r.scouted || best > left): // others than the few asked may have room
		b.giveUp(now, r, f.delay-f.run+best-left)
	case hopeless && r.scouted || f.full > fullOdds || f.delay-f.run > max(b.patience(r), left*ownWait):
		b.hold(now, r)
	default:
		b.send(now, r, f)
	}
}

// patience is the queue wait, in seconds, that a job may be sent into: the slack of the tightest
// class worth as much or more. Jobs with time to spare, which wait here, would else make it late.
func (b *Balancer) patience(r *request) float64 {
	least := math.Inf(1)
	for i := range b.settings.Classes {
		c, size := &b.settings.Classes[i], &b.est.size[i]
		if c.Worth >= r.class.Worth && (size.N > 0 || c == r.class) {
			typical := size.Or(b.est.sizeOf(r.job), 0)
			least = min(least, c.Aim.Seconds()+(c.Stretch-b.est.allPace.Or(1, 1))*typical)
		}
	}
	return max(least, 0)
}

// timeLeft is the time, in seconds, in which an answer still pays; late ones pay by their worth.
func (b *Balancer) timeLeft(now time.Duration, r *request) float64 {
	end := (r.Deadline - now).Seconds()
	aim := min(end, b.aim(r)-(now-r.arrived).Seconds())
	return aim + lateCredit*r.class.LateWorth*(end-aim)
}

func (b *Balancer) hold(now time.Duration, r *request) { // until a worker may take it, with ever rarer looks
	r.scouted = false
	step := max(holdStep, time.Duration(b.est.run.Or(0, 0)/holdLooks*float64(time.Second)))
	r.lookAt = now + step<<min(r.looks, holdTop)
	r.looks++
	b.keep(r)
}

func (b *Balancer) keep(r *request) {
	r.holding, b.held = true, append(b.held, r)
	if !b.waking {
		b.waking = true
		b.after(holdStep, b.wake)
	}
}

// wake tries the held requests again, oldest first, and of a class that finds no worker only one.
func (b *Balancer) wake(now time.Duration) {
	b.waking = false
	line := b.held
	b.held = nil
	stuck := make([]bool, len(b.settings.Classes))
	for _, r := range line {
		fresh := len(r.attempts) == 0
		switch {
		case r.over:
		case now < r.lookAt || fresh && stuck[r.Class]:
			b.keep(r)
		default:
			r.holding = false
			b.place(now, r)
			stuck[r.Class] = stuck[r.Class] || fresh && r.holding
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
	least, first := math.Inf(1), r.firstThatMayHaveRun()
	turnover, could, known, luck := b.est.run.Or(usualRun, 1), 0, 0, -1.
	r.job.sized = b.est.sizeOf(r.job)
	aim, left := b.aim(r), b.timeLeft(now, r)
	b.ties = b.ties[:0]
	for _, w := range b.fleet.list {
		if !b.eligible(r, w, first) {
			continue
		}
		could++
		if w.reported && w.free >= r.Slots && (now-w.reportedAt).Seconds() < turnover {
			known++
		}
		f := b.forecast(now, r, w, turnover, aim, left)
		if !b.fleet.mayWarm(now, w, f.cost) {
			continue
		}
		draw := b.rng.Float64()
		if b.fleet.coldPart(now, w) < 1 {
			draw++
		}
		if draw > luck {
			b.stray, luck = w, draw
		}
		if f.total < least*(1-nearTie) {
			b.ties = b.ties[:0]
		}
		if f.total <= least*(1+nearTie) {
			b.ties = append(b.ties, f)
		}
		least = min(least, f.total)
	}
	r.job.sized = 0 // what is learned meanwhile counts for the next choice
	if b.thin = could > scoutMost && float64(known) < thinPart*float64(could); len(b.ties) == 0 {
		return forecast{}, false
	}
	return b.ties[b.rng.IntN(len(b.ties))], true
}

// forecast predicts a request's delay at a worker. The total adds own unfinished work there, and
// as time what a failure, a 'full' or another zone would cost.
func (b *Balancer) forecast(now time.Duration, r *request, w *worker, turnover, aim, left float64) forecast {
	f := forecast{worker: w, free: b.fleet.freeSlots(now, w, turnover)}
	process := b.est.processAt(now, &w.profile, w.kind, r.job, f.free, b.fleet.slotsOf(w))
	transfer := b.est.transferTo(now, &w.profile, w.zone, r.job)
	run := b.est.paceOf(now, &w.profile, w.kind) * b.est.sizeOf(r.job)
	f.cost, f.run, f.delay = run*r.Slots, transfer+run, transfer+process
	f.full = min(1, b.est.full.At(f.free-r.Slots))
	f.total = f.delay + b.fetchCost(r, w) + process*w.unfinished/b.fleet.slotsOf(w)
	f.total += aim * min(1, (f.delay-f.run)/max(left-f.run, leastRun)) // the chance that the wait makes it late
	f.total += b.fleet.failChance(now, w, r.Class) * r.class.GiveUp.Seconds()
	// Each 'full' uses up one of the attempts and its round trip.
	f.total += f.full * aim / float64(b.settings.Limits.MaxAttempts-len(r.attempts))
	if w.zone != b.settings.Zone {
		f.total += b.settings.Costs.CrossZone * aim
	}
	switch {
	case w.heardAt == 0 && b.thin && b.settings.Limits.Probes:
		f.total += b.settings.Costs.Handshake * aim // its connection is likely to be the first
	case w.heardAt == 0 && w.unfinished == 0:
		f.total *= firstTry // where the others are known, what is only pooled would never be the least
	}
	return f
}

// aim is the time, in seconds, in which an answer earns full worth.
func (b *Balancer) aim(r *request) float64 {
	return r.class.Aim.Seconds() + r.class.Stretch*b.est.sizeOf(r.job)
}

// eligible tells whether a worker may get the request's next attempt at all.
func (b *Balancer) eligible(r *request, w *worker, first *attempt) bool {
	if !b.fleet.mayTake(w) || !b.fleet.inShare(r.ID, w.zone) || (r.class.Kind >= 0 && r.class.Kind != w.kind) {
		return false
	}
	if first != nil && !inGroup(r.class, first.worker, w) || slices.Contains(r.asked, w) ||
		r.among != nil && !slices.Contains(r.among, w) {
		return false
	}
	return !slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.worker == w })
}
