// Package faultinjection kills the process at named points in the processing of a batch job, or
// stalls the store of record there. Tests use it to simulate a crash or a slow store between two
// steps. Unless a fault is armed, passing a point costs one atomic load. The points are in packages
// jobs, store, routing and protocol.
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

// The points, in the order in which a job passes them.
const (
	InsertBefore      = "insert-before" // before the commit of the job's record
	InsertAfter       = "insert-after"  // after that commit
	AcknowledgeBefore = "answer-before" // before the submission is acknowledged
	MarkBefore        = "mark-before"   // before the commit of the mark that the job may be sent
	MarkAfter         = "mark-after"    // after that commit
	SendBefore        = "gate-open"     // before the request is written to the socket
	BytesWritten      = "bytes-written" // after the request was written
	OutcomeReceived   = "outcome-heard" // after the outcome was received
	FinishBefore      = "finish-before" // before the commit of the final state
	FinishAfter       = "finish-after"  // after that commit
	PublishBefore     = "shown-before"  // before the final state is visible to clients
)

// Points returns the names of all points.
func Points() []string {
	return []string{InsertBefore, InsertAfter, AcknowledgeBefore, MarkBefore, MarkAfter, SendBefore, BytesWritten, OutcomeReceived,
		FinishBefore, FinishAfter, PublishBefore}
}

// injection is an armed fault.
type injection struct {
	point     string
	remaining atomic.Int64  // passings until the fault occurs
	stall     time.Duration // 0: the process is killed instead
}

var armed atomic.Pointer[injection]

// storePoints are the points at which the store can be stalled. They are passed outside of the event
// loop, which a stall would block.
var storePoints = []string{InsertBefore, InsertAfter, MarkBefore, MarkAfter, FinishBefore, FinishAfter}

// Arm arms a fault: "POINT" or "POINT:N" kills the process at the first or the Nth passing of a
// point; "POINT:N:5s" stalls the store for that time at the Nth passing. A fault occurs only once.
func Arm(spec string) error {
	point, passing, hasPassing := strings.Cut(spec, ":")
	passing, duration, hasStall := strings.Cut(passing, ":")
	var stall time.Duration
	if hasStall {
		var err error
		if stall, err = time.ParseDuration(duration); err != nil || stall <= 0 || !slices.Contains(storePoints, point) {
			return fmt.Errorf("fault %q: want a stall above 0s at one of %s", spec, strings.Join(storePoints, ", "))
		}
	}
	n := int64(1)
	if hasPassing {
		var err error
		if n, err = strconv.ParseInt(passing, 10, 64); err != nil || n < 1 {
			return fmt.Errorf("fault %q: %q is not a number of passings above 0", spec, passing)
		}
	}
	if !slices.Contains(Points(), point) {
		return fmt.Errorf("fault %q: %q is not one of the points %s", spec, point, strings.Join(Points(), ", "))
	}
	fault := &injection{point: point, stall: stall}
	fault.remaining.Store(n)
	armed.Store(fault)
	return nil
}

// Hit is called when a point is passed. It injects the armed fault if this is the passing that the
// fault names.
func Hit(point string) {
	fault := armed.Load()
	if fault == nil || fault.point != point || fault.remaining.Add(-1) != 0 {
		return
	}
	if fault.stall > 0 {
		time.Sleep(fault.stall)
		return
	}
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {} // SIGKILL may take effect only later
}
