package selection

import (
	"math"
	"testing"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/registry"
	"ospreybend/internal/dataplane/fleetview"
)

// completePrefill sends a prefill call and completes it after the given duration.
func completePrefill(s *Selector, w *worker, now, duration time.Duration, tokens int) {
	r := newTestRequest(now, uint64(now)+7, 0, tokens)
	call := s.Sent(now, r, CallPrefill, Choice{Prefill: w.entry})
	s.Done(now+duration, call, nil)
}

func TestService_Predict_followsResponseTimes(t *testing.T) {
	s, _ := newTestSelector(3, 2, 1)
	svc := s.services["m"]
	slow, fast, unknown := svc.byClass[classPrefill][0], svc.byClass[classPrefill][1], svc.byClass[classPrefill][2]
	now := time.Duration(0)
	for range 30 {
		now += 300 * ms
		completePrefill(s, slow, now, 240*ms, 4000)
		completePrefill(s, fast, now, 120*ms, 4000)
	}
	total := func(w *worker) float64 {
		return svc.predict(now+time.Second, w, promptTask(classPrefill, 4000, 0), workerLoad{}).total()
	}
	if got := total(slow); math.Abs(got-0.24) > 0.04 {
		t.Errorf("worker whose prefills took 0.24 s: predicted %v s, want 0.24 within 0.04", got)
	}
	if got := total(fast); math.Abs(got-0.12) > 0.03 {
		t.Errorf("worker whose prefills took 0.12 s: predicted %v s, want 0.12 within 0.03", got)
	}
	if got := total(unknown); got < total(fast) || got > total(slow) {
		t.Errorf("worker without samples: predicted %v s, want from %v to %v as for the others", got, total(fast), total(slow))
	}
	if later := svc.predict(now+time.Minute, slow, promptTask(classPrefill, 4000, 0), workerLoad{}).total(); later > 0.22 {
		t.Errorf("slow worker a minute later: predicted %v s, want at most 0.22 as its samples have expired", later)
	}
}

func TestService_Predict_risesWithLoad(t *testing.T) {
	s, _ := newTestSelector(1, 1, 1)
	svc := s.services["m"]
	for c, w := range map[workerClass]*worker{classPrefill: svc.byClass[classPrefill][0], classDecode: svc.byClass[classDecode][0]} {
		last := -1.
		for waiting := range 5 {
			f := svc.predict(0, w, promptTask(c, 2000, 500), workerLoad{waiting: float64(waiting)})
			if f.total() <= last || f.queueWait < 0 {
				t.Errorf("class %v with %d waiting requests: total %v s, queue wait %v s; want a total above %v and a wait of at least 0",
					c, waiting, f.total(), f.queueWait, last)
			}
			last = f.total()
		}
	}
}

func TestSelector_Failed_addsNoSample(t *testing.T) {
	s, _ := newTestSelector(1, 1, 1)
	svc := s.services["m"]
	w := svc.byClass[classPrefill][0]
	for cause := FailureConnect; cause <= FailureMisrouted; cause++ {
		s.Failed(time.Second, s.Sent(0, newTestRequest(0, 1, 0, 100), CallPrefill, Choice{Prefill: w.entry}), cause)
	}
	s.Abandoned(time.Second, s.Sent(0, newTestRequest(0, 1, 0, 100), CallPrefill, Choice{Prefill: w.entry}))
	if svc.estimates[classPrefill].slowdown.N != 0 || w.slowdown[classPrefill].Samples != nil || len(w.cache.byID) != 0 {
		t.Errorf("after failed and abandoned calls: %v pooled samples, %d of the worker, %d cached segments; want none",
			svc.estimates[classPrefill].slowdown.N, len(w.slowdown[classPrefill].Samples), len(w.cache.byID))
	}
}

func TestService_TransferTime_learnsAndExpires(t *testing.T) {
	s, _ := newTestSelector(2, 2, 1)
	svc := s.services["m"]
	from, to := svc.byClass[classPrefill][0], svc.byClass[classDecode][0]
	initial := svc.transferTime(0, from, to, 8000)
	now := time.Duration(0)
	for range 12 {
		now += 200 * ms
		call := s.Sent(now, newTestRequest(now, uint64(now), 0, 8000), CallRun, Choice{Prefill: from.entry, Run: to.entry})
		s.FirstEvent(now+600*ms, call)
		s.Done(now+700*ms, call, nil)
	}
	if got := svc.transferTime(now, from, to, 8000); got < 0.25 {
		t.Errorf("after transfers of 0.6 s: predicted %v s, want at least 0.25", got)
	}
	if got := svc.transferTime(now, svc.byClass[classPrefill][1], svc.byClass[classDecode][1], 8000); got < 5*initial {
		t.Errorf("another pair after slow transfers: predicted %v s, want at least 5 times the initial %v", got, initial)
	}
	if got := svc.transferTime(now+time.Minute, from, to, 8000); math.Abs(got-initial) > initial/2 {
		t.Errorf("a minute later: predicted %v s, want the initial %v within half", got, initial)
	}
}

func TestSelector_Choose_spreadsPlainRequests(t *testing.T) {
	s := New(Options{Seed: 3})
	view := &fleetview.View{
		EdgeNodeCount: 3,
		Services:      map[string]*configuration.Service{"p": {Name: "p"}},
		Workers:       map[string][]*fleetview.Worker{},
	}
	for _, id := range []string{"a", "b", "c"} {
		view.Workers["p"] = append(view.Workers["p"], &fleetview.Worker{Instance: registry.Instance{ID: id, Service: "p", Slots: 6}})
	}
	s.SetView(0, view)
	count := map[string]int{}
	for range 18 {
		r := &Request{Service: "p", Route: "r", Objective: time.Second, Deadline: 4 * time.Second}
		c, v := s.Choose(0, r, nil)
		if !v.Admit || c.Prefill != nil {
			t.Fatalf("Choose returned run on %q, prefill on %q, %+v; want the request admitted without a prefill", idOf(c.Run), idOf(c.Prefill), v)
		}
		s.Sent(0, r, CallRun, c)
		count[c.Run.ID]++
	}
	for id, n := range count {
		if n < 4 || n > 8 {
			t.Errorf("worker %s was sent %d of 18 requests, want 4 to 8", id, n)
		}
	}
}

func TestSelector_Choose_avoidsBusyPlainWorker(t *testing.T) {
	s := New(Options{Seed: 3})
	view := &fleetview.View{EdgeNodeCount: 3, Workers: map[string][]*fleetview.Worker{"p": {
		{Instance: registry.Instance{ID: "a", Slots: 6}}, {Instance: registry.Instance{ID: "b", Slots: 6}}}}}
	s.SetView(0, view)
	r := &Request{Service: "p"}
	call := s.Sent(0, r, CallRun, Choice{Run: view.Workers["p"][0]})
	s.Done(60*ms, call, &Load{Running: 6, Waiting: 5, Slots: 6})
	for range 20 {
		if c, _ := s.Choose(61*ms, &Request{Service: "p"}, nil); c.Run.ID == "a" {
			t.Fatal("Choose returned worker a, which reported a queue, want b")
		}
	}
}
