// Package queue orders the jobs that wait for their turn: by priority, then by
// start time, then by age. It knows nothing of what the jobs are, does no I/O
// and keeps no clock: what is not to start yet is not put in.
package queue

import "github.com/tidwall/btree"

// Key is a job's place in the order. Places of different jobs differ in ID.
type Key struct {
	Priority int   // higher goes first
	Start    int64 // start time, Unix microseconds; what was submitted without one has its submission's
	Seq      int64 // age: lower goes first
	ID       string
}

func before(a, b Key) bool {
	switch {
	case a.Priority != b.Priority:
		return a.Priority > b.Priority
	case a.Start != b.Start:
		return a.Start < b.Start
	case a.Seq != b.Seq:
		return a.Seq < b.Seq
	}
	return a.ID < b.ID
}

type item[T any] struct {
	Key
	value T
}

// Queue is the jobs in order. Putting, taking and removing cost the logarithm
// of their number.
type Queue[T any] struct{ tree *btree.BTreeG[item[T]] }

// New makes an empty queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{btree.NewBTreeGOptions(func(a, b item[T]) bool { return before(a.Key, b.Key) },
		btree.Options{NoLocks: true})}
}

// Put puts a job in. One that has the place already is replaced.
func (q *Queue[T]) Put(key Key, value T) { q.tree.Set(item[T]{key, value}) }

// Remove takes a job out, and tells whether it was in.
func (q *Queue[T]) Remove(key Key) bool {
	_, ok := q.tree.Delete(item[T]{Key: key})
	return ok
}

// First returns whose turn it is.
func (q *Queue[T]) First() (value T, ok bool) {
	e, ok := q.tree.Min()
	return e.value, ok
}

// Len returns the number of jobs in the queue.
func (q *Queue[T]) Len() int { return q.tree.Len() }

// All calls f for each job in order, until it returns false.
func (q *Queue[T]) All(visit func(T) bool) {
	q.tree.Scan(func(e item[T]) bool { return visit(e.value) })
}
