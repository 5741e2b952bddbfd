// Package queue is a priority queue for batch jobs that wait to run, ordered by priority, then by start
// time, then by order of submission. It does not depend on the job type, does no I/O and has no clock:
// the caller adds a job only once its start time has come. Package jobs uses it.
package queue

import "github.com/tidwall/btree"

// Key determines a job's position in the queue. Different jobs have different IDs.
type Key struct {
	Priority int   // higher values come first
	Start    int64 // start time in Unix microseconds, or the submission time if the job has none
	Seq      int64 // order of submission: lower values come first
	ID       string
}

// before reports whether a precedes b in the queue.
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

// item is a job in the tree.
type item[T any] struct {
	Key
	value T
}

// Queue is a priority queue on a B-tree. Put and Remove take logarithmic time.
type Queue[T any] struct{ tree *btree.BTreeG[item[T]] }

// New returns an empty queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{btree.NewBTreeGOptions(func(a, b item[T]) bool { return before(a.Key, b.Key) },
		btree.Options{NoLocks: true})}
}

// Put adds a job, or replaces the one with the same key.
func (q *Queue[T]) Put(key Key, value T) { q.tree.Set(item[T]{key, value}) }

// Remove removes a job and reports whether it was in the queue.
func (q *Queue[T]) Remove(key Key) bool {
	_, ok := q.tree.Delete(item[T]{Key: key})
	return ok
}

// First returns the first job. ok is false if the queue is empty.
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
