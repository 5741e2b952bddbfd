package selection

import (
	"testing"
	"time"
)

func TestSelector_Demands_countsRequestOnce(t *testing.T) {
	s, _ := newTestSelector(2, 3, 1)
	r := newTestRequest(time.Second, 7, 3200, 800)
	choice, _ := s.Choose(time.Second, r, nil)
	first := s.Demands(time.Second)["m"]
	if first.Offered != 1 || first.Prefill <= 0 || first.Transfers <= 0 {
		t.Fatalf("%+v", first)
	}
	s.Choose(time.Second, r, []string{choice.Run.ID})
	if again := s.Demands(time.Second)["m"]; again != first {
		t.Fatalf("%+v, then %+v", first, again)
	}
	rejected := 0
	for i := range 400 { // far more than the capacity
		now := time.Second + time.Duration(i)*time.Millisecond
		r := newTestRequest(now, uint64(i), 6400, 9000)
		c, v := s.Choose(now, r, nil)
		if !v.Admit {
			rejected++
			continue
		}
		s.Sent(now, r, CallPrefill, c)
	}
	if offered := s.Demands(2 * time.Second)["m"].Offered; rejected == 0 || offered != 401 {
		t.Fatalf("%d rejected, %v offered", rejected, offered)
	}
}

func TestSelector_Demands_countsRunningStreams(t *testing.T) {
	s, _ := newTestSelector(1, 2, 1)
	now := time.Second
	r := newTestRequest(now, 7, 3200, 800)
	choice, _ := s.Choose(now, r, nil)
	read := s.Sent(now, r, CallPrefill, choice)
	s.Done(now+100*time.Millisecond, read, nil)
	if demand := s.Demands(now + 100*time.Millisecond)["m"]; demand.PrefillDone <= 0 || demand.PrefillTime <= 0 || demand.Slots != 0 {
		t.Fatalf("%+v", demand)
	}
	run := s.Sent(now+100*time.Millisecond, r, CallRun, choice)
	s.FirstEvent(now+150*time.Millisecond, run)
	demand := s.Demands(now + 600*time.Millisecond)["m"]
	if demand.Started != 1 || demand.Slots < 0.5/64 || demand.Slots > 1./64+1e-9 || demand.Memory <= 0 {
		t.Fatalf("%+v", demand)
	}
	s.Done(now+700*time.Millisecond, run, nil)
	ended := s.Demands(now + 700*time.Millisecond)["m"]
	if later := s.Demands(now + 5*time.Second)["m"]; later != ended {
		t.Fatalf("%+v, then %+v", ended, later)
	}
}

func TestSelector_Choose_skipsTransitioningWorkers(t *testing.T) {
	s, view := newTestSelector(2, 3, 1)
	turning := []int{0, 2}
	for _, i := range turning {
		entry := *view.Workers["m"][i]
		entry.Assigned = map[string]string{"prefill": "decode", "decode": "prefill"}[entry.Stage]
		view.Workers["m"][i] = &entry
	}
	s.SetView(time.Second, view)
	for i := range 200 {
		now := time.Second + time.Duration(i)*10*time.Millisecond
		choice, _ := s.Choose(now, newTestRequest(now, uint64(i), 1600, 400), nil)
		if choice.Prefill == view.Workers["m"][0] || choice.Run == view.Workers["m"][2] || choice.Run == nil {
			t.Fatalf("%+v", choice)
		}
	}
}
