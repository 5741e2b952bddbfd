package peertransport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/consensus"
	"ospreybend/coord/shards"
)

// Pauses between attempts to connect; each is drawn from half of the value up to the whole.
const (
	firstPause = 50 * time.Millisecond
	lastPause  = 500 * time.Millisecond
)

// maxBatchBytes is about the length of the longest batch of several messages.
const maxBatchBytes = 1 << 20

// pendingCall is a call that waits for its reply.
type pendingCall struct {
	frame frame
	sent  bool
	done  chan callResult // takes one result without blocking
}

type callResult struct {
	body []byte
	err  error
}

// link is the connection that this keeper dials to one peer.
type link struct {
	network *Network
	address string
	wake    chan struct{} // one token: there is work, or the connection broke

	mutex      sync.Mutex
	messages   messageQueue
	waiting    []uint64 // calls that are not sent yet, oldest first
	calls      map[uint64]*pendingCall
	lastCall   uint64
	connection net.Conn // nil: none
	down       bool     // the last attempt to connect failed
}

func newLink(network *Network, address string) *link {
	return &link{network: network, address: address, wake: make(chan struct{}, 1), calls: make(map[uint64]*pendingCall)}
}

func (l *link) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// send queues a message, unless the peer cannot be reached just now.
func (l *link) send(shard shards.ID, message consensus.Message) {
	l.mutex.Lock()
	l.messages.push(shard, message)
	l.mutex.Unlock()
	l.notify()
}

// call queues a call and waits for its result.
func (l *link) call(ctx context.Context, kind CallKind, body []byte) ([]byte, error) {
	id, pending, err := l.enqueue(ctx, kind, body)
	if err != nil {
		return nil, err
	}
	select {
	case result := <-pending.done:
		return result.body, result.err
	case <-ctx.Done():
		return nil, l.abandon(id, ctx.Err())
	}
}

func (l *link) enqueue(ctx context.Context, kind CallKind, body []byte) (uint64, *pendingCall, error) {
	budget := lastBudget
	if deadline, ok := ctx.Deadline(); ok {
		budget = min(budget, time.Until(deadline))
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.down || len(l.waiting) >= maxQueuedCalls {
		return 0, nil, ErrNotSent
	}
	l.lastCall++
	encoded, err := encodeCall(l.lastCall, kind, budget, body)
	if err != nil {
		return 0, nil, errors.Join(ErrNotSent, err)
	}
	pending := &pendingCall{frame: encoded, done: make(chan callResult, 1)}
	l.calls[l.lastCall] = pending
	l.waiting = append(l.waiting, l.lastCall)
	l.notify()
	return l.lastCall, pending, nil
}

// abandon forgets a call whose caller no longer waits and returns what the caller is told.
func (l *link) abandon(id uint64, cause error) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	pending := l.calls[id]
	delete(l.calls, id)
	if pending != nil && !pending.sent {
		return fmt.Errorf("%w: %w", ErrNotSent, cause)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, cause)
}

// finish hands a result to the caller of a call that was sent, if it still waits.
func (l *link) finish(id uint64, result callResult) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	pending := l.calls[id]
	if pending == nil || !pending.sent {
		return // answered before, given up, or not a call that the peer can know of
	}
	delete(l.calls, id)
	pending.done <- result
}

// run connects whenever there is something to send, until the network closes.
func (l *link) run() {
	defer l.network.running.Done()
	defer l.failAll(true)
	pause := firstPause
	for l.awaitWork() {
		connection, err := l.connect()
		if err != nil {
			l.network.options.Logger.Debug("peer not reached", zap.String("peer", l.address), zap.Error(err))
			l.setDown()
			if !l.sleep(l.network.jitter(pause)) {
				return
			}
			pause = min(2*pause, lastPause)
			l.allowAttempt()
			continue
		}
		pause = firstPause
		l.serve(connection)
	}
}

// awaitWork waits until something is queued. It returns false once the network closes.
func (l *link) awaitWork() bool {
	for {
		if l.network.ctx.Err() != nil {
			return false
		}
		l.mutex.Lock()
		ready := len(l.messages.messages) > 0 || len(l.waiting) > 0
		l.mutex.Unlock()
		if ready {
			return true
		}
		select {
		case <-l.wake:
		case <-l.network.ctx.Done():
		}
	}
}

func (l *link) sleep(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.network.ctx.Done():
		return false
	}
}

func (l *link) connect() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(l.network.ctx, dialTimeout)
	defer cancel()
	return l.network.options.Dial(ctx, l.address)
}

// setDown drops what waits: messages are old by the time that the peer is reached, and callers
// are better off with another keeper.
func (l *link) setDown() {
	l.mutex.Lock()
	l.down = true
	l.messages.clear()
	l.mutex.Unlock()
	l.failAll(false)
}

// allowAttempt lets the next message or call start an attempt to connect.
func (l *link) allowAttempt() {
	l.mutex.Lock()
	l.down = false
	l.mutex.Unlock()
}

// failAll ends all calls that wait for a reply; with closing also those that come later.
func (l *link) failAll(closing bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.down = l.down || closing
	l.waiting = nil
	for id, pending := range l.calls {
		delete(l.calls, id)
		pending.done <- callResult{err: outcomeOf(pending)}
	}
}

// failSent ends the calls that were sent on a connection that broke.
func (l *link) failSent() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for id, pending := range l.calls {
		if pending.sent {
			delete(l.calls, id)
			pending.done <- callResult{err: ErrOutcomeUnknown}
		}
	}
}

func outcomeOf(pending *pendingCall) error {
	if pending.sent {
		return ErrOutcomeUnknown
	}
	return ErrNotSent
}

func (l *link) status() PeerStatus {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return PeerStatus{
		Address: l.address, Connected: l.connection != nil,
		Queued: len(l.messages.messages), Dropped: l.messages.dropped,
	}
}
