package simulation

import "time"

// event is an action that runs at a simulated time.
type event struct {
	at       time.Duration
	sequence uint64 // events at the same time run in the order in which they were scheduled
	action   func()
}

// eventQueue is a heap.Interface with the earliest event first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	*q = (*q)[:last]
	return popped
}
