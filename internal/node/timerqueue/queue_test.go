package timerqueue

import (
	"fmt"
	"testing"
	"time"
)

func TestQueue_firesInOrderWithoutTheCancelled(t *testing.T) {
	var l Queue
	var got []int
	note := func(n int) func() { return func() { got = append(got, n) } }
	l.Add(30, note(3))
	dropped := l.Add(20, note(9))
	l.Add(10, note(1))
	l.Add(10, note(2))
	l.Cancel(dropped)
	l.Cancel(dropped)
	l.Cancel(nil)
	if at, ok := l.Next(); !ok || at != 10 {
		t.Errorf("next is %v, %v", at, ok)
	}
	l.Run(29)
	l.Run(30)
	if fmt.Sprint(got) != "[1 2 3]" {
		t.Errorf("fired %v", got)
	}
	if _, ok := l.Next(); ok {
		t.Error("something is left")
	}
}

// A deadline that sets itself anew for a time already past must not hold the
// loop for ever.
func TestQueue_Run_endsWhenATimerSetsItselfAgain(t *testing.T) {
	var l Queue
	runs := 0
	var again func()
	again = func() { runs++; l.Add(0, again) }
	l.Add(0, again)
	l.Run(time.Second)
	if runs != 1 {
		t.Errorf("%d runs at once", runs)
	}
	l.Run(time.Second)
	if runs != 2 {
		t.Errorf("%d runs after the second", runs)
	}
}

// What one deadline sets and another takes back in the same Run stays back.
func TestQueue_Cancel_duringRun(t *testing.T) {
	var l Queue
	var second *Timer
	fired := false
	l.Add(1, func() { second = l.Add(0, func() { fired = true }) })
	l.Add(2, func() { l.Cancel(second) })
	l.Run(3)
	l.Run(4)
	if fired {
		t.Error("a dropped deadline fired")
	}
}
