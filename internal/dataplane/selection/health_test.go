package selection

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func TestHealth_RecordFailure_ejection(t *testing.T) {
	cases := []struct {
		name     string
		causes   []Failure
		ejection time.Duration // 0: not ejected
	}{
		{"one failed connection", []Failure{FailureConnect}, 500 * ms},
		{"one time-out", []Failure{FailureTimeout}, time.Second},
		{"one broken response", []Failure{FailureBroken}, 0},
		{"two broken responses", []Failure{FailureBroken, FailureBroken}, 500 * ms},
		{"two error statuses", []Failure{FailureStatus, FailureStatus}, 0},
		{"three failed KV cache transfers", []Failure{FailureTransfer, FailureTransfer, FailureTransfer}, 0},
		{"one misrouted call", []Failure{FailureMisrouted}, 500 * ms},
		{"failures during the ejection", []Failure{FailureConnect, FailureConnect, FailureConnect}, 500 * ms},
	}
	for _, c := range cases {
		var h health
		for _, cause := range c.causes {
			h.recordFailure(time.Second, cause)
		}
		if want := time.Second + c.ejection; h.ejectedUntil != want && (c.ejection != 0 || h.ejectedUntil != 0) {
			t.Errorf("%s at 1s: ejectedUntil is %v, want 1s + %v (0s: no ejection)", c.name, h.ejectedUntil, c.ejection)
		}
	}
}

func TestHealth_RecordFailure_backoffIsBounded(t *testing.T) {
	var h health
	now, want := time.Duration(0), []time.Duration{500 * ms, time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second}
	for i, duration := range want {
		h.recordFailure(now, FailureConnect)
		if h.ejectedUntil-now != duration {
			t.Errorf("ejection %d lasts %v, want %v", i, h.ejectedUntil-now, duration)
		}
		now = h.ejectedUntil
		if !h.available(now, 0) || h.available(now, 1) {
			t.Errorf("after ejection %d: available with 0 and 1 calls in flight: %v and %v, want true and false", i, h.available(now, 0), h.available(now, 1))
		}
	}
}

func TestHealth_RecordSuccess_slowStart(t *testing.T) {
	var h health
	h.recordFailure(0, FailureConnect)
	for _, limit := range []int{1, 2, 4, 8} {
		if !h.available(time.Second, limit-1) || h.available(time.Second, limit) {
			t.Errorf("health %+v does not allow exactly %d concurrent calls", h, limit)
		}
		h.recordSuccess()
	}
	if !h.available(time.Second, 100) || h.ejectionLevel != 0 {
		t.Errorf("health after 4 successes: %+v, want no limit and ejectionLevel 0", h)
	}
}

func TestSelector_Choose_avoidsUnreachableWorker(t *testing.T) {
	s, _ := newTestSelector(2, 2, 1)
	r := newTestRequest(0, 3, 4000, 3000)
	c, _ := s.Choose(0, r, nil)
	s.Failed(0, s.Sent(0, r, CallRun, c), FailureConnect)
	for key := range uint64(50) {
		if next, _ := s.Choose(ms, newTestRequest(ms, key, 1600, 300), nil); next.Run == c.Run {
			t.Fatalf("Choose returned worker %s 1 ms after a connection to it failed", idOf(c.Run))
		}
	}
}

func TestSelector_Choose_fallsBackWhenAllEjected(t *testing.T) {
	s, _ := newTestSelector(1, 3, 1)
	for i, w := range s.services["m"].byClass[classDecode] {
		w.health.recordFailure(time.Duration(i)*ms, FailureConnect)
	}
	s.services["m"].byClass[classPrefill][0].health.recordFailure(0, FailureConnect)
	c, v := s.Choose(10*ms, newTestRequest(10*ms, 1, 1600, 3000), nil)
	if !v.Admit || idOf(c.Run) != "wb" || c.Prefill != nil {
		t.Errorf("all workers ejected: admitted %v, run on %q, prefill on %q; want run on wb, which was ejected first, without prefill",
			v.Admit, idOf(c.Run), idOf(c.Prefill))
	}
}

func TestSelector_Failed_transferPenalizesPair(t *testing.T) {
	s, _ := newTestSelector(2, 2, 1)
	svc := s.services["m"]
	from, to := svc.byClass[classPrefill][0], svc.byClass[classDecode][0]
	r := newTestRequest(0, 3, 4000, 3000)
	before := svc.transferFailureProbability(0)
	call := s.Sent(0, r, CallRun, Choice{Prefill: from.entry, Run: to.entry})
	s.Failed(0, call, FailureTransfer)
	if svc.pairPenalty(0, from, to) < pairFailurePenalty || svc.pairPenalty(0, from, svc.byClass[classDecode][1]) != 0 {
		t.Errorf("after a failed transfer: pairPenalty is %v, and %v for another pair; want at least %v and 0", svc.pairPenalty(0, from, to),
			svc.pairPenalty(0, from, svc.byClass[classDecode][1]), pairFailurePenalty)
	}
	if later := svc.pairPenalty(5*pairFailureDecay, from, to); later > pairFailurePenalty/50 {
		t.Errorf("pairPenalty after 5 time constants: %v, want at most %v", later, pairFailurePenalty/50)
	}
	if svc.transferFailureProbability(0) <= before || svc.transferFailureProbability(10*transferFailureDecay) > 2*before {
		t.Errorf("transferFailureProbability: %v before a failure, %v after it, %v after 10 time constants; want an increase that decays", before,
			svc.transferFailureProbability(0), svc.transferFailureProbability(10*transferFailureDecay))
	}
	if !to.health.available(0, 0) || svc.estimates[classDecode].slowdown.N != 0 || svc.transferTimes.Samples != nil {
		t.Errorf("after a failed transfer: worker available %v, %v slowdown samples, %d transfer times; want true, 0 and 0", to.health.available(0, 0),
			svc.estimates[classDecode].slowdown.N, len(svc.transferTimes.Samples))
	}
}

func TestSelector_Choose_avoidsFailingTransfers(t *testing.T) {
	s, _ := newTestSelector(2, 4, 1)
	svc := s.services["m"]
	for i := range 40 {
		now := time.Duration(i) * 50 * ms
		r := newTestRequest(now, 3, 1600, 3000)
		call := s.Sent(now, r, CallRun, Choice{Prefill: svc.byClass[classPrefill][i%2].entry, Run: svc.byClass[classDecode][i%4].entry})
		s.Failed(now, call, FailureTransfer)
	}
	if c, _ := s.Choose(2*time.Second, newTestRequest(2*time.Second, 9, 1600, 3000), nil); c.Prefill != nil {
		t.Error("Choose returned a prefill/decode pair right after 40 failed transfers, want a decode worker alone")
	}
	if c, _ := s.Choose(time.Minute, newTestRequest(time.Minute, 9, 1600, 9000), nil); c.Prefill == nil {
		t.Error("Choose returned no prefill/decode pair a minute after the failed transfers")
	}
}
