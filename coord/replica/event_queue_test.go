package replica

import (
	"testing"
)

func TestEventQueue_push_boundsMessages(t *testing.T) {
	queue := newEventQueue()
	for range maxQueuedMessages {
		if !queue.push(messageEvent{}) {
			t.Fatal("rejected too early")
		}
	}
	if queue.push(messageEvent{}) {
		t.Fatal("not bounded")
	}
	if !queue.push(readEvent{}) {
		t.Fatal("a call was rejected because of messages")
	}
	queue.drain()
	if !queue.push(messageEvent{}) {
		t.Fatal("rejected after it was drained")
	}
}
