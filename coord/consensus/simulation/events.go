package simulation

import (
	"time"
)

// event is something that happens at a time.
type event struct {
	at       time.Duration
	sequence uint64
	action   func()
}

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
