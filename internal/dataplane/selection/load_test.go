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
		t.Errorf("foreignLoad: waiting %v, running %v; want 3 and 8", waiting, running)
	}
	if l := svc.estimateLoad(ms, w); l.running < 8.5 || l.waiting <= waiting {
		t.Errorf("estimateLoad: %+v, want the foreign load plus this node's calls: running at least 8.5, waiting above %v", l, waiting)
	}
	s.Abandoned(2*ms, own)
	waiting, running = svc.foreignLoad(time.Minute, w)
	if waiting > 0.01 || running > 0.01 {
		t.Errorf("foreignLoad a minute later: waiting %v, running %v; want at most 0.01", waiting, running)
	}
}

func TestService_RecordLoad_detectsExcludedOwnRequest(t *testing.T) {
	s, _ := newTestSelector(1, 1, 1)
	svc := s.services["m"]
	w := svc.byClass[classPrefill][0]
	respond := func(now time.Duration, l Load) {
		call := s.Sent(now, newTestRequest(now, 1, 160, 100), CallPrefill, Choice{Prefill: w.entry})
		s.Done(now+ms, call, &l)
	}
	respond(0, Load{Running: 1})
	if w.report.waiting != 0 {
		t.Errorf("report of one request, which may be its own: foreign waiting is %v, want 0", w.report.waiting)
	}
	respond(ms, Load{})
	respond(2*ms, Load{Running: 1})
	if w.report.waiting != 1 {
		t.Errorf("report of one request, after a report of none: foreign waiting is %v, want 1", w.report.waiting)
	}
}

func TestService_RecordLoad_ignoresInvalidReports(t *testing.T) {
	s, _ := newTestSelector(1, 1, 1)
	svc := s.services["m"]
	w := svc.byClass[classDecode][0]
	svc.recordLoad(0, w, &Load{Running: -1}, callCounts{})
	svc.recordLoad(0, w, nil, callCounts{})
	if w.report.known {
		t.Errorf("report after a negative and a missing load: %+v, want neither recorded", w.report)
	}
	svc.recordLoad(0, w, &Load{}, callCounts{3, 5})
	if w.report.running != 0 || w.report.waiting != 0 {
		t.Errorf("foreign load from a report of fewer requests than this node's calls: %+v, want running and waiting 0", w.report)
	}
}

func TestSelector_Rejected_workerCountsAsFull(t *testing.T) {
	s, _ := newTestSelector(1, 2, 1)
	svc := s.services["m"]
	w := svc.byClass[classDecode][0]
	call := s.Sent(0, newTestRequest(0, 1, 160, 100), CallRun, Choice{Run: w.entry})
	s.Rejected(ms, call, nil)
	if l := svc.estimateLoad(2*ms, w); l.running < 64 {
		t.Errorf("load 1 ms after a rejection: %+v, want running at least 64, the number of slots", l)
	}
	if l := svc.estimateLoad(fullAfterRejection+2*ms, w); l.running > 1 {
		t.Errorf("load %v after a rejection: %+v, want running at most 1", fullAfterRejection+ms, l)
	}
	if w.slowdown[classDecode].Samples != nil || len(w.calls) != 0 {
		t.Errorf("after a rejection: %d slowdown samples, %d calls in flight; want none", len(w.slowdown[classDecode].Samples), len(w.calls))
	}
}

func TestService_EstimateLoad_overdueCall(t *testing.T) {
	s, _ := newTestSelector(2, 2, 1)
	svc := s.services["m"]
	w := svc.byClass[classPrefill][0]
	s.Sent(0, newTestRequest(0, 1, 160, 1000), CallPrefill, Choice{Prefill: w.entry})
	if l := svc.estimateLoad(50*ms, w); l.overdue > 0 {
		t.Errorf("call sent 50 ms ago is %v s overdue, want at most 0", l.overdue)
	}
	if l := svc.estimateLoad(time.Second, w); l.overdue < 0.5 {
		t.Errorf("call sent 1 s ago is %v s overdue, want at least 0.5", l.overdue)
	}
}

func TestService_MemoryPenalty_avoidsFullWorkers(t *testing.T) {
	s, _ := newTestSelector(1, 2, 1)
	svc := s.services["m"]
	w := svc.byClass[classDecode][0]
	if svc.memoryPenalty(w, workerLoad{}, 10000) != 0 {
		t.Errorf("memoryPenalty of an idle worker is %v, want 0", svc.memoryPenalty(w, workerLoad{}, 10000))
	}
	for range 30 {
		s.Sent(0, newTestRequest(0, 1, 160, 9000), CallRun, Choice{Run: w.entry})
	}
	if got := svc.memoryPenalty(w, svc.estimateLoad(0, w), 10000); got <= 0 {
		t.Errorf("memoryPenalty with 30 requests of 9,180 tokens in a cache of 300,000: %v, want above 0", got)
	}
	if c, _ := s.Choose(0, newTestRequest(0, 2, 160, 9000), nil); c.Run == w.entry {
		t.Error("Choose returned the worker with a full KV cache, want the idle one")
	}
}
