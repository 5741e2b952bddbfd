package balance

import (
	"slices"
	"time"
)

const (
	thinPart  = 0.125                 // part of the workers known to have room that is enough to choose from
	scoutStep = 10 * time.Millisecond // a probe is answered well within it, a new connection included
	scoutWide = 3                     // workers asked at a time: more would all see the same one free
	scoutMost = 8                     // workers asked for a request
	shutFor   = 2 * time.Second       // that a worker which wants nothing new is passed over
)

// On a large fleet a dispatcher hears of each worker too seldom to know who is free. There it asks a few
// by probes, the best forecast and one at random in turn, and takes the least total of these. At random
// is a cold one if any: no other dispatcher may use up this one's share of its budget.

// scout asks for reports where the dispatcher cannot know better; else the request goes by what is known.
func (b *Balancer) scout(now time.Duration, r *request, f forecast) bool {
	if !b.settings.Limits.Probes || r.scouted || len(r.asked) == 0 && !b.thin && !b.fleet.stale(now) {
		return false
	}
	if len(r.asked) == 0 {
		r.scoutAt, r.silent = now, 0
		b.scouting = append(b.scouting, r)
	}
	round := len(r.asked)
	for ok := true; ok && len(r.asked) < min(round+scoutWide, scoutMost); f, ok = b.choose(now, r) {
		if len(r.asked)%2 == 1 {
			f.worker = b.stray
		}
		r.asked = append(r.asked, f.worker)
		r.silent++
		b.do(Probe{Worker: f.worker.id})
	}
	began, asked := r.scoutAt, len(r.asked)
	b.after(scoutStep, func(now time.Duration) {
		if r.scoutAt == began && len(r.asked) == asked {
			b.scouted(now, r)
		}
	})
	return true
}

// scouted decides by the answers that have come. Where none tells of room, others are asked.
func (b *Balancer) scouted(now time.Duration, r *request) {
	if r.scouted || r.over {
		return
	}
	// Who is worth less takes a place where it waits a little. Beside a key's busy homes a free one will do.
	asked, need := r.asked, r.Slots-half-(1-r.class.Worth/b.topWorth)
	r.asked, r.among = nil, slices.DeleteFunc(slices.Clone(asked), func(w *worker) bool {
		free := b.fleet.freeSlots(now, w, b.est.run.Or(usualRun, 1))
		return r.Key != 0 && free < need || !w.reported || w.reportedAt < r.scoutAt
	})
	f, ok := b.choose(now, r)
	if r.among = nil; ok && f.free >= need {
		b.endScout(r)
		b.send(now, r, f)
		return
	}
	r.asked = asked
	if f, ok := b.choose(now, r); ok && len(r.asked) < scoutMost && b.scout(now, r, f) {
		return
	}
	b.endScout(r)
	b.place(now, r)
}

func (b *Balancer) endScout(r *request) {
	r.scouted, r.asked = true, nil
	b.scouting = slices.DeleteFunc(b.scouting, func(one *request) bool { return one == r })
}

// probed takes in a probe's answer, which is fresher than any report before it.
func (b *Balancer) probed(now time.Duration, ev ProbeDone) {
	w := b.fleet.byID[ev.Worker]
	if w == nil {
		return
	}
	switch ev.Outcome {
	case Served:
		w.reported, w.heardAt = false, now
		b.fleet.report(now, w, ev.Report)
	case Full:
		w.shut = true
		b.after(shutFor, func(time.Duration) { w.shut = false })
	default:
		w.health[0].Add(now, healthLife, true)
		b.fleet.health[0].Add(now, healthLife, true)
	}
	for _, r := range slices.Clone(b.scouting) {
		if !slices.Contains(r.asked, w) {
			continue
		}
		if r.silent--; r.silent == 0 {
			b.scouted(now, r)
		}
	}
}
