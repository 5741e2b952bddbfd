// Package faultinjection kills the process at named points of a batch job's way, or stalls the
// store of record there, for tests of crashes between two steps. Unless Arm was called a point
// costs one atomic load. The points are in packages jobs, store, routing and protocol.
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

// The points, in the order in which a booking passes them.
const (
	InsertBefore = "insert-before" // before the commit of its record
	InsertAfter  = "insert-after"
	AnswerBefore = "answer-before" // before its submission is acknowledged
	MarkBefore   = "mark-before"   // before the commit that it may be sent
	MarkAfter    = "mark-after"
	GateOpen     = "gate-open"     // before it is written to the socket
	BytesWritten = "bytes-written" // after the request was written
	OutcomeHeard = "outcome-heard" // after its outcome was received
	FinishBefore = "finish-before" // before the commit of its end
	FinishAfter  = "finish-after"
	ShownBefore  = "shown-before" // before its end is visible to clients
)

// Points returns all points.
func Points() []string {
	return []string{InsertBefore, InsertAfter, AnswerBefore, MarkBefore, MarkAfter, GateOpen, BytesWritten, OutcomeHeard,
		FinishBefore, FinishAfter, ShownBefore}
}

// injection is the fault that is armed.
type injection struct {
	point     string
	remaining atomic.Int64
	stall     time.Duration // 0: the process is killed
}

var armed atomic.Pointer[injection]

// storePoints are the points off the loop, where the store can be stalled.
var storePoints = []string{InsertBefore, InsertAfter, MarkBefore, MarkAfter, FinishBefore, FinishAfter}

// Arm arms a fault: "POINT" or "POINT:N" kills the process at the first or Nth passing of a
// point, "POINT:N:5s" stalls the store there for that long, once.
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

// Hit marks the passing of a point.
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
	select {} // until the process is killed
}
