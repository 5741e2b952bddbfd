package balance

import (
	"testing"
	"time"
)

// sendWithoutStartReport has a single balancer send a request, reports no start and fires its timers for
// twice the hedge delay. It returns the driver and all sends.
func sendWithoutStartReport(t *testing.T, effect Effect) (*driver, []Send) {
	s := testSettings(0)
	s.Balancers, s.Limits.HedgedRequests, s.Limits.Messages = 1, true, false
	s.Classes = s.Classes[:1]
	s.Classes[0].Effect = effect
	d := &driver{balancer: newTestBalancer(t, s, 1), checker: newChecker(s), now: time.Hour}
	d.handle(workerList(ListFull, 3))
	d.handle(Request{ID: 1, HasCost: true, Cost: 200 * time.Millisecond, Slots: 1,
		Deadline: d.now + 4*time.Second})
	sentAt := d.now
	for ; d.now < sentAt+2*hedgeDelay; d.now += 5 * time.Millisecond {
		d.fireTimers()
	}
	var sends []Send
	for _, a := range d.actions {
		if a, ok := a.(Send); ok {
			sends = append(sends, a)
		}
	}
	return d, sends
}

// A request whose start is not reported soon is probably queued at its worker. It is hedged if it may run
// twice, and when one attempt starts, the other is cancelled.
func TestBalancer_hedge_requestQueuedAtWorker(t *testing.T) {
	d, sends := sendWithoutStartReport(t, Idempotent)
	if len(sends) != 2 || sends[0].Worker == sends[1].Worker {
		t.Fatalf("idempotent request without a start report: got sends %+v, want 2 to different workers", sends)
	}
	before := len(d.actions)
	d.handle(AttemptProgress{Request: 1, Attempt: 1, Worker: sends[1].Worker, Started: true})
	cancelled := false
	for _, a := range d.actions[before:] {
		if c, ok := a.(Cancel); ok && c.Attempt == 0 {
			cancelled = true
		} else if ok {
			t.Errorf("after attempt 1 started: got %+v, want attempt 0 cancelled alone", c)
		}
	}
	if !cancelled {
		t.Error("after attempt 1 started: attempt 0 was not cancelled")
	}
	if _, sends := sendWithoutStartReport(t, NonIdempotent); len(sends) != 1 {
		t.Errorf("non-idempotent request without a start report: got %d sends, want 1", len(sends))
	}
}

// If a worker has both free slots and a FIFO queue, the first job in the queue needs more than these slots,
// and so none counts as free.
func TestFleet_queuedSlots_fifoReservesFreeSlots(t *testing.T) {
	for _, order := range []QueueOrder{FIFO, Backfill} {
		s := testSettings(0)
		s.QueueOrder = order
		b := newTestBalancer(t, s, 1)
		b.Handle(0, workerList(ListFull, 1))
		w := b.fleet.workers[0]
		b.fleet.recordReport(0, w, []float32{3, 1.01}) // free slots, backlog
		if hasFree := b.fleet.freeSlots(0, w, 1) > 0; hasFree == (order == FIFO) {
			t.Errorf("queue order %d, 3 free slots and 1 queued job reported: got %.1f free slots, want above 0: %v",
				order, b.fleet.freeSlots(0, w, 1), order != FIFO)
		}
	}
}

// The cost of a queue wait grows with the probability that it makes the request late.
func TestBalancer_predict_lateProbability(t *testing.T) {
	b := newTestBalancer(t, testSettings(0), 1)
	b.Handle(0, workerList(ListFull, 1))
	b.fleet.recordReport(0, b.fleet.workers[0], []float32{0, 2})
	b.fleet.workers[0].lastSeenAt = 1
	r := &request{class: &b.settings.Classes[0], job: job{size: 1, slots: 1}, Request: Request{Slots: 1}}
	total := func(left float64) float64 { return b.predict(0, r, b.fleet.workers[0], 1, 5, left).totalCost }
	never, maybe, surely := total(1e6), total(1.5), total(0.1)
	if never >= maybe || maybe >= surely || surely-never < 4.9 {
		t.Errorf("costs with 1e6, 1.5 and 0.1 s left: got %.2f, %.2f and %.2f, want growing by at least 4.9 in all",
			never, maybe, surely)
	}
}
