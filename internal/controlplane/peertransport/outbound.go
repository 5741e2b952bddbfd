package peertransport

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/consensus"
	"ospreybend/coord/shards"
)

// Backoff between attempts to connect. It is doubled after each failure, and each delay is drawn at random between half of the
// backoff and the whole backoff.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// maxBatchBytes is the approximate maximum length of a batch of several messages.
const maxBatchBytes = 1 << 20

// pendingCall is a call that is queued or waits for its reply.
type pendingCall struct {
	frame  frame           // zero once the call is sent
	sent   bool            // taken from the queue to be written
	result chan callResult // has capacity 1 and gets one result, so that sending to it never blocks
}

// callResult is the reply to a call, or why there is none.
type callResult struct {
	body []byte
	err  error
}

// outboundPeer sends messages and calls to one peer. It has the queues and the connection that this server dials. The goroutine
// that executes runLoop dials the connection and writes to it.
type outboundPeer struct {
	transport *Transport
	address   string
	wake      chan struct{} // has capacity 1; an element wakes the goroutine of runLoop

	mutex          sync.Mutex // guards the fields below
	queuedMessages messageQueue
	queuedCalls    []uint64 // IDs of calls that are not sent yet, oldest first; abandoned calls included
	pendingCalls   map[uint64]*pendingCall
	lastCallID     uint64
	connection     net.Conn // nil: not connected
	unreachable    bool     // calls fail at once: the last attempt to connect failed, or the transport closes
}

// newOutboundPeer returns the sender for a peer. The caller starts its runLoop.
func newOutboundPeer(transport *Transport, address string) *outboundPeer {
	return &outboundPeer{transport: transport, address: address, wake: make(chan struct{}, 1), pendingCalls: make(map[uint64]*pendingCall)}
}

// notify wakes the goroutine of runLoop, or makes its next wait return at once.
func (o *outboundPeer) notify() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// send queues a message. The queue may drop it; see messageQueue.
func (o *outboundPeer) send(shard shards.ID, message consensus.Message) {
	o.mutex.Lock()
	o.queuedMessages.push(shard, message)
	o.mutex.Unlock()
	o.notify()
}

// call queues a call and waits for its result, at most until ctx ends.
func (o *outboundPeer) call(ctx context.Context, kind CallKind, body []byte) ([]byte, error) {
	id, pending, err := o.enqueue(ctx, kind, body)
	if err != nil {
		return nil, err
	}
	select {
	case result := <-pending.result:
		return result.body, result.err
	case <-ctx.Done():
		return nil, o.abandon(id, ctx.Err())
	}
}

// enqueue queues a call and returns its ID. The call's timeout is the time until the deadline of ctx, at most maxCallTimeout.
// enqueue fails with ErrNotSent while the peer is unreachable, so that the caller can call another server at once, and if
// maxQueuedCalls are queued.
func (o *outboundPeer) enqueue(ctx context.Context, kind CallKind, body []byte) (uint64, *pendingCall, error) {
	timeout := maxCallTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.unreachable || len(o.queuedCalls) >= maxQueuedCalls {
		return 0, nil, ErrNotSent
	}
	o.lastCallID++
	encoded, err := encodeCall(o.lastCallID, kind, timeout, body)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	pending := &pendingCall{frame: encoded, result: make(chan callResult, 1)}
	o.pendingCalls[o.lastCallID] = pending
	o.queuedCalls = append(o.queuedCalls, o.lastCallID)
	o.notify()
	return o.lastCallID, pending, nil
}

// abandon removes a call whose context has ended and returns the error for the caller. The error wraps cause, and ErrNotSent if
// the call was still queued, ErrOutcomeUnknown otherwise.
func (o *outboundPeer) abandon(id uint64, cause error) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	pending := o.pendingCalls[id]
	delete(o.pendingCalls, id)
	if pending != nil && !pending.sent {
		return fmt.Errorf("%w: %w", ErrNotSent, cause)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, cause)
}

// complete passes a result to the caller of a call that was sent, if the caller still waits.
func (o *outboundPeer) complete(id uint64, result callResult) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	pending := o.pendingCalls[id]
	if pending == nil || !pending.sent {
		return // already completed, abandoned, or an ID that the peer cannot have received
	}
	delete(o.pendingCalls, id)
	pending.result <- result
}

// runLoop connects to the peer whenever something is queued, until the transport closes.
func (o *outboundPeer) runLoop() {
	defer o.transport.goroutines.Done()
	defer o.failAll(true)
	backoff := minBackoff
	for o.awaitWork() {
		connection, err := o.connect()
		if err != nil {
			o.transport.options.Logger.Debug("dialing the peer failed", zap.String("peer", o.address), zap.Error(err))
			o.markUnreachable()
			if !o.transport.sleep(o.transport.jitter(backoff)) {
				return
			}
			backoff = min(2*backoff, maxBackoff)
			o.allowReconnect()
			continue
		}
		backoff = minBackoff
		o.runConnection(connection)
	}
}

// awaitWork waits until a message or a call is queued. It returns false once the transport closes.
func (o *outboundPeer) awaitWork() bool {
	for {
		if o.transport.ctx.Err() != nil {
			return false
		}
		o.mutex.Lock()
		ready := len(o.queuedMessages.messages) > 0 || len(o.queuedCalls) > 0
		o.mutex.Unlock()
		if ready {
			return true
		}
		select {
		case <-o.wake:
		case <-o.transport.ctx.Done():
		}
	}
}

// connect dials the peer once.
func (o *outboundPeer) connect() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(o.transport.ctx, dialTimeout)
	defer cancel()
	return o.transport.options.Dial(ctx, o.address)
}

// markUnreachable drops the queued messages, which would be outdated by the time the peer can be reached, and fails the queued
// calls, so that their callers can call another server.
func (o *outboundPeer) markUnreachable() {
	o.mutex.Lock()
	o.unreachable = true
	o.queuedMessages.clear()
	o.mutex.Unlock()
	o.failAll(false)
}

// allowReconnect lets calls be queued again. The next message or call starts an attempt to connect.
func (o *outboundPeer) allowReconnect() {
	o.mutex.Lock()
	o.unreachable = false
	o.mutex.Unlock()
}

// failAll completes all pending calls with an error. If closing is set, later calls fail as well.
func (o *outboundPeer) failAll(closing bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.unreachable = o.unreachable || closing
	o.queuedCalls = nil
	for id, pending := range o.pendingCalls {
		delete(o.pendingCalls, id)
		pending.result <- callResult{err: errorWithoutReply(pending)}
	}
}

// failSent completes all calls that were sent with ErrOutcomeUnknown, after their connection has ended. Queued calls remain.
func (o *outboundPeer) failSent() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for id, pending := range o.pendingCalls {
		if pending.sent {
			delete(o.pendingCalls, id)
			pending.result <- callResult{err: ErrOutcomeUnknown}
		}
	}
}

// errorWithoutReply returns the error of a call that gets no reply.
func errorWithoutReply(pending *pendingCall) error {
	if pending.sent {
		return ErrOutcomeUnknown
	}
	return ErrNotSent
}

// status returns the status of the connection and of the queues. The Transport sets the other fields.
func (o *outboundPeer) status() PeerStatus {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return PeerStatus{
		Address: o.address, Connected: o.connection != nil,
		Queued: len(o.queuedMessages.messages), Dropped: o.queuedMessages.dropped,
	}
}
