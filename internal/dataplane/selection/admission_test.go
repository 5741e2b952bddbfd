package selection

import (
	"testing"
	"time"
)

// busyService is a load at which requests may be rejected.
var busyService = serviceLoad{inUse: 90, slots: 100, waiting: 40, workers: 4}

func placementWith(first, waits float64) placement {
	return placement{firstEvent: first, queueWait: waits}
}

// countAdmitted counts how many of 1,000 requests are admitted.
func countAdmitted(s *Selector, r *Request, o placement, c serviceLoad) (n int) {
	svc := s.services["m"]
	for range 1000 {
		if svc.admit(r.Arrived, &requestInfo{request: r}, o, c).Admit {
			n++
		}
	}
	return n
}

func TestService_Admit_outcomes(t *testing.T) {
	cases := []struct {
		name        string
		first, wait float64
		load        serviceLoad
		low, high   int
	}{
		{"no wait", 0.1, 0, busyService, 1000, 1000},
		{"a wait within the objective", 0.3, 0.2, busyService, 1000, 1000},
		{"a wait past the objective", 1.1, 1, busyService, 20, 90},
		{"the same at low load", 1.1, 1, serviceLoad{inUse: 10, slots: 100, waiting: 1, workers: 4}, 1000, 1000},
		{"large, without a wait", 3, 0.01, busyService, 1000, 1000},
		{"past the deadline", 6, 2, busyService, 20, 90},
	}
	for _, c := range cases {
		s, _ := newTestSelector(1, 1, 1)
		if got := countAdmitted(s, newTestRequest(0, 1, 160, 100), placementWith(c.first, c.wait), c.load); got < c.low || got > c.high {
			t.Errorf("%s: %d of 1000 admitted, want %d to %d", c.name, got, c.low, c.high)
		}
	}
}

func TestService_Admit_retryAfterWithinBounds(t *testing.T) {
	s, _ := newTestSelector(1, 1, 1)
	svc, r := s.services["m"], newTestRequest(0, 1, 160, 100)
	for _, wait := range []float64{0.4, 0.8, 1.2, 9} {
		v := Verdict{Admit: true}
		for range 100 {
			if v = svc.admit(0, &requestInfo{request: r}, placementWith(wait+0.05, wait), busyService); !v.Admit {
				break
			}
		}
		if !v.Admit && (v.RetryAfter < minRetryAfter || v.RetryAfter > maxRetryAfter) {
			t.Errorf("queue wait of %v s: Retry-After %v", wait, v.RetryAfter)
		}
		if v.Admit && wait > 0.8 {
			t.Errorf("a queue wait of %v s is never rejected", wait)
		}
	}
}

func TestService_Admit_rejectsLowPriorityFirst(t *testing.T) {
	var count [3]int
	s, _ := newTestSelector(1, 1, 1)
	for priority := range 3 {
		s.services["m"].admission.lastSeen[priority] = 1
	}
	for priority := range 3 {
		r := newTestRequest(0, 1, 160, 100)
		r.Priority = priority
		count[priority] = countAdmitted(s, r, placementWith(0.37, 0.32), busyService)
	}
	if count[0] != 1000 || count[1] <= count[2] || count[2] > 600 {
		t.Errorf("admitted by priority: %v", count)
	}
}

func TestService_Admit_ignoresPromptSize(t *testing.T) {
	s, _ := newTestSelector(1, 1, 1)
	svc, r := s.services["m"], newTestRequest(0, 1, 160, 100)
	small, large := 0, 0
	for i := range 4000 { // a tenth are large: they take 0.9 s without a queue
		first, count := 0.1, &small
		if i%10 == 0 {
			first, count = 0.9, &large
		}
		if svc.admit(0, &requestInfo{request: r}, placementWith(first+0.28, 0.28), busyService).Admit {
			*count++
		}
	}
	if small == 3600 || large*9 < small*8/10 {
		t.Errorf("admitted %d large and %d small requests", large, small)
	}
}

func TestService_Admit_someAdmittedAtAnyWait(t *testing.T) {
	s, _ := newTestSelector(1, 1, 1)
	if got := countAdmitted(s, newTestRequest(0, 1, 160, 100), placementWith(100, 100), busyService); got == 0 {
		t.Error("none is admitted: nothing would be learned")
	}
	if r := retryAfter(100); r != maxRetryAfter {
		t.Errorf("Retry-After %v", r)
	}
	if r := retryAfter(0); r != 100*time.Millisecond {
		t.Errorf("Retry-After %v", r)
	}
}
