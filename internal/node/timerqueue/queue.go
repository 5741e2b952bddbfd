// Package timerqueue is a priority queue of the node's timers.
package timerqueue

import (
	"container/heap"
	"time"
)

// Timer is a timer of a Queue.
type Timer struct {
	at       time.Duration
	sequence uint64 // timers of the same time fire in the order in which they were added
	index    int    // in the heap; -1: not in it
	callback func() // nil: cancelled
}

// At returns the time at which the timer fires.
func (t *Timer) At() time.Duration { return t.at }

// Queue has timers in the order of their times. Its zero value is empty and ready for use.
type Queue struct {
	timers  timerHeap
	created uint64 // number of timers added since the start
}

// Add adds a timer. Run calls callback once, unless the timer is cancelled before.
func (q *Queue) Add(at time.Duration, callback func()) *Timer {
	q.created++
	t := &Timer{at: at, sequence: q.created, callback: callback}
	heap.Push(&q.timers, t)
	return t
}

// Cancel cancels a timer. It ignores nil, and a timer that has fired or been cancelled.
func (q *Queue) Cancel(t *Timer) {
	if t == nil {
		return
	}
	t.callback = nil // a running Run may have taken it off the heap, to put it back later
	if t.index >= 0 {
		heap.Remove(&q.timers, t.index)
	}
}

// Next returns the time of the earliest timer, and false if there is none.
func (q *Queue) Next() (time.Duration, bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].at, true
}

// Run fires the timers that are due. A timer added meanwhile waits for the next Run, so that a
// callback that adds its timer again cannot block the event loop.
func (q *Queue) Run(now time.Duration) {
	last := q.created
	var later []*Timer
	for len(q.timers) > 0 && q.timers[0].at <= now {
		t := heap.Pop(&q.timers).(*Timer)
		if t.sequence > last {
			later = append(later, t)
			continue
		}
		t.callback()
	}
	for _, t := range later {
		if t.callback != nil {
			heap.Push(&q.timers, t)
		}
	}
}

// timerHeap implements heap.Interface.
type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
