package timerqueue

import (
	"fmt"
	"testing"
	"time"
)

func TestQueue_Run_inOrderWithoutCancelledTimers(t *testing.T) {
	var q Queue
	var fired []int
	record := func(n int) func() { return func() { fired = append(fired, n) } }
	q.Add(30, record(3))
	cancelled := q.Add(20, record(9))
	q.Add(10, record(1))
	q.Add(10, record(2))
	q.Cancel(cancelled)
	q.Cancel(cancelled)
	q.Cancel(nil)
	if at, ok := q.Next(); !ok || at != 10 {
		t.Errorf("Next: got %v, %v, want 10ns, true", at, ok)
	}
	q.Run(29)
	q.Run(30)
	if fmt.Sprint(fired) != "[1 2 3]" {
		t.Errorf("got timers %v fired, want [1 2 3]", fired)
	}
	if at, ok := q.Next(); ok {
		t.Errorf("Next after all timers have fired: got %v, want none", at)
	}
}

// A callback that adds its timer again for a time in the past must not keep Run from returning.
func TestQueue_Run_endsWhenACallbackAddsItsTimerAgain(t *testing.T) {
	var q Queue
	runs := 0
	var again func()
	again = func() { runs++; q.Add(0, again) }
	q.Add(0, again)
	q.Run(time.Second)
	if runs != 1 {
		t.Errorf("first Run: got %d calls of the callback, want 1", runs)
	}
	q.Run(time.Second)
	if runs != 2 {
		t.Errorf("second Run: got %d calls of the callback in all, want 2", runs)
	}
}

// A timer that one callback adds and another cancels within the same Run does not fire.
func TestQueue_Cancel_duringRun(t *testing.T) {
	var q Queue
	var second *Timer
	fired := false
	q.Add(1, func() { second = q.Add(0, func() { fired = true }) })
	q.Add(2, func() { q.Cancel(second) })
	q.Run(3)
	q.Run(4)
	if fired {
		t.Error("a cancelled timer has fired")
	}
}
