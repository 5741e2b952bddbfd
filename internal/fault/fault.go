// Package fault ends the process at named points, for tests that kill a node
// between two steps. Unless Arm was called a point costs one look at a pointer.
package fault

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
)

// The points, in the order in which a booking meets them.
const (
	InsertBefore = "insert-before" // its record is about to be committed
	InsertAfter  = "insert-after"
	AnswerBefore = "answer-before" // its client is about to hear that it is taken
	MarkBefore   = "mark-before"   // that it may be sent is about to be committed
	MarkAfter    = "mark-after"
	GateOpen     = "gate-open"     // about to go to the socket
	BytesWritten = "bytes-written" // the system has the request
	OutcomeHeard = "outcome-heard" // the prep worker has said how it ended
	FinishBefore = "finish-before" // its end is about to be committed
	FinishAfter  = "finish-after"
	ShownBefore  = "shown-before" // its end is about to be shown
)

// Points lists all points.
func Points() []string {
	return []string{InsertBefore, InsertAfter, AnswerBefore, MarkBefore, MarkAfter, GateOpen, BytesWritten, OutcomeHeard,
		FinishBefore, FinishAfter, ShownBefore}
}

type plan struct {
	point string
	left  atomic.Int64
}

var armed atomic.Pointer[plan]

// Arm has the process killed at a point, "POINT" or "POINT:N" at its Nth passing.
func Arm(text string) error {
	point, times, counted := strings.Cut(text, ":")
	n := int64(1)
	if counted {
		var err error
		if n, err = strconv.ParseInt(times, 10, 64); err != nil || n < 1 {
			return fmt.Errorf("fault %q: %q is no number of passings", text, times)
		}
	}
	if !slices.Contains(Points(), point) {
		return fmt.Errorf("fault %q: no such point", text)
	}
	p := &plan{point: point}
	p.left.Store(n)
	armed.Store(p)
	return nil
}

// Hit stands at a point.
func Hit(point string) {
	p := armed.Load()
	if p == nil || p.point != point || p.left.Add(-1) != 0 {
		return
	}
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {} // nothing more is done
}
