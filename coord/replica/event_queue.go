package replica

import (
	"sync"

	"ospreybend/coord/consensus"
)

// loopEvent is an event for the event loop. If it carries a call, the answer is sent on its outcome channel.
type loopEvent interface {
	// reject answers the call, if the event carries one, with err, without handling the event.
	reject(err error)
}

// messageEvent carries a message from another member.
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

// transferEvent carries a call of TransferLeadership or TransferLeadershipTo.
type transferEvent struct {
	to       consensus.MemberID   // 0: the most up-to-date other voter that is not excluded
	excluded []consensus.MemberID // voters that must not be chosen
	done     chan outcome
}

// callEvent carries a call of Do.
type callEvent struct {
	function func()
	done     chan outcome
}

// diskReport is a report of the log writer about its last write.
type diskReport struct {
	finishedJobs      int                 // number of jobs that this write finished, oldest first
	persistedSequence uint64              // sequence of the last state that is now durable; 0: none
	compactedSnapshot *consensus.Snapshot // the local snapshot that is now durable; nil: none
	snapshotFailed    bool                // a local snapshot could not be written; the writer does not retry it
	err               error               // why the write failed; nil if it succeeded
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

// maxQueuedMessages limits the messages in an event queue; further messages are dropped. Calls are not limited.
const maxQueuedMessages = 4096

// eventQueue collects events for the event loop.
type eventQueue struct {
	mutex        sync.Mutex // guards the fields below
	events       []loopEvent
	messageCount int // number of messages among the events
	closed       bool

	signal chan struct{} // buffered; signaled when the first event is added to an empty queue
}

func newEventQueue() *eventQueue { return &eventQueue{signal: make(chan struct{}, 1)} }

// push appends an event. It returns false if the queue is closed or, for a message, if the queue is full.
func (q *eventQueue) push(event loopEvent) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.closed {
		return false
	}
	if _, isMessage := event.(messageEvent); isMessage {
		if q.messageCount >= maxQueuedMessages {
			return false
		}
		q.messageCount++
	}
	q.events = append(q.events, event)
	if len(q.events) == 1 {
		notify(q.signal)
	}
	return true
}

// notify signals a buffered channel unless a signal is already pending.
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
	q.events, q.messageCount = nil, 0
	return events
}

// close makes push return false from now on, and returns the queued events.
func (q *eventQueue) close() []loopEvent {
	q.mutex.Lock()
	q.closed = true
	q.mutex.Unlock()
	return q.drain()
}
