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
		t.Fatalf("demand after one Choose: %+v, want Offered 1, and Prefill and Transfers above 0", first)
	}
	s.Choose(time.Second, r, []string{choice.Run.ID})
	if again := s.Demands(time.Second)["m"]; again != first {
		t.Fatalf("demand after a second Choose for the same request: %+v, want %+v as before", again, first)
	}
	rejected := 0
	for i := range 400 { // far beyond the capacity of the workers
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
		t.Fatalf("after 401 requests: rejected %d, Offered is %v; want some rejected and 401 offered", rejected, offered)
	}
}

func TestSelector_Demands_countsRunningStreams(t *testing.T) {
	s, _ := newTestSelector(1, 2, 1)
	now := time.Second
	r := newTestRequest(now, 7, 3200, 800)
	choice, _ := s.Choose(now, r, nil)
	prefill := s.Sent(now, r, CallPrefill, choice)
	s.Done(now+100*time.Millisecond, prefill, nil)
	if demand := s.Demands(now + 100*time.Millisecond)["m"]; demand.PrefillDone <= 0 || demand.PrefillTime <= 0 || demand.Slots != 0 {
		t.Fatalf("demand after a prefill: %+v, want PrefillDone and PrefillTime above 0, and Slots 0", demand)
	}
	run := s.Sent(now+100*time.Millisecond, r, CallRun, choice)
	s.FirstEvent(now+150*time.Millisecond, run)
	demand := s.Demands(now + 600*time.Millisecond)["m"]
	if demand.Started != 1 || demand.Slots < 0.5/64 || demand.Slots > 1./64+1e-9 || demand.Memory <= 0 {
		t.Fatalf("demand 0.45 s after the first event: %+v, want Started 1, Slots from 0.5/64 to 1/64, and Memory above 0", demand)
	}
	s.Done(now+700*time.Millisecond, run, nil)
	ended := s.Demands(now + 700*time.Millisecond)["m"]
	if later := s.Demands(now + 5*time.Second)["m"]; later != ended {
		t.Fatalf("demand 4.3 s after the stream ended: %+v, want %+v as at its end", later, ended)
	}
}

func TestSelector_Choose_skipsTransitioningWorkers(t *testing.T) {
	s, view := newTestSelector(2, 3, 1)
	transitioning := []int{0, 2}
	for _, i := range transitioning {
		entry := *view.Workers["m"][i]
		entry.Assigned = map[string]string{"prefill": "decode", "decode": "prefill"}[entry.Stage]
		view.Workers["m"][i] = &entry
	}
	s.SetView(time.Second, view)
	for i := range 200 {
		now := time.Second + time.Duration(i)*10*time.Millisecond
		choice, _ := s.Choose(now, newTestRequest(now, uint64(i), 1600, 400), nil)
		if choice.Prefill == view.Workers["m"][0] || choice.Run == view.Workers["m"][2] || choice.Run == nil {
			t.Fatalf("chose prefill on %q and run on %q, want a run, and no worker that is changing its role", idOf(choice.Prefill), idOf(choice.Run))
		}
	}
}
