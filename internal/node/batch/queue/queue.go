// Package queue is the queue of waiting batch jobs, ordered by priority, then by start time, then
// by age. It knows nothing of jobs, does no I/O and has no clock: jobs before their start time are
// not put in. Package jobs uses it.
package queue

import "github.com/tidwall/btree"

// Key is a job's position in the order. Keys of different jobs differ in ID.
type Key struct {
	Priority int   // higher first
	Start    int64 // start time in Unix microseconds; that of the submission if the job has none
	Seq      int64 // order of submission: lower first
	ID       string
}

// before reports whether a comes before b.
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

// item is a value with its key.
type item[T any] struct {
	Key
	value T
}

// Queue is an ordered queue on a B-tree. Put and Remove take logarithmic time.
type Queue[T any] struct{ tree *btree.BTreeG[item[T]] }

// New returns an empty queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{btree.NewBTreeGOptions(func(a, b item[T]) bool { return before(a.Key, b.Key) },
		btree.Options{NoLocks: true})}
}

// Put adds a job, or replaces the one of the same key.
func (q *Queue[T]) Put(key Key, value T) { q.tree.Set(item[T]{key, value}) }

// Remove removes a job, and reports whether it was there.
func (q *Queue[T]) Remove(key Key) bool {
	_, ok := q.tree.Delete(item[T]{Key: key})
	return ok
}

// First returns the first job.
func (q *Queue[T]) First() (value T, ok bool) {
	e, ok := q.tree.Min()
	return e.value, ok
}

// Len returns the number of jobs in the queue.
func (q *Queue[T]) Len() int { return q.tree.Len() }

// All calls visit for each job in order, until it returns false.
func (q *Queue[T]) All(visit func(T) bool) {
	q.tree.Scan(func(e item[T]) bool { return visit(e.value) })
}
