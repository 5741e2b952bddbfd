package balance

import (
	"slices"
	"time"
)

const (
	sparseFraction = 0.125                 // part of the workers known to have room that is enough to choose from
	probeTimeout   = 10 * time.Millisecond // a probe is answered well within it, a new connection included
	probesPerRound = 3                     // workers asked at a time: more would all see the same one free
	maxProbes      = 8                     // workers asked for a request
	fullBackoff    = 2 * time.Second       // that a worker which wants nothing new is passed over
)

// On a large fleet a dispatcher hears of each worker too seldom to know who is free. There it asks a few
// by probes, the best forecast and one at random in turn, and takes the least total of these. At random
// is a cold one if any: no other dispatcher may use up this one's share of its budget.

// probe asks for reports where the dispatcher cannot know better; else the request goes by what is known.
func (b *Balancer) probe(now time.Duration, r *request, f forecast) bool {
	if !b.settings.Limits.Probes || r.probingDone || len(r.probed) == 0 && !b.sparseReports && !b.fleet.listStale(now) {
		return false
	}
	if len(r.probed) == 0 {
		r.probedAt, r.unanswered = now, 0
		b.probing = append(b.probing, r)
	}
	before := len(r.probed)
	for ok := true; ok && len(r.probed) < min(before+probesPerRound, maxProbes); f, ok = b.choose(now, r) {
		if len(r.probed)%2 == 1 {
			f.worker = b.randomCandidate
		}
		r.probed = append(r.probed, f.worker)
		r.unanswered++
		b.emit(Probe{Worker: f.worker.id})
	}
	began, asked := r.probedAt, len(r.probed)
	b.schedule(probeTimeout, func(now time.Duration) {
		if r.probedAt == began && len(r.probed) == asked {
			b.probesAnswered(now, r)
		}
	})
	return true
}

// probesAnswered decides by the answers that have come. Where none tells of room, others are asked.
func (b *Balancer) probesAnswered(now time.Duration, r *request) {
	if r.probingDone || r.over {
		return
	}
	// Who is worth less takes a place where it waits a little. Beside a key's busy homes a free one will do.
	probed, needed := r.probed, r.Slots-halfSlot-(1-r.class.Value/b.maxValue)
	r.probed, r.candidates = nil, slices.DeleteFunc(slices.Clone(probed), func(w *worker) bool {
		free := b.fleet.freeSlots(now, w, b.estimator.run.Or(defaultRunTime, 1))
		return r.Key != 0 && free < needed || !w.reported || w.reportedAt < r.probedAt
	})
	f, ok := b.choose(now, r)
	if r.candidates = nil; ok && f.free >= needed {
		b.endProbing(r)
		b.send(now, r, f)
		return
	}
	r.probed = probed
	if f, ok := b.choose(now, r); ok && len(r.probed) < maxProbes && b.probe(now, r, f) {
		return
	}
	b.endProbing(r)
	b.place(now, r)
}

func (b *Balancer) endProbing(r *request) {
	r.probingDone, r.probed = true, nil
	b.probing = slices.DeleteFunc(b.probing, func(one *request) bool { return one == r })
}

// probeDone takes in a probe's answer, which is fresher than any report before it.
func (b *Balancer) probeDone(now time.Duration, ev ProbeDone) {
	w := b.fleet.byID[ev.Worker]
	if w == nil {
		return
	}
	switch ev.Outcome {
	case Served:
		w.reported, w.lastSeenAt = false, now
		b.fleet.recordReport(now, w, ev.Report)
	case Full:
		w.refusing = true
		b.schedule(fullBackoff, func(time.Duration) { w.refusing = false })
	default:
		w.health[0].Add(now, healthDecay, true)
		b.fleet.health[0].Add(now, healthDecay, true)
	}
	for _, r := range slices.Clone(b.probing) {
		if !slices.Contains(r.probed, w) {
			continue
		}
		if r.unanswered--; r.unanswered == 0 {
			b.probesAnswered(now, r)
		}
	}
}
