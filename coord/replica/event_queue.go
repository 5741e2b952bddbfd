package replica

import (
	"sync"

	"ospreybend/coord/consensus"
)

// event is what the loop handles. Types: messageEvent, proposeEvent, changeEvent, readEvent,
// transferEvent, callEvent, diskEvent.
type event interface{}

type messageEvent struct{ message consensus.Message }

type proposeEvent struct {
	data []byte
	done chan outcome
}

type changeEvent struct {
	change consensus.MembershipChange
	done   chan outcome
}

type readEvent struct{ done chan outcome }

type transferEvent struct {
	to   consensus.MemberID // 0: the most current voter
	done chan outcome
}

type callEvent struct {
	function func()
	done     chan outcome
}

// diskEvent is a report of the log writer.
type diskEvent struct {
	jobs      int // finished since the last report, oldest first
	persisted uint64
	compacted *consensus.Snapshot // now durable
	dropped   bool                // the snapshot failed and is not tried again by itself
	err       error               // the last try failed
	logBytes  int64
	diskBytes int64
}

// outcome answers a waiting call. Its channel has room for it, so that the loop never waits.
type outcome struct {
	result any
	index  uint64
	err    error
}

func newDone() chan outcome { return make(chan outcome, 1) }

// maxWaitingMessages bounds the messages that wait for the loop; more are dropped.
const maxWaitingMessages = 4096

// inbox collects events for the loop.
type inbox struct {
	mutex    sync.Mutex
	events   []event
	messages int
	closed   bool
	signal   chan struct{} // has room for one
}

func newInbox() *inbox { return &inbox{signal: make(chan struct{}, 1)} }

// post adds an event. It returns false if the inbox is closed, or full in the case of messages.
func (b *inbox) post(one event) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.closed {
		return false
	}
	if _, isMessage := one.(messageEvent); isMessage {
		if b.messages >= maxWaitingMessages {
			return false
		}
		b.messages++
	}
	b.events = append(b.events, one)
	if len(b.events) == 1 {
		wake(b.signal)
	}
	return true
}

// wake marks a channel with room for one.
func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// take returns all events that wait.
func (b *inbox) take() []event {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	events := b.events
	b.events, b.messages = nil, 0
	return events
}

// close refuses further events and returns those that wait.
func (b *inbox) close() []event {
	b.mutex.Lock()
	b.closed = true
	b.mutex.Unlock()
	return b.take()
}
