package balance

import (
	"slices"
	"time"
)

const (
	sparseReportFraction  = 0.125                 // of the workers: no probes if so many are known to be free
	probeTimeout          = 10 * time.Millisecond // enough for the response, even over a new connection
	probesPerRound        = 3                     // with more, more balancers would find the same worker free
	maxProbes             = 8                     // workers probed for an attempt
	probeRejectionBackoff = 2 * time.Second       // a worker that rejected a probe is avoided for this long
)

// In a large fleet a balancer gets load reports too rarely to know which workers are free. It then probes
// a few, alternating between the best by forecast and one at random, and takes the one of least cost. The
// random one is a warming-up worker if there is any, as each balancer has only a share of its budget.

// sendProbes sends probes for a request if too few load reports are known, and reports whether it did.
func (b *Balancer) sendProbes(now time.Duration, r *request, f forecast) bool {
	reportsSuffice := len(r.probed) == 0 && !b.sparseReports && !b.fleet.listStale(now)
	if !b.settings.Limits.Probes || r.probingDone || reportsSuffice {
		return false
	}
	if len(r.probed) == 0 {
		r.probingStartedAt, r.pendingProbes = now, 0
		b.probingRequests = append(b.probingRequests, r)
	}
	most := min(len(r.probed)+probesPerRound, maxProbes)
	for ok := true; ok && len(r.probed) < most; f, ok = b.choose(now, r) {
		if len(r.probed)%2 == 1 {
			f.worker = b.randomCandidate
		}
		r.probed = append(r.probed, f.worker)
		r.pendingProbes++
		b.emit(Probe{Worker: f.worker.id})
	}
	startedAt, probedCount := r.probingStartedAt, len(r.probed)
	b.schedule(probeTimeout, func(now time.Duration) {
		if r.probingStartedAt == startedAt && len(r.probed) == probedCount {
			b.evaluateProbes(now, r)
		}
	})
	return true
}

// evaluateProbes places a request by the responses to its probes, or probes more if none shows a free slot.
func (b *Balancer) evaluateProbes(now time.Duration, r *request) {
	if r.probingDone || r.finished {
		return
	}
	// A class of lower value accepts a short wait. A request goes to any free worker if its homes are busy.
	probed, neededSlots := r.probed, r.Slots-reportTolerance-(1-r.class.Value/b.maxValue)
	r.probed, r.candidates = nil, slices.DeleteFunc(slices.Clone(probed), func(w *worker) bool {
		free := b.fleet.freeSlots(now, w, b.estimator.meanRun.Blend(defaultRunTime, 1))
		return r.Key != 0 && free < neededSlots || !w.hasReport || w.reportedAt < r.probingStartedAt
	})
	f, ok := b.choose(now, r)
	if r.candidates = nil; ok && f.freeSlots >= neededSlots {
		b.endProbing(r)
		b.send(now, r, f)
		return
	}
	r.probed = probed
	if f, ok := b.choose(now, r); ok && len(r.probed) < maxProbes && b.sendProbes(now, r, f) {
		return
	}
	b.endProbing(r)
	b.place(now, r)
}

// endProbing ends the probing for the request's next attempt.
func (b *Balancer) endProbing(r *request) {
	r.probingDone, r.probed = true, nil
	b.probingRequests = slices.DeleteFunc(b.probingRequests, func(other *request) bool { return other == r })
}

// handleProbeDone records the response to a probe, which replaces earlier load reports.
func (b *Balancer) handleProbeDone(now time.Duration, ev ProbeDone) {
	w := b.fleet.byID[ev.Worker]
	if w == nil {
		return
	}
	switch ev.Outcome {
	case Served:
		w.hasReport, w.lastSeenAt = false, now
		b.fleet.recordReport(now, w, ev.Report)
	case Full:
		w.rejectsProbes = true
		b.schedule(probeRejectionBackoff, func(time.Duration) { w.rejectsProbes = false })
	default:
		w.failureRates[0].Add(now, failureDecayTime, true)
		b.fleet.failureRates[0].Add(now, failureDecayTime, true)
	}
	for _, r := range slices.Clone(b.probingRequests) {
		if !slices.Contains(r.probed, w) {
			continue
		}
		if r.pendingProbes--; r.pendingProbes == 0 {
			b.evaluateProbes(now, r)
		}
	}
}
