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

// Backoff between attempts to connect, doubled with each failure; each delay is drawn between half of the value and the value.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// maxBatchBytes is the approximate maximal length of a batch of several messages.
const maxBatchBytes = 1 << 20

// pendingCall is a call that awaits its reply.
type pendingCall struct {
	frame frame // empty once it is sent
	sent  bool
	done  chan callResult // of capacity 1, so that the one result never blocks
}

// callResult is the reply to a call, or why there is none.
type callResult struct {
	body []byte
	err  error
}

// outbound is the sending side to one peer: its queues, and the connection that this server dials. The goroutine of runLoop
// dials, and writes.
type outbound struct {
	transport *Transport
	address   string
	wake      chan struct{} // of capacity 1; a token: something is queued, or the connection broke

	mutex       sync.Mutex // guards the fields below
	messages    messageQueue
	queuedCalls []uint64 // IDs of calls that are not sent yet, oldest first
	calls       map[uint64]*pendingCall
	lastCallID  uint64
	connection  net.Conn // nil: none
	unreachable bool     // the last attempt to connect failed
}

// newOutbound returns the sending side to a peer. The caller starts its runLoop.
func newOutbound(transport *Transport, address string) *outbound {
	return &outbound{transport: transport, address: address, wake: make(chan struct{}, 1), calls: make(map[uint64]*pendingCall)}
}

// notify wakes the goroutine of runLoop.
func (o *outbound) notify() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// send queues a message. It may be dropped; see messageQueue.
func (o *outbound) send(shard shards.ID, message consensus.Message) {
	o.mutex.Lock()
	o.messages.push(shard, message)
	o.mutex.Unlock()
	o.notify()
}

// call queues a call and awaits its result, at most until ctx ends.
func (o *outbound) call(ctx context.Context, kind CallKind, body []byte) ([]byte, error) {
	id, pending, err := o.enqueue(ctx, kind, body)
	if err != nil {
		return nil, err
	}
	select {
	case result := <-pending.done:
		return result.body, result.err
	case <-ctx.Done():
		return nil, o.abandon(id, ctx.Err())
	}
}

// enqueue queues a call with the time that ctx leaves, and returns its ID. It fails with ErrNotSent while the peer is
// unreachable, so that the caller can call another server at once.
func (o *outbound) enqueue(ctx context.Context, kind CallKind, body []byte) (uint64, *pendingCall, error) {
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
	pending := &pendingCall{frame: encoded, done: make(chan callResult, 1)}
	o.calls[o.lastCallID] = pending
	o.queuedCalls = append(o.queuedCalls, o.lastCallID)
	o.notify()
	return o.lastCallID, pending, nil
}

// abandon drops a call whose context has ended and returns the error for its caller.
func (o *outbound) abandon(id uint64, cause error) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	pending := o.calls[id]
	delete(o.calls, id)
	if pending != nil && !pending.sent {
		return fmt.Errorf("%w: %w", ErrNotSent, cause)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, cause)
}

// complete passes a result to the caller of a call that was sent, if it still waits.
func (o *outbound) complete(id uint64, result callResult) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	pending := o.calls[id]
	if pending == nil || !pending.sent {
		return // completed before, abandoned, or a false ID: the peer cannot know a call that was not sent
	}
	delete(o.calls, id)
	pending.done <- result
}

// runLoop connects whenever something is queued, until the transport closes.
func (o *outbound) runLoop() {
	defer o.transport.running.Done()
	defer o.failAll(true)
	backoff := minBackoff
	for o.awaitWork() {
		connection, err := o.connect()
		if err != nil {
			o.transport.options.Logger.Debug("peer not reached", zap.String("peer", o.address), zap.Error(err))
			o.markUnreachable()
			if !o.transport.sleep(o.transport.jitter(backoff)) {
				return
			}
			backoff = min(2*backoff, maxBackoff)
			o.allowReconnect()
			continue
		}
		backoff = minBackoff
		o.serve(connection)
	}
}

// awaitWork waits until something is queued. It returns false once the transport closes.
func (o *outbound) awaitWork() bool {
	for {
		if o.transport.ctx.Err() != nil {
			return false
		}
		o.mutex.Lock()
		ready := len(o.messages.messages) > 0 || len(o.queuedCalls) > 0
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
func (o *outbound) connect() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(o.transport.ctx, dialTimeout)
	defer cancel()
	return o.transport.options.Dial(ctx, o.address)
}

// markUnreachable drops what is queued: messages would be outdated by the time that the peer is reached, and callers can
// call another server.
func (o *outbound) markUnreachable() {
	o.mutex.Lock()
	o.unreachable = true
	o.messages.clear()
	o.mutex.Unlock()
	o.failAll(false)
}

// allowReconnect makes the next message or call start an attempt to connect.
func (o *outbound) allowReconnect() {
	o.mutex.Lock()
	o.unreachable = false
	o.mutex.Unlock()
}

// failAll completes all pending calls with an error, and with closing makes later calls fail, too.
func (o *outbound) failAll(closing bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.unreachable = o.unreachable || closing
	o.queuedCalls = nil
	for id, pending := range o.calls {
		delete(o.calls, id)
		pending.done <- callResult{err: outcomeOf(pending)}
	}
}

// failSent completes the calls that were sent on a connection that broke with ErrOutcomeUnknown.
func (o *outbound) failSent() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for id, pending := range o.calls {
		if pending.sent {
			delete(o.calls, id)
			pending.done <- callResult{err: ErrOutcomeUnknown}
		}
	}
}

// outcomeOf returns the error of a call that gets no reply.
func outcomeOf(pending *pendingCall) error {
	if pending.sent {
		return ErrOutcomeUnknown
	}
	return ErrNotSent
}

// status returns what the sending side knows of the peer.
func (o *outbound) status() PeerStatus {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return PeerStatus{
		Address: o.address, Connected: o.connection != nil,
		Queued: len(o.messages.messages), Dropped: o.messages.dropped,
	}
}
