package server

import (
	"context"
	"sync"
	"time"
)

// broadcast wakes all goroutines that wait for a state to change. A waiter calls next, then reads the state, then waits on the
// channel: in this order it cannot miss a change between the read and the wait.
type broadcast struct {
	mutex   sync.Mutex
	pending chan struct{} // closed by the next notifyAll; nil if there are no waiters
}

// next returns a channel that the next call of notifyAll closes.
func (b *broadcast) next() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.pending == nil {
		b.pending = make(chan struct{})
	}
	return b.pending
}

// notifyAll wakes all current waiters.
func (b *broadcast) notifyAll() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.pending != nil {
		close(b.pending)
		b.pending = nil
	}
}

// subscribers is the set of feed sessions to wake when there is something to send.
type subscribers struct {
	mutex   sync.Mutex
	wakeups map[chan<- struct{}]struct{}
}

// add registers a session's channel until cancel is called.
func (s *subscribers) add(wake chan<- struct{}) (cancel func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.wakeups == nil {
		s.wakeups = make(map[chan<- struct{}]struct{})
	}
	s.wakeups[wake] = struct{}{}
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.wakeups, wake)
	}
}

// wake sends a token to each session whose channel has room, that is, to those without a pending token.
func (s *subscribers) wake() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for wake := range s.wakeups {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// notify sends a token to a channel of capacity one, unless a token is already pending.
func notify(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// waitForChange waits until changed is closed, the timeout has passed or ctx is done. It returns false if ctx is done.
func waitForChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return ctx.Err() == nil
}
