package selection

import (
	"math"
	"testing"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/registry"
	"ospreybend/internal/dataplane/fleetview"
)

// playPrefill plays one prefill call that takes the given time.
func playPrefill(s *Selector, w *worker, now, span time.Duration, tokens int) {
	r := newTestRequest(now, uint64(now)+7, 0, tokens)
	call := s.Sent(now, r, CallPrefill, Choice{Prefill: w.entry})
	s.Done(now+span, call, nil)
}

func TestService_Predict_followsAnswers(t *testing.T) {
	s, _ := newTestSelector(3, 2, 1)
	svc := s.services["m"]
	slow, quick, unknown := svc.byClass[classPrefill][0], svc.byClass[classPrefill][1], svc.byClass[classPrefill][2]
	now := time.Duration(0)
	for range 30 {
		now += 300 * ms
		playPrefill(s, slow, now, 240*ms, 4000)
		playPrefill(s, quick, now, 120*ms, 4000)
	}
	total := func(w *worker) float64 {
		return svc.predict(now+time.Second, w, promptTask(classPrefill, 4000, 0), workerLoad{}).total()
	}
	if got := total(slow); math.Abs(got-0.24) > 0.04 {
		t.Errorf("the slow worker: %v", got)
	}
	if got := total(quick); math.Abs(got-0.12) > 0.03 {
		t.Errorf("the fast worker: %v", got)
	}
	if got := total(unknown); got < total(quick) || got > total(slow) {
		t.Errorf("one without samples: %v, not between the others", got)
	}
	if later := svc.predict(now+time.Minute, slow, promptTask(classPrefill, 4000, 0), workerLoad{}).total(); later > 0.22 {
		t.Errorf("its samples have expired, yet it is predicted %v", later)
	}
}

func TestService_Predict_risesWithLoad(t *testing.T) {
	s, _ := newTestSelector(1, 1, 1)
	svc := s.services["m"]
	for c, w := range map[workerClass]*worker{classPrefill: svc.byClass[classPrefill][0], classDecode: svc.byClass[classDecode][0]} {
		last := -1.
		for waiting := range 5 {
			f := svc.predict(0, w, promptTask(c, 2000, 500), workerLoad{waiting: float64(waiting)})
			if f.total() <= last || f.wait < 0 {
				t.Errorf("class %v with %d waiting: %v after %v", c, waiting, f.total(), last)
			}
			last = f.total()
		}
	}
}

func TestSelector_Failed_feedsNoWindow(t *testing.T) {
	s, _ := newTestSelector(1, 1, 1)
	svc := s.services["m"]
	w := svc.byClass[classPrefill][0]
	for cause := FailureConnect; cause <= FailureMisrouted; cause++ {
		s.Failed(time.Second, s.Sent(0, newTestRequest(0, 1, 0, 100), CallPrefill, Choice{Prefill: w.entry}), cause)
	}
	s.Abandoned(time.Second, s.Sent(0, newTestRequest(0, 1, 0, 100), CallPrefill, Choice{Prefill: w.entry}))
	if svc.pools[classPrefill].slowdown.N != 0 || w.slowdown[classPrefill].Samples != nil || len(w.cache.byID) != 0 {
		t.Error("a failed call added a sample")
	}
}

func TestService_TransferTime_learnsAndExpires(t *testing.T) {
	s, _ := newTestSelector(2, 2, 1)
	svc := s.services["m"]
	from, to := svc.byClass[classPrefill][0], svc.byClass[classDecode][0]
	fresh := svc.transferTime(0, from, to, 8000)
	now := time.Duration(0)
	for range 12 {
		now += 200 * ms
		call := s.Sent(now, newTestRequest(now, uint64(now), 0, 8000), CallRun, Choice{Prefill: from.entry, Run: to.entry})
		s.FirstEvent(now+600*ms, call)
		s.Done(now+700*ms, call, nil)
	}
	if got := svc.transferTime(now, from, to, 8000); got < 0.25 {
		t.Errorf("transfers take 0.6 s, yet %v is predicted", got)
	}
	if got := svc.transferTime(now, svc.byClass[classPrefill][1], svc.byClass[classDecode][1], 8000); got < 5*fresh {
		t.Errorf("another pair is predicted %v, at first %v", got, fresh)
	}
	if got := svc.transferTime(now+time.Minute, from, to, 8000); math.Abs(got-fresh) > fresh/2 {
		t.Errorf("a minute later %v is predicted, at first %v", got, fresh)
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
			t.Fatalf("%+v %+v", c, v)
		}
		s.Sent(0, r, CallRun, c)
		count[c.Run.ID]++
	}
	for id, n := range count {
		if n < 4 || n > 8 {
			t.Errorf("%s has %d of 18", id, n)
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
			t.Fatal("the worker with a queue is chosen")
		}
	}
}
