package balance

import (
	"slices"
	"testing"
	"time"
)

// A request whose attempts were all rejected as full is rejected with RetryAfter, too.
func TestBalancer_rejectionAfterLastAttemptHasRetryAfter(t *testing.T) {
	s := testSettings(0)
	s.Limits.MaxAttempts = 1
	b := newBusyBalancer(t, s)
	b.estimator.meanRun.Add(0.1, pooledSamples)
	worker := b.requests[1].attempts[0].worker.id
	actions := b.Handle(0, AttemptDone{Request: 1, Worker: worker, Outcome: Full})
	for _, a := range actions {
		if r, ok := a.(Reject); ok && r.RetryAfter > 0 {
			return
		}
	}
	t.Errorf("after the last attempt was rejected: got actions %+v, want a Reject with RetryAfter", actions)
}

// A worker that accepts a job and reports no start may hang. That counts as a failure, its idle connections
// are closed, and an idempotent request is hedged. A non-idempotent one is not hedged, and nothing happens to
// a job that has started.
func TestBalancer_checkStart_overdue(t *testing.T) {
	for name, c := range map[string]struct {
		class, failures, hedges int
		started                 bool
	}{
		"idempotent":     {class: 0, failures: 1, hedges: 1},
		"non-idempotent": {class: 4, failures: 1},
		"started":        {class: 0, started: true},
	} {
		s := testSettings(0)
		s.Limits.HedgedRequests = true
		b := newTestBalancer(t, s, 1)
		now := time.Hour
		b.Handle(now, workerList(ListFull, 3))
		first := slices.Clone(b.Handle(now, Request{ID: 1, Class: c.class, Deadline: now + 4*time.Second}))
		if countActions[Send](first) != 1 {
			t.Fatalf("%s: got actions %+v for the request, want one Send", name, first)
		}
		if c.started {
			b.Handle(now, AttemptProgress{Request: 1, Attempt: 0, Started: true})
		}
		var later []Action
		for _, a := range first {
			if timer, ok := a.(SetTimer); ok && timer.After < 2*time.Second {
				later = append(later, b.Handle(now+timer.After, TimerFired{Token: timer.Token})...)
			}
		}
		if got := countActions[CloseIdle](later); got != c.failures {
			t.Errorf("%s: got %d CloseIdle after the start was overdue, want %d", name, got, c.failures)
		}
		if got := countActions[Send](later); got != c.hedges {
			t.Errorf("%s: got %d hedges after the start was overdue, want %d", name, got, c.hedges)
		}
		probability := 0.
		for _, w := range b.fleet.workers {
			probability = max(probability, b.fleet.failureProbability(now+time.Second, w, c.class))
		}
		if (probability > 0.1) != (c.failures > 0) {
			t.Errorf("%s: got failure probability %.2f, want above 0.1: %v", name, probability, c.failures > 0)
		}
	}
}
