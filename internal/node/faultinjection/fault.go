// Package faultinjection ends the process at named points, or stalls the store of record at
// them, for tests that kill a node between two steps. Unless Arm was called a point costs one look at a pointer.
package faultinjection

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
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

type injection struct {
	point     string
	remaining atomic.Int64
	stall     time.Duration // 0: the process is killed
}

var armed atomic.Pointer[injection]

// storePoints are the points off the loop, where a stall is the store's.
var storePoints = []string{InsertBefore, InsertAfter, MarkBefore, MarkAfter, FinishBefore, FinishAfter}

// Arm has the process killed at a point, "POINT" or "POINT:N" at its Nth passing,
// or with "POINT:N:5s" the store stalled there for so long, once.
func Arm(text string) error {
	point, times, counted := strings.Cut(text, ":")
	times, span, stalls := strings.Cut(times, ":")
	var stall time.Duration
	if stalls {
		var err error
		if stall, err = time.ParseDuration(span); err != nil || stall <= 0 || !slices.Contains(storePoints, point) {
			return fmt.Errorf("fault %q: no stall of the store", text)
		}
	}
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
	p := &injection{point: point, stall: stall}
	p.remaining.Store(n)
	armed.Store(p)
	return nil
}

// Hit stands at a point.
func Hit(point string) {
	p := armed.Load()
	if p == nil || p.point != point || p.remaining.Add(-1) != 0 {
		return
	}
	if p.stall > 0 {
		time.Sleep(p.stall)
		return
	}
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {} // nothing more is done
}
