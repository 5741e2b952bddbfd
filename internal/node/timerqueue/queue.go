// Package timerqueue keeps all deadlines of the node in one ordered structure.
package timerqueue

import (
	"container/heap"
	"time"
)

// Deadline is one entry of a Line.
type Deadline struct {
	at    time.Duration
	order uint64 // entries of one time come due in the order they were made
	place int    // in the heap; -1: no longer there
	fire  func()
}

// At returns the deadline's time.
func (d *Deadline) At() time.Duration { return d.at }

// Line is the deadlines in order of time. Its zero value is empty.
type Line struct {
	entries entries
	made    uint64
}

// Add sets a deadline. fire is called by Run, once, unless it is dropped before.
func (l *Line) Add(at time.Duration, fire func()) *Deadline {
	l.made++
	d := &Deadline{at: at, order: l.made, fire: fire}
	heap.Push(&l.entries, d)
	return d
}

// Drop takes a deadline back. One that is nil, past or dropped is ignored.
func (l *Line) Drop(d *Deadline) {
	if d == nil {
		return
	}
	d.fire = nil // Run may be keeping it outside the heap just now
	if d.place >= 0 {
		heap.Remove(&l.entries, d.place)
	}
}

// Next returns the earliest deadline's time.
func (l *Line) Next() (time.Duration, bool) {
	if len(l.entries) == 0 {
		return 0, false
	}
	return l.entries[0].at, true
}

// Run fires what is due. What is added meanwhile waits for the next Run, so
// that a deadline that sets itself anew cannot hold up the loop.
func (l *Line) Run(now time.Duration) {
	last := l.made
	var later []*Deadline
	for len(l.entries) > 0 && l.entries[0].at <= now {
		d := heap.Pop(&l.entries).(*Deadline)
		if d.order > last {
			later = append(later, d)
			continue
		}
		d.fire()
	}
	for _, d := range later {
		if d.fire != nil {
			heap.Push(&l.entries, d)
		}
	}
}

type entries []*Deadline

func (e entries) Len() int { return len(e) }

func (e entries) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

func (e entries) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].place, e[j].place = i, j
}

func (e *entries) Push(x any) {
	d := x.(*Deadline)
	d.place = len(*e)
	*e = append(*e, d)
}

func (e *entries) Pop() any {
	old := *e
	d := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	d.place = -1
	return d
}
