package replica

import (
	"sync"

	"ospreybend/coord/consensus"
)

// loopEvent is what the loop handles. Types: messageEvent, proposeEvent, changeEvent, readEvent,
// transferEvent, callEvent, diskEvent.
type loopEvent interface{}

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

// diskReport is a report of the log writer.
type diskReport struct {
	finishedJobs      int // finished since the last report, oldest first
	persistedSequence uint64
	compactedSnapshot *consensus.Snapshot // now durable
	snapshotFailed    bool                // the snapshot failed and is not tried again by itself
	err               error               // the last try failed
	logBytes          int64
	diskBytes         int64
}

// outcome answers a waiting call. Its channel has room for it, so that the loop never waits.
type outcome struct {
	result any
	index  uint64
	err    error
}

func newOutcomeChannel() chan outcome { return make(chan outcome, 1) }

// maxQueuedMessages bounds the messages that wait for the loop; more are dropped.
const maxQueuedMessages = 4096

// eventQueue collects events for the loop.
type eventQueue struct {
	mutex    sync.Mutex
	events   []loopEvent
	messages int
	closed   bool
	signal   chan struct{} // has room for one
}

func newEventQueue() *eventQueue { return &eventQueue{signal: make(chan struct{}, 1)} }

// push adds an event. It returns false if the inbox is closed, or full in the case of messages.
func (q *eventQueue) push(one loopEvent) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.closed {
		return false
	}
	if _, isMessage := one.(messageEvent); isMessage {
		if q.messages >= maxQueuedMessages {
			return false
		}
		q.messages++
	}
	q.events = append(q.events, one)
	if len(q.events) == 1 {
		notify(q.signal)
	}
	return true
}

// notify marks a channel with room for one.
func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// drain returns all events that wait.
func (q *eventQueue) drain() []loopEvent {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	events := q.events
	q.events, q.messages = nil, 0
	return events
}

// close refuses further events and returns those that wait.
func (q *eventQueue) close() []loopEvent {
	q.mutex.Lock()
	q.closed = true
	q.mutex.Unlock()
	return q.drain()
}
