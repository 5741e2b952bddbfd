package balance

import (
	"slices"
	"testing"
	"time"
)

// A request whose every attempt was rejected gets retry advice, too.
func TestBalancer_rejectionAfterLastAttemptHasRetryAfter(t *testing.T) {
	s := testSettings(0)
	s.Limits.MaxAttempts = 1
	b := newBusyBalancer(t, s)
	b.estimator.meanRun.Add(0.1, pooledSamples)
	for _, a := range b.Handle(0, AttemptDone{Request: 1, Worker: b.requests[1].attempts[0].worker.id, Outcome: Full}) {
		if r, ok := a.(Reject); ok && r.RetryAfter > 0 {
			return
		}
	}
	t.Error("no rejection with retry advice")
}

// A worker that accepts a job and reports no start may hang. That counts as a failure, its idle connections are closed,
// and an idempotent request is hedged; others are left alone, and so is a job that has started.
func TestBalancer_checkStart_overdue(t *testing.T) {
	for name, c := range map[string]struct {
		class, blamed, copies int
		started               bool
	}{
		"safe":    {class: 0, blamed: 1, copies: 1},
		"unsafe":  {class: 4, blamed: 1},
		"started": {class: 0, started: true},
	} {
		s := testSettings(0)
		s.Limits.HedgedRequests = true
		b := newTestBalancer(t, s, 1)
		now := time.Hour
		b.Handle(now, workerList(ListFull, 3))
		first := slices.Clone(b.Handle(now, Request{ID: 1, Class: c.class, Deadline: now + 4*time.Second}))
		if countActions[Send](first) != 1 {
			t.Fatalf("%s: not sent", name)
		}
		if c.started {
			b.Handle(now, AttemptProgress{Request: 1, Attempt: 0, Started: true})
		}
		var then []Action
		for _, a := range first {
			if timer, ok := a.(SetTimer); ok && timer.After < 2*time.Second {
				then = append(then, b.Handle(now+timer.After, TimerFired{Token: timer.Token})...)
			}
		}
		if got := countActions[CloseIdle](then); got != c.blamed {
			t.Errorf("%s: idle connections closed %d times", name, got)
		}
		if got := countActions[Send](then); got != c.copies {
			t.Errorf("%s: %d hedges sent", name, got)
		}
		chance := 0.
		for _, w := range b.fleet.workers {
			chance = max(chance, b.fleet.failureProbability(now+time.Second, w, c.class))
		}
		if (chance > 0.1) != (c.blamed > 0) {
			t.Errorf("%s: failure probability %.2f", name, chance)
		}
	}
}
