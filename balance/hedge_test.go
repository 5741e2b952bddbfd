package balance

import (
	"testing"
	"time"
)

// waiting returns a single dispatcher that sent a request, got no start report and ran its timers for a while, with its
// actions.
func sendWithoutStartReport(t *testing.T, effect Effect) (*driver, []Send) {
	s := testSettings(0)
	s.Balancers, s.Limits.HedgedRequests, s.Limits.Messages = 1, true, false
	s.Classes = s.Classes[:1]
	s.Classes[0].Effect = effect
	st := &driver{balancer: newTestBalancer(t, s, 1), checker: newChecker(s), now: time.Hour}
	st.handle(workerList(ListFull, 3))
	st.handle(Request{ID: 1, HasCost: true, Cost: 200 * time.Millisecond, Slots: 1, Deadline: st.now + 4*time.Second})
	began := st.now
	for ; st.now < began+2*hedgeDelay; st.now += 5 * time.Millisecond {
		st.fireTimers()
	}
	var sends []Send
	for _, a := range st.actions {
		if a, ok := a.(Send); ok {
			sends = append(sends, a)
		}
	}
	return st, sends
}

// A request whose start is not reported soon is queued at its worker: if it may run twice, it is hedged, and the attempt
// that starts first has the other cancelled.
func TestBalancer_hedge_requestQueuedAtWorker(t *testing.T) {
	st, sends := sendWithoutStartReport(t, Idempotent)
	if len(sends) != 2 || sends[0].Worker == sends[1].Worker {
		t.Fatalf("%+v", sends)
	}
	before := len(st.actions)
	st.handle(AttemptProgress{Request: 1, Attempt: 1, Worker: sends[1].Worker, Started: true})
	called := false
	for _, a := range st.actions[before:] {
		if c, ok := a.(Cancel); ok && c.Attempt == 0 {
			called = true
		} else if ok {
			t.Errorf("%+v cancelled", c)
		}
	}
	if !called {
		t.Error("the queued attempt was not cancelled")
	}
	if _, sends := sendWithoutStartReport(t, NonIdempotent); len(sends) != 1 {
		t.Errorf("a job that must not run twice was sent %d times", len(sends))
	}
}

// Free slots beside a FIFO queue are reserved for its head.
func TestFleet_queuedSlots_fifoReservesFreeSlots(t *testing.T) {
	for _, order := range []QueueOrder{FIFO, Backfill} {
		s := testSettings(0)
		s.QueueOrder = order
		b := newTestBalancer(t, s, 1)
		b.Handle(0, workerList(ListFull, 1))
		w := b.fleet.workers[0]
		b.fleet.recordReport(0, w, []float32{3, 1.01}) // free slots, waiting
		if freeSlots := b.fleet.freeSlots(0, w, 1) > 0; freeSlots == (order == FIFO) {
			t.Errorf("order %d: %.1f slots free", order, b.fleet.freeSlots(0, w, 1))
		}
	}
}

// A wait costs most where it makes the job late.
func TestBalancer_predict_lateProbability(t *testing.T) {
	b := newTestBalancer(t, testSettings(0), 1)
	b.Handle(0, workerList(ListFull, 1))
	b.fleet.recordReport(0, b.fleet.workers[0], []float32{0, 2})
	b.fleet.workers[0].lastSeenAt = 1
	r := &request{class: &b.settings.Classes[0], job: job{size: 1, slots: 1}, Request: Request{Slots: 1}}
	total := func(left float64) float64 { return b.predict(0, r, b.fleet.workers[0], 1, 5, left).totalCost }
	if never, maybe, surely := total(1e6), total(1.5), total(0.1); never >= maybe || maybe >= surely || surely-never < 4.9 {
		t.Errorf("totals %.2f, %.2f and %.2f with ever less time left", never, maybe, surely)
	}
}
