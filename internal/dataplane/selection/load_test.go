package selection

import (
	"math"
	"testing"
	"time"
)

func TestLoadByOthersIsWhatAnswersTellBesidesOwn(t *testing.T) {
	s, _ := rig(1, 1, 1)
	svc := s.services["m"]
	w := svc.byClass[classDecode][0]
	r := ask(0, 1, 160, 100)
	own := s.Sent(0, r, CallRun, Choice{Run: w.entry})
	answered := s.Sent(0, r, CallRun, Choice{Run: w.entry})
	s.FirstEvent(ms, answered)
	s.Told(ms, answered, Load{Running: 9, Waiting: 4, Slots: 64})
	waiting, running := svc.others(ms, w)
	if math.Abs(waiting-3) > 0.1 || math.Abs(running-8) > 0.1 {
		t.Errorf("others: %v wait, %v run; want 3 and 8", waiting, running)
	}
	if l := svc.loadOf(ms, w); l.running < 8.5 || l.waiting <= waiting {
		t.Errorf("own requests do not count: %+v", l)
	}
	s.Abandoned(2*ms, own)
	waiting, running = svc.others(time.Minute, w)
	if waiting > 0.01 || running > 0.01 {
		t.Errorf("a minute later: %v and %v", waiting, running)
	}
}

func TestAnswersThatLeaveOutTheirOwnRequest(t *testing.T) {
	s, _ := rig(1, 1, 1)
	svc := s.services["m"]
	w := svc.byClass[classPrefill][0]
	tell := func(now time.Duration, l Load) {
		call := s.Sent(now, ask(now, 1, 160, 100), CallPrefill, Choice{Prefill: w.entry})
		s.Done(now+ms, call, &l)
	}
	tell(0, Load{Running: 1})
	if w.told.waiting != 0 {
		t.Errorf("its own request counts as another's: %v", w.told.waiting)
	}
	tell(ms, Load{})
	tell(2*ms, Load{Running: 1})
	if w.told.waiting != 1 {
		t.Errorf("an answer left itself out, yet one that tells of 1 counts as %v", w.told.waiting)
	}
}

func TestAnswersSayNothingOddOfLoad(t *testing.T) {
	s, _ := rig(1, 1, 1)
	svc := s.services["m"]
	w := svc.byClass[classDecode][0]
	svc.hear(0, w, &Load{Running: -1}, counts{})
	svc.hear(0, w, nil, counts{})
	if w.told.known {
		t.Error("nothing sensible was told")
	}
	svc.hear(0, w, &Load{}, counts{3, 5})
	if w.told.running != 0 || w.told.waiting != 0 {
		t.Errorf("fewer than this node's own: %+v", w.told)
	}
}

func TestARejectedCallMakesItsWorkerCountAsFullForAWhile(t *testing.T) {
	s, _ := rig(1, 2, 1)
	svc := s.services["m"]
	w := svc.byClass[classDecode][0]
	call := s.Sent(0, ask(0, 1, 160, 100), CallRun, Choice{Run: w.entry})
	s.Rejected(ms, call, nil)
	if l := svc.loadOf(2*ms, w); l.running < 64 {
		t.Errorf("not full: %+v", l)
	}
	if l := svc.loadOf(fullLife+2*ms, w); l.running > 1 {
		t.Errorf("still full: %+v", l)
	}
	if w.speed[classDecode].Samples != nil || len(w.calls) != 0 {
		t.Error("it fed a window of processing, or is still open")
	}
}

func TestAnOverdueCallMakesItsWorkerWait(t *testing.T) {
	s, _ := rig(2, 2, 1)
	svc := s.services["m"]
	w := svc.byClass[classPrefill][0]
	s.Sent(0, ask(0, 1, 160, 1000), CallPrefill, Choice{Prefill: w.entry})
	if l := svc.loadOf(50*ms, w); l.stall > 0 {
		t.Errorf("in time, yet %v late", l.stall)
	}
	if l := svc.loadOf(time.Second, w); l.stall < 0.5 {
		t.Errorf("a second later it is %v late", l.stall)
	}
}

func TestMemoryIsNotFilledUp(t *testing.T) {
	s, _ := rig(1, 2, 1)
	svc := s.services["m"]
	w := svc.byClass[classDecode][0]
	if svc.memoryPenalty(w, load{}, 10000) != 0 {
		t.Error("an empty worker is penalised")
	}
	for range 30 {
		s.Sent(0, ask(0, 1, 160, 9000), CallRun, Choice{Run: w.entry})
	}
	if got := svc.memoryPenalty(w, svc.loadOf(0, w), 10000); got <= 0 {
		t.Errorf("30 requests of 9,180 tokens in 300,000: %v", got)
	}
	if c, _ := s.Choose(0, ask(0, 2, 160, 9000), nil); c.Run == w.entry {
		t.Error("the fuller worker is chosen")
	}
}
