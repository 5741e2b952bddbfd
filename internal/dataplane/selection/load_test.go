package selection

import (
	"math"
	"testing"
	"time"
)

func TestService_ForeignLoad_excludesOwnCalls(t *testing.T) {
	s, _ := newTestSelector(1, 1, 1)
	svc := s.services["m"]
	w := svc.byClass[classDecode][0]
	r := newTestRequest(0, 1, 160, 100)
	own := s.Sent(0, r, CallRun, Choice{Run: w.entry})
	started := s.Sent(0, r, CallRun, Choice{Run: w.entry})
	s.FirstEvent(ms, started)
	svc.recordLoad(ms, w, &Load{Running: 9, Waiting: 4, Slots: 64}, w.ownCallsExcept(started))
	waiting, running := svc.foreignLoad(ms, w)
	if math.Abs(waiting-3) > 0.1 || math.Abs(running-8) > 0.1 {
		t.Errorf("foreign load: %v waiting, %v running; want 3 and 8", waiting, running)
	}
	if l := svc.estimateLoad(ms, w); l.running < 8.5 || l.waiting <= waiting {
		t.Errorf("own requests do not count: %+v", l)
	}
	s.Abandoned(2*ms, own)
	waiting, running = svc.foreignLoad(time.Minute, w)
	if waiting > 0.01 || running > 0.01 {
		t.Errorf("a minute later: %v and %v", waiting, running)
	}
}

func TestService_RecordLoad_detectsExcludedOwnRequest(t *testing.T) {
	s, _ := newTestSelector(1, 1, 1)
	svc := s.services["m"]
	w := svc.byClass[classPrefill][0]
	tell := func(now time.Duration, l Load) {
		call := s.Sent(now, newTestRequest(now, 1, 160, 100), CallPrefill, Choice{Prefill: w.entry})
		s.Done(now+ms, call, &l)
	}
	tell(0, Load{Running: 1})
	if w.report.waiting != 0 {
		t.Errorf("its own request counts as foreign: %v", w.report.waiting)
	}
	tell(ms, Load{})
	tell(2*ms, Load{Running: 1})
	if w.report.waiting != 1 {
		t.Errorf("reports exclude their own request, yet one of 1 counts as %v", w.report.waiting)
	}
}

func TestService_RecordLoad_ignoresInvalidReports(t *testing.T) {
	s, _ := newTestSelector(1, 1, 1)
	svc := s.services["m"]
	w := svc.byClass[classDecode][0]
	svc.recordLoad(0, w, &Load{Running: -1}, callCounts{})
	svc.recordLoad(0, w, nil, callCounts{})
	if w.report.known {
		t.Error("an invalid report was recorded")
	}
	svc.recordLoad(0, w, &Load{}, callCounts{3, 5})
	if w.report.running != 0 || w.report.waiting != 0 {
		t.Errorf("fewer than this node's own: %+v", w.report)
	}
}

func TestSelector_Rejected_workerCountsAsFull(t *testing.T) {
	s, _ := newTestSelector(1, 2, 1)
	svc := s.services["m"]
	w := svc.byClass[classDecode][0]
	call := s.Sent(0, newTestRequest(0, 1, 160, 100), CallRun, Choice{Run: w.entry})
	s.Rejected(ms, call, nil)
	if l := svc.estimateLoad(2*ms, w); l.running < 64 {
		t.Errorf("not full: %+v", l)
	}
	if l := svc.estimateLoad(fullAfterRejection+2*ms, w); l.running > 1 {
		t.Errorf("still full: %+v", l)
	}
	if w.slowdown[classDecode].Samples != nil || len(w.calls) != 0 {
		t.Error("it added a sample of processing time, or is still in flight")
	}
}

func TestService_EstimateLoad_overdueCallStalls(t *testing.T) {
	s, _ := newTestSelector(2, 2, 1)
	svc := s.services["m"]
	w := svc.byClass[classPrefill][0]
	s.Sent(0, newTestRequest(0, 1, 160, 1000), CallPrefill, Choice{Prefill: w.entry})
	if l := svc.estimateLoad(50*ms, w); l.stall > 0 {
		t.Errorf("in time, yet %v late", l.stall)
	}
	if l := svc.estimateLoad(time.Second, w); l.stall < 0.5 {
		t.Errorf("a second later it is %v late", l.stall)
	}
}

func TestService_MemoryPenalty_avoidsFullWorkers(t *testing.T) {
	s, _ := newTestSelector(1, 2, 1)
	svc := s.services["m"]
	w := svc.byClass[classDecode][0]
	if svc.memoryPenalty(w, workerLoad{}, 10000) != 0 {
		t.Error("an empty worker is penalized")
	}
	for range 30 {
		s.Sent(0, newTestRequest(0, 1, 160, 9000), CallRun, Choice{Run: w.entry})
	}
	if got := svc.memoryPenalty(w, svc.estimateLoad(0, w), 10000); got <= 0 {
		t.Errorf("30 requests of 9,180 tokens in 300,000: %v", got)
	}
	if c, _ := s.Choose(0, newTestRequest(0, 2, 160, 9000), nil); c.Run == w.entry {
		t.Error("the fuller worker is chosen")
	}
}
