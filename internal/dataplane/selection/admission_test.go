package selection

import (
	"testing"
	"time"
)

// busyService is a load that is high enough for rejections.
var busyService = serviceLoad{inUse: 90, slots: 100, waiting: 40, workers: 4}

// testPlacement returns a placement with the given predictions in seconds.
func testPlacement(firstEvent, queueWait float64) placement {
	return placement{firstEvent: firstEvent, queueWait: queueWait}
}

// countAdmitted counts how many of 1,000 requests are admitted.
func countAdmitted(s *Selector, r *Request, best placement, load serviceLoad) (admitted int) {
	svc := s.services["m"]
	for range 1000 {
		if svc.admit(r.Arrived, &requestInfo{request: r}, best, load).Admit {
			admitted++
		}
	}
	return admitted
}

func TestService_Admit_outcomes(t *testing.T) {
	cases := []struct {
		name                     string
		firstEvent, queueWait    float64
		load                     serviceLoad
		minAdmitted, maxAdmitted int
	}{
		{"no queue wait", 0.1, 0, busyService, 1000, 1000},
		{"queue wait within the objective", 0.3, 0.2, busyService, 1000, 1000},
		{"queue wait past the objective", 1.1, 1, busyService, 20, 90},
		{"queue wait past the objective at low load", 1.1, 1, serviceLoad{inUse: 10, slots: 100, waiting: 1, workers: 4}, 1000, 1000},
		{"large request without queue wait", 3, 0.01, busyService, 1000, 1000},
		{"first event past the deadline", 6, 2, busyService, 20, 90},
	}
	for _, c := range cases {
		s, _ := newTestSelector(1, 1, 1)
		got := countAdmitted(s, newTestRequest(0, 1, 160, 100), testPlacement(c.firstEvent, c.queueWait), c.load)
		if got < c.minAdmitted || got > c.maxAdmitted {
			t.Errorf("%s: admitted %d of 1000 requests, want %d to %d", c.name, got, c.minAdmitted, c.maxAdmitted)
		}
	}
}

func TestService_Admit_retryAfterWithinBounds(t *testing.T) {
	s, _ := newTestSelector(1, 1, 1)
	svc, r := s.services["m"], newTestRequest(0, 1, 160, 100)
	for _, wait := range []float64{0.4, 0.8, 1.2, 9} {
		v := AdmissionDecision{Admit: true}
		for range 100 {
			if v = svc.admit(0, &requestInfo{request: r}, testPlacement(wait+0.05, wait), busyService); !v.Admit {
				break
			}
		}
		if !v.Admit && (v.RetryAfter < minRetryAfter || v.RetryAfter > maxRetryAfter) {
			t.Errorf("rejected at a queue wait of %v s: RetryAfter is %v, want %v to %v", wait, v.RetryAfter, minRetryAfter, maxRetryAfter)
		}
		if v.Admit && wait > 0.8 {
			t.Errorf("queue wait of %v s: admitted all of 100 requests, want some rejected", wait)
		}
	}
}

func TestService_Admit_rejectsLowPriorityFirst(t *testing.T) {
	var admitted [3]int
	s, _ := newTestSelector(1, 1, 1)
	for priority := range 3 {
		s.services["m"].admission.lastSeen[priority] = 1
	}
	for priority := range 3 {
		r := newTestRequest(0, 1, 160, 100)
		r.Priority = priority
		admitted[priority] = countAdmitted(s, r, testPlacement(0.37, 0.32), busyService)
	}
	if admitted[0] != 1000 || admitted[1] <= admitted[2] || admitted[2] > 600 {
		t.Errorf("admitted of 1000 requests of priorities 0, 1 and 2: %v, want 1000, then more of 1 than of 2, and at most 600 of 2", admitted)
	}
}

func TestService_Admit_ignoresPromptSize(t *testing.T) {
	s, _ := newTestSelector(1, 1, 1)
	svc, r := s.services["m"], newTestRequest(0, 1, 160, 100)
	small, large := 0, 0
	for i := range 4000 { // a tenth are large: their first event takes 0.9 s without queue wait
		firstEvent, count := 0.1, &small
		if i%10 == 0 {
			firstEvent, count = 0.9, &large
		}
		if svc.admit(0, &requestInfo{request: r}, testPlacement(firstEvent+0.28, 0.28), busyService).Admit {
			*count++
		}
	}
	if small == 3600 || large*9 < small*8/10 {
		t.Errorf("admitted %d of 400 large and %d of 3600 small requests, want some small ones rejected and at least 0.8 times their share of large ones",
			large, small)
	}
}

func TestService_Admit_someAdmittedAtAnyWait(t *testing.T) {
	s, _ := newTestSelector(1, 1, 1)
	if got := countAdmitted(s, newTestRequest(0, 1, 160, 100), testPlacement(100, 100), busyService); got == 0 {
		t.Error("queue wait of 100 s: admitted none of 1000 requests, want some, as predictions learn from their responses")
	}
	if r := retryAfter(100); r != maxRetryAfter {
		t.Errorf("retryAfter(100) = %v, want %v", r, maxRetryAfter)
	}
	if r := retryAfter(0); r != 100*time.Millisecond {
		t.Errorf("retryAfter(0) = %v, want 100ms", r)
	}
}
