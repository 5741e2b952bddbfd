package balance

import (
	"testing"
	"time"

	"ospreybend/internal/util/stats"
)

// busyBalancer returns a dispatcher with one request in flight, so that it may queue and reject others.
func newBusyBalancer(t *testing.T, s Settings) *Balancer {
	t.Helper()
	b := newTestBalancer(t, s, 1)
	b.Handle(0, workerList(ListFull, 4))
	b.Handle(0, Request{ID: 1, Cost: 100 * time.Millisecond, HasCost: true, Slots: 1, Deadline: 4 * time.Second})
	return b
}

func countActions[A Action](actions []Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := a.(A); ok {
			n++
		}
	}
	return n
}

// A dispatcher by whose estimates all deadlines are infeasible must still send one request, or it never corrects them.
func TestBalancer_sendsWithNothingInFlight(t *testing.T) {
	b := newTestBalancer(t, testSettings(0), 1)
	b.Handle(0, workerList(ListFull, 4))
	stats.Of(b.estimator.queueWait, 0).AddWeighted(0, 1000, 1, pooledSamples)
	req := Request{ID: 1, Cost: time.Second, HasCost: true, Slots: 1, Deadline: 4 * time.Second}
	if got := b.Handle(0, req); countActions[Send](got) != 1 {
		t.Errorf("with nothing in flight: %v", got)
	}
	req.ID = 2
	got := b.Handle(0, req)
	if countActions[Reject](got) != 1 {
		t.Fatalf("with one in flight, an infeasible request: %v", got)
	}
	for _, a := range got {
		if r, ok := a.(Reject); ok && r.RetryAfter <= 0 {
			t.Error("the rejection has no retry advice")
		}
	}
}

// One worker's own slowdown, learned from a few outliers, must not have a request rejected: it once had four of five
// rejected without load, and as nothing was sent then, the slowdown stayed as it was.
func TestBalancer_slowWorkerSamplesDoNotReject(t *testing.T) {
	b := newBusyBalancer(t, testSettings(0))
	for _, w := range b.fleet.workers {
		for range 8 {
			w.delays.slowdown.Add(0, 1, 5, windowLen)
		}
	}
	req := Request{ID: 2, Cost: time.Second, HasCost: true, Slots: 1, Deadline: 4 * time.Second}
	if got := b.Handle(0, req); countActions[Send](got) != 1 {
		t.Errorf("want it sent: %v", got)
	}
}

// Without an eligible worker a request is rejected with retry advice once its target is out of reach, not shortly before
// its deadline.
func TestBalancer_queuedPastTargetIsRejected(t *testing.T) {
	b := newBusyBalancer(t, testSettings(0))
	b.estimator.meanRun.Add(0.1, pooledSamples)
	drained := workerList(ListFull, 4)
	for i := range drained.Workers {
		drained.Workers[i].State = Draining
	}
	b.Handle(0, drained)
	req := Request{ID: 2, Cost: 100 * time.Millisecond, HasCost: true, Slots: 1, Deadline: 4 * time.Second}
	timers := map[uint32]time.Duration{}
	note := func(now time.Duration, actions []Action) (refused bool) {
		for _, a := range actions {
			switch a := a.(type) {
			case SetTimer:
				timers[a.Token] = now + a.After
			case Reject:
				refused = a.Request == 2 && a.RetryAfter > 0
			}
		}
		return refused
	}
	if note(0, b.Handle(0, req)) {
		t.Fatal("rejected while a worker may still appear")
	}
	for now := time.Duration(0); now < time.Second; now += 5 * time.Millisecond {
		for token, at := range timers {
			if at <= now {
				delete(timers, token)
				if note(now, b.Handle(now, TimerFired{Token: token})) {
					return
				}
			}
		}
	}
	t.Error("queued past its target")
}

// A long queue wait keeps a job in the dispatcher's queue though its own target would allow it.
func TestBalancer_queuesInsteadOfDelayingStricterClass(t *testing.T) {
	s := testSettings(0)
	s.Limits.Messages = false
	s.Classes[4].Value, s.Classes[4].LatencyTarget = 5, 50*time.Millisecond
	s.Classes[0].LatencyTarget = 2 * time.Second
	b := newBusyBalancer(t, s)
	b.estimator.classSize[4].Add(0.01, pooledSamples)
	for range 50 {
		stats.Of(b.estimator.queueWait, 0).AddWeighted(0, 0.7, 1, pooledSamples)
	}
	req := Request{ID: 2, Cost: 100 * time.Millisecond, HasCost: true, Slots: 1, Deadline: 4 * time.Second}
	if got := b.Handle(0, req); countActions[Send](got)+countActions[Reject](got) != 0 || len(b.queue) != 1 {
		t.Errorf("want it queued: %v, %d queued", got, len(b.queue))
	}
}

// Placing queued jobs in a large fleet once took all the CPU.
func TestBalancer_enqueue_backsOff(t *testing.T) {
	b := newBusyBalancer(t, testSettings(0))
	r := &request{}
	b.enqueue(0, r)
	first := r.retryAt
	b.enqueue(0, r)
	if r.retryAt < 2*first {
		t.Errorf("placed after %v, then %v", first, r.retryAt)
	}
}
