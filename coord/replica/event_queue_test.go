package replica

import (
	"testing"
)

func TestEventQueue_push_boundsMessages(t *testing.T) {
	queue := newEventQueue()
	for i := range maxQueuedMessages {
		if !queue.push(messageEvent{}) {
			t.Fatalf("message %d of %d was rejected", i+1, maxQueuedMessages)
		}
	}
	if queue.push(messageEvent{}) {
		t.Fatalf("a message was accepted beyond the limit of %d", maxQueuedMessages)
	}
	if !queue.push(readEvent{}) {
		t.Fatal("a call was rejected because the queue is full of messages")
	}
	queue.drain()
	if !queue.push(messageEvent{}) {
		t.Fatal("a message was rejected after the queue was drained")
	}
}
