package balance

import (
	"slices"
	"time"
)

const (
	sparseFraction = 0.125                 // of the workers known to have free slots: enough to choose from
	probeTimeout   = 10 * time.Millisecond // a probe is answered within it, with a new connection
	probesPerRound = 3                     // more dispatchers would find the same worker free
	maxProbes      = 8                     // workers probed for a request
	fullBackoff    = 2 * time.Second       // for which a worker that rejected a probe is avoided
)

// In a large fleet a dispatcher gets reports of each worker too seldom to know which are free. It then probes
// a few, in turn the best by forecast and one at random, and takes the least total of these. The random one
// is a warming-up worker if any: its warm-up budget is divided among the dispatchers.

// probe sends probes for a request and reports whether it did: only where the known reports are too few.
func (b *Balancer) probe(now time.Duration, r *request, f forecast) bool {
	needless := len(r.probed) == 0 && !b.sparseReports && !b.fleet.listStale(now)
	if !b.settings.Limits.Probes || r.probingDone || needless {
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

// probesAnswered places the request by the answers. If none shows a free slot, further workers are probed.
func (b *Balancer) probesAnswered(now time.Duration, r *request) {
	if r.probingDone || r.over {
		return
	}
	// A class of lower value accepts a short wait. For a key with busy homes any free worker will do.
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

// probeDone records a probe's answer, which replaces any earlier report.
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
