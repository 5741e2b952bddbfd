package selection

import (
	"testing"
	"time"
)

// busy makes a crowd that is not calm.
var busy = crowd{taken: 90, slots: 100, waiting: 40, workers: 4}

func optionOf(first, waits float64) option { return option{first: first, waits: waits} }

// sends counts how many of 1,000 requests are sent.
func sends(s *Selector, r *Request, o option, c crowd) (n int) {
	svc := s.services["m"]
	for range 1000 {
		if svc.admit(r.Arrived, &job{request: r}, o, c).Send {
			n++
		}
	}
	return n
}

func TestAdmission(t *testing.T) {
	cases := []struct {
		name        string
		first, wait float64
		crowd       crowd
		low, high   int
	}{
		{"no wait", 0.1, 0, busy, 1000, 1000},
		{"a wait within the objective", 0.3, 0.2, busy, 1000, 1000},
		{"a wait past the objective", 1.1, 1, busy, 20, 90},
		{"the same while it is calm", 1.1, 1, crowd{taken: 10, slots: 100, waiting: 1, workers: 4}, 1000, 1000},
		{"large, without a wait", 3, 0.01, busy, 1000, 1000},
		{"past the deadline", 6, 2, busy, 20, 90},
	}
	for _, c := range cases {
		s, _ := rig(1, 1, 1)
		if got := sends(s, ask(0, 1, 160, 100), optionOf(c.first, c.wait), c.crowd); got < c.low || got > c.high {
			t.Errorf("%s: %d of 1000 are sent, want %d to %d", c.name, got, c.low, c.high)
		}
	}
}

func TestRefusalsTellWhenToComeBack(t *testing.T) {
	s, _ := rig(1, 1, 1)
	svc, r := s.services["m"], ask(0, 1, 160, 100)
	for _, wait := range []float64{0.4, 0.8, 1.2, 9} {
		v := Verdict{Send: true}
		for range 100 {
			if v = svc.admit(0, &job{request: r}, optionOf(wait+0.05, wait), busy); !v.Send {
				break
			}
		}
		if !v.Send && (v.RetryAfter < leastRetry || v.RetryAfter > longestRetry) {
			t.Errorf("a wait of %v s: come back after %v", wait, v.RetryAfter)
		}
		if v.Send && wait > 0.8 {
			t.Errorf("a wait of %v s is never refused", wait)
		}
	}
}

func TestLessUrgentAreRefusedFirst(t *testing.T) {
	var count [3]int
	s, _ := rig(1, 1, 1)
	for priority := range 3 {
		s.services["m"].admitted.seen[priority] = 1
	}
	for priority := range 3 {
		r := ask(0, 1, 160, 100)
		r.Priority = priority
		count[priority] = sends(s, r, optionOf(0.37, 0.32), busy)
	}
	if count[0] != 1000 || count[1] <= count[2] || count[2] > 600 {
		t.Errorf("sent by priority: %v", count)
	}
}

func TestSizeDoesNotDecide(t *testing.T) {
	s, _ := rig(1, 1, 1)
	svc, r := s.services["m"], ask(0, 1, 160, 100)
	small, large := 0, 0
	for i := range 4000 { // a tenth are large: they take 0.9 s by themselves
		first, count := 0.1, &small
		if i%10 == 0 {
			first, count = 0.9, &large
		}
		if svc.admit(0, &job{request: r}, optionOf(first+0.28, 0.28), busy).Send {
			*count++
		}
	}
	if small == 3600 || large*9 < small*8/10 {
		t.Errorf("%d large ones are sent, %d small ones", large, small)
	}
}

func TestSomeAreSentHoweverLongTheWait(t *testing.T) {
	s, _ := rig(1, 1, 1)
	if got := sends(s, ask(0, 1, 160, 100), optionOf(100, 100), busy); got == 0 {
		t.Error("none is sent: nothing would be learned")
	}
	if r := retryAfter(100); r != longestRetry {
		t.Errorf("come back after %v", r)
	}
	if r := retryAfter(0); r != 100*time.Millisecond {
		t.Errorf("come back after %v", r)
	}
}
