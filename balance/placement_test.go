package balance

import (
	"testing"
	"time"

	"ospreybend/internal/util/stats"
)

// newBusyBalancer returns a balancer with one request in flight, so that it may queue and reject others.
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

// A balancer whose estimates make all deadlines look infeasible must still send one request at a time.
// Otherwise it never corrects the estimates.
func TestBalancer_sendsWithNothingInFlight(t *testing.T) {
	b := newTestBalancer(t, testSettings(0), 1)
	b.Handle(0, workerList(ListFull, 4))
	stats.Ensure(b.estimator.queueWait, 0).AddWeighted(0, 1000, 1, pooledSamples)
	req := Request{ID: 1, Cost: time.Second, HasCost: true, Slots: 1, Deadline: 4 * time.Second}
	if got := b.Handle(0, req); countActions[Send](got) != 1 {
		t.Errorf("infeasible request with nothing in flight: got actions %+v, want one Send", got)
	}
	req.ID = 2
	got := b.Handle(0, req)
	if countActions[Reject](got) != 1 {
		t.Fatalf("infeasible request with one in flight: got actions %+v, want one Reject", got)
	}
	for _, a := range got {
		if r, ok := a.(Reject); ok && r.RetryAfter <= 0 {
			t.Errorf("infeasible request: got %+v, want a positive RetryAfter", r)
		}
	}
}

// A high slowdown that was learned from a few outliers must not get a request rejected. Once four of five
// requests were rejected without load, and as nothing was sent then, the slowdown was never corrected.
func TestBalancer_slowWorkerSamplesDoNotReject(t *testing.T) {
	b := newBusyBalancer(t, testSettings(0))
	for _, w := range b.fleet.workers {
		for range 8 {
			w.delays.slowdown.Add(0, 1, 5, windowLen)
		}
	}
	req := Request{ID: 2, Cost: time.Second, HasCost: true, Slots: 1, Deadline: 4 * time.Second}
	if got := b.Handle(0, req); countActions[Send](got) != 1 {
		t.Errorf("request while all workers seem slow: got actions %+v, want one Send", got)
	}
}

// Without an eligible worker a request is rejected with RetryAfter as soon as its latency target is out of
// reach, not only shortly before its deadline.
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
	record := func(now time.Duration, actions []Action) (rejected bool) {
		for _, a := range actions {
			switch a := a.(type) {
			case SetTimer:
				timers[a.Token] = now + a.After
			case Reject:
				rejected = a.Request == 2 && a.RetryAfter > 0
			}
		}
		return rejected
	}
	if record(0, b.Handle(0, req)) {
		t.Fatal("request without an eligible worker: got rejected at once, want it queued")
	}
	for now := time.Duration(0); now < time.Second; now += 5 * time.Millisecond {
		for token, at := range timers {
			if at <= now {
				delete(timers, token)
				if record(now, b.Handle(now, TimerFired{Token: token})) {
					return
				}
			}
		}
	}
	t.Error("request without an eligible worker: not rejected with RetryAfter within 1 s")
}

// A request whose own target allows a long wait at a worker stays in the balancer's queue if that wait would
// delay a class of a higher value and a stricter target.
func TestBalancer_queuesInsteadOfDelayingStricterClass(t *testing.T) {
	s := testSettings(0)
	s.Limits.Messages = false
	s.Classes[4].Value, s.Classes[4].LatencyTarget = 5, 50*time.Millisecond
	s.Classes[0].LatencyTarget = 2 * time.Second
	b := newBusyBalancer(t, s)
	b.estimator.classSize[4].Add(0.01, pooledSamples)
	for range 50 {
		stats.Ensure(b.estimator.queueWait, 0).AddWeighted(0, 0.7, 1, pooledSamples)
	}
	req := Request{ID: 2, Cost: 100 * time.Millisecond, HasCost: true, Slots: 1, Deadline: 4 * time.Second}
	if got := b.Handle(0, req); countActions[Send](got)+countActions[Reject](got) != 0 || len(b.queue) != 1 {
		t.Errorf("request with a long queue wait: got actions %+v and %d queued, want it queued", got, len(b.queue))
	}
}

// The attempts to place a queued request become rarer. In a large fleet they once took all the CPU time.
func TestBalancer_enqueue_backsOff(t *testing.T) {
	b := newBusyBalancer(t, testSettings(0))
	r := &request{}
	b.enqueue(0, r)
	first := r.retryAt
	b.enqueue(0, r)
	if r.retryAt < 2*first {
		t.Errorf("second delay of a queued request: got %v, want at least twice the first, %v", r.retryAt, first)
	}
}
