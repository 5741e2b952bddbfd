package selection

import (
	"testing"
	"time"
)

// TestSelector_Admits guards against calls that are canceled in favor of a worker that would not take the request: one of another stage, or
// one that is excluded. Asking must not count as a further request.
func TestSelector_Admits(t *testing.T) {
	for _, c := range []struct {
		name            string
		prefill, decode int
		excluded        []string
		want            bool
	}{
		{"another decode worker", 1, 2, []string{"wb"}, true},
		{"only prefill workers are left", 2, 1, []string{"wc"}, false},
		{"a decode worker without prefill workers", 1, 1, []string{"wa"}, true},
		{"all are excluded", 1, 1, []string{"wa", "wb"}, false},
	} {
		s, _ := newTestSelector(c.prefill, c.decode, 1)
		request := newTestRequest(0, 1, 160, 100)
		if _, decision := s.Choose(0, request, nil); !decision.Admit {
			t.Fatalf("%s: the request is rejected at no load", c.name)
		}
		before := *s.services["m"].admission.unloadedByRoute["r"]
		if got := s.Admits(time.Second, request, c.excluded, false); got != c.want {
			t.Errorf("%s: Admits returns %v, want %v", c.name, got, c.want)
		}
		if after := *s.services["m"].admission.unloadedByRoute["r"]; after != before || s.services["m"].admission.lastSeen[0] > 1 {
			t.Errorf("%s: the mean of the route is %v after Admits, want %v as before", c.name, after, before)
		}
	}
	s, _ := newTestSelector(1, 1, 1)
	request := newTestRequest(0, 1, 160, 100)
	request.Service = "unknown"
	if s.Admits(0, request, nil, false) {
		t.Error("Admits returns true for an unknown service")
	}
}

// TestSelector_Admits_lastAttempt guards against calls that are canceled though the only other worker is full or ejected: with no attempt
// left after its rejection, the client lost the answer.
func TestSelector_Admits_lastAttempt(t *testing.T) {
	for _, c := range []struct {
		name        string
		occupy      func(s *Selector, decode *worker)
		lastAttempt bool
		want        bool
	}{
		{"a worker with room", func(*Selector, *worker) {}, true, true},
		{"all slots taken by others", occupySlots, true, false},
		{"all slots taken, but an attempt is left", occupySlots, false, true},
		{"a worker that rejected a call just now", func(_ *Selector, decode *worker) { decode.report.fullUntil = time.Minute }, true, false},
		{"an ejected worker", func(_ *Selector, decode *worker) { decode.health.ejectByPeers(time.Minute) }, true, false},
	} {
		s, _ := newTestSelector(0, 2, 1)
		request := newTestRequest(0, 1, 160, 100)
		request.Objective, request.Deadline = time.Minute, time.Hour // no load is shed
		s.Choose(0, request, nil)
		c.occupy(s, s.services["m"].workers["wb"])
		if got := s.Admits(0, request, []string{"wa"}, c.lastAttempt); got != c.want {
			t.Errorf("%s: Admits returns %v, want %v", c.name, got, c.want)
		}
	}
}

// occupySlots has a worker report that it is full after it has served a call.
func occupySlots(s *Selector, decode *worker) {
	s.services["m"].recordLoad(0, decode, &Load{Running: 64, Waiting: 1, Slots: 64}, callCounts{})
}

// TestService_DrawAdmission_asAdmit checks that Admits sheds load as Choose does.
func TestService_DrawAdmission_asAdmit(t *testing.T) {
	s, _ := newTestSelector(1, 1, 1)
	admitted := 0
	for range 1000 {
		request := newTestRequest(0, 1, 160, 100)
		if s.services["m"].drawAdmission(0, request, testPlacement(1.1, 1), busyService, 0.1).Admit {
			admitted++
		}
	}
	if admitted < 20 || admitted > 90 {
		t.Errorf("admitted %d of 1000 requests past their objective, want 20 to 90", admitted)
	}
}
