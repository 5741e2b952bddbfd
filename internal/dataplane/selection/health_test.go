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
		{"no connection", []Failure{FailureConnect}, 500 * ms},
		{"time-out", []Failure{FailureTimeout}, time.Second},
		{"broken once", []Failure{FailureBroken}, 0},
		{"broken twice", []Failure{FailureBroken, FailureBroken}, 500 * ms},
		{"an error status", []Failure{FailureStatus, FailureStatus}, 0},
		{"KV transfers", []Failure{FailureTransfer, FailureTransfer, FailureTransfer}, 0},
		{"the wrong stage", []Failure{FailureMisrouted}, 500 * ms},
		{"sent before the first failed", []Failure{FailureConnect, FailureConnect, FailureConnect}, 500 * ms},
	}
	for _, c := range cases {
		var h health
		for _, cause := range c.causes {
			h.recordFailure(time.Second, cause)
		}
		if want := time.Second + c.ejection; h.ejectedUntil != want && (c.ejection != 0 || h.ejectedUntil != 0) {
			t.Errorf("%s: ejected until %v, want %v", c.name, h.ejectedUntil, want)
		}
	}
}

func TestHealth_RecordFailure_backoffIsBounded(t *testing.T) {
	var h health
	now, want := time.Duration(0), []time.Duration{500 * ms, time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second}
	for i, span := range want {
		h.recordFailure(now, FailureConnect)
		if h.ejectedUntil-now != span {
			t.Errorf("ejection %d takes %v, want %v", i, h.ejectedUntil-now, span)
		}
		now = h.ejectedUntil
		if !h.available(now, 0) || h.available(now, 1) {
			t.Errorf("after ejection %d: not exactly one call", i)
		}
	}
}

func TestHealth_RecordSuccess_slowStart(t *testing.T) {
	var h health
	h.recordFailure(0, FailureConnect)
	for _, most := range []int{1, 2, 4, 8} {
		if !h.available(time.Second, most-1) || h.available(time.Second, most) {
			t.Errorf("the limit of calls at once is not %d", most)
		}
		h.recordSuccess()
	}
	if !h.available(time.Second, 100) || h.ejectionLevel != 0 {
		t.Errorf("slow start is not over: %+v", h)
	}
}

func TestSelector_Choose_avoidsUnreachableWorker(t *testing.T) {
	s, _ := newTestSelector(2, 2, 1)
	r := newTestRequest(0, 3, 4000, 3000)
	c, _ := s.Choose(0, r, nil)
	s.Failed(0, s.Sent(0, r, CallRun, c), FailureConnect)
	for key := range uint64(50) {
		if next, _ := s.Choose(ms, newTestRequest(ms, key, 1600, 300), nil); next.Run == c.Run {
			t.Fatal("the worker is chosen again within a millisecond")
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
		t.Errorf("sent %v to %q after %q, want the one ejected first, alone", v.Admit, idOf(c.Run), idOf(c.Prefill))
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
		t.Error("the pair is not penalized, or another is")
	}
	if later := svc.pairPenalty(5*pairFailureDecay, from, to); later > pairFailurePenalty/50 {
		t.Errorf("the penalty does not decay: %v", later)
	}
	if svc.transferFailureProbability(0) <= before || svc.transferFailureProbability(10*transferFailureDecay) > 2*before {
		t.Error("the probability of a failure does not rise and fall again")
	}
	if !to.health.available(0, 0) || svc.pools[classDecode].slowdown.N != 0 || svc.transferTimes.Samples != nil {
		t.Error("a failed transfer ejects the worker, or adds a sample")
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
		t.Error("a pair is chosen after 40 failed transfers")
	}
	if c, _ := s.Choose(time.Minute, newTestRequest(time.Minute, 9, 1600, 9000), nil); c.Prefill == nil {
		t.Error("no pair is chosen a minute later")
	}
}
