package replica

import (
	"testing"
)

func TestEventQueue_push_boundsMessages(t *testing.T) {
	box := newEventQueue()
	for range maxQueuedMessages {
		if !box.push(messageEvent{}) {
			t.Fatal("rejected too early")
		}
	}
	if box.push(messageEvent{}) {
		t.Fatal("not bounded")
	}
	if !box.push(readEvent{}) {
		t.Fatal("a call was rejected because of messages")
	}
	box.drain()
	if !box.push(messageEvent{}) {
		t.Fatal("rejected after it was drained")
	}
}
