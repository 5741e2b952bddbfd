// Package timerqueue keeps all deadlines of the node in one ordered structure.
package timerqueue

import (
	"container/heap"
	"time"
)

// Timer is one entry of a Line.
type Timer struct {
	at       time.Duration
	sequence uint64 // entries of one time come due in the order they were made
	index    int    // in the heap; -1: no longer there
	callback func()
}

// At returns the deadline's time.
func (d *Timer) At() time.Duration { return d.at }

// Queue is the deadlines in order of time. Its zero value is empty.
type Queue struct {
	entries timerHeap
	created uint64
}

// Add sets a deadline. fire is called by Run, once, unless it is dropped before.
func (l *Queue) Add(at time.Duration, fire func()) *Timer {
	l.created++
	d := &Timer{at: at, sequence: l.created, callback: fire}
	heap.Push(&l.entries, d)
	return d
}

// Cancel takes a deadline back. One that is nil, past or dropped is ignored.
func (l *Queue) Cancel(d *Timer) {
	if d == nil {
		return
	}
	d.callback = nil // Run may be keeping it outside the heap just now
	if d.index >= 0 {
		heap.Remove(&l.entries, d.index)
	}
}

// Next returns the earliest deadline's time.
func (l *Queue) Next() (time.Duration, bool) {
	if len(l.entries) == 0 {
		return 0, false
	}
	return l.entries[0].at, true
}

// Run fires what is due. What is added meanwhile waits for the next Run, so
// that a deadline that sets itself anew cannot hold up the loop.
func (l *Queue) Run(now time.Duration) {
	last := l.created
	var later []*Timer
	for len(l.entries) > 0 && l.entries[0].at <= now {
		d := heap.Pop(&l.entries).(*Timer)
		if d.sequence > last {
			later = append(later, d)
			continue
		}
		d.callback()
	}
	for _, d := range later {
		if d.callback != nil {
			heap.Push(&l.entries, d)
		}
	}
}

type timerHeap []*Timer

func (e timerHeap) Len() int { return len(e) }

func (e timerHeap) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e timerHeap) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].index, e[j].index = i, j
}

func (e *timerHeap) Push(x any) {
	d := x.(*Timer)
	d.index = len(*e)
	*e = append(*e, d)
}

func (e *timerHeap) Pop() any {
	old := *e
	d := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	d.index = -1
	return d
}
