package replica

import (
	"sync"

	"ospreybend/coord/consensus"
)

// loopEvent is an event for the event loop. An event that carries a call answers it through its outcome channel.
type loopEvent interface {
	// reject answers the call, if the event carries one, with an error instead of handling it.
	reject(err error)
}

// messageEvent carries a message of another member.
type messageEvent struct{ message consensus.Message }

// proposeEvent carries a call of Propose.
type proposeEvent struct {
	data []byte
	done chan outcome
}

// changeEvent carries a call of ChangeMembers.
type changeEvent struct {
	change consensus.MembershipChange
	done   chan outcome
}

// readEvent carries a call of ReadBarrier.
type readEvent struct{ done chan outcome }

// transferEvent carries a call of TransferLeadershipTo.
type transferEvent struct {
	to   consensus.MemberID // 0: the most up-to-date voter
	done chan outcome
}

// callEvent carries a call of Do.
type callEvent struct {
	function func()
	done     chan outcome
}

// diskReport is a report of the log writer about its last write.
type diskReport struct {
	finishedJobs      int                 // finished by this write, the oldest ones
	persistedSequence uint64              // of the last state that is now durable; 0: none
	compactedSnapshot *consensus.Snapshot // local snapshot that is now durable; nil: none
	snapshotFailed    bool                // a local snapshot failed; the writer does not retry it
	err               error               // why the write failed; nil: it succeeded
	logBytes          int64
	diskBytes         int64
}

func (messageEvent) reject(error)        {}
func (diskReport) reject(error)          {}
func (e proposeEvent) reject(err error)  { e.done <- outcome{err: err} }
func (e changeEvent) reject(err error)   { e.done <- outcome{err: err} }
func (e readEvent) reject(err error)     { e.done <- outcome{err: err} }
func (e transferEvent) reject(err error) { e.done <- outcome{err: err} }
func (e callEvent) reject(err error)     { e.done <- outcome{err: err} }

// outcome is the answer to a call.
type outcome struct {
	result any
	index  uint64
	err    error
}

// newOutcomeChannel returns the channel for the answer to one call. It is buffered, so that the event loop never blocks.
func newOutcomeChannel() chan outcome { return make(chan outcome, 1) }

// maxQueuedMessages bounds the messages in an event queue; further ones are dropped. Calls are not bounded.
const maxQueuedMessages = 4096

// eventQueue collects events for the event loop.
type eventQueue struct {
	mutex    sync.Mutex // guards the fields below
	events   []loopEvent
	messages int // how many of the events are messages
	closed   bool

	signal chan struct{} // buffered; receives a value when the queue stops being empty
}

func newEventQueue() *eventQueue { return &eventQueue{signal: make(chan struct{}, 1)} }

// push appends an event. It returns false if the queue is closed or, for a message, full.
func (q *eventQueue) push(added loopEvent) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.closed {
		return false
	}
	if _, isMessage := added.(messageEvent); isMessage {
		if q.messages >= maxQueuedMessages {
			return false
		}
		q.messages++
	}
	q.events = append(q.events, added)
	if len(q.events) == 1 {
		notify(q.signal)
	}
	return true
}

// notify sends to a buffered signal channel unless a signal is pending already.
func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// drain removes and returns all queued events.
func (q *eventQueue) drain() []loopEvent {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	events := q.events
	q.events, q.messages = nil, 0
	return events
}

// close makes push return false from now on, and returns the queued events.
func (q *eventQueue) close() []loopEvent {
	q.mutex.Lock()
	q.closed = true
	q.mutex.Unlock()
	return q.drain()
}
