package server

import (
	"context"
	"sync"
	"time"
)

// broadcast wakes goroutines at the next change of something. A waiter takes the channel of next first, then looks at the
// state, then waits: no change between the look and the wait is missed.
type broadcast struct {
	mutex   sync.Mutex
	pending chan struct{} // closed by the next notifyAll; nil: nobody waits
}

// next returns a channel that the next notifyAll closes.
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

// subscribers are the feed sessions that wait for changes.
type subscribers struct {
	mutex   sync.Mutex
	wakeups map[chan<- struct{}]struct{}
}

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

// wake sends a token to each session that has none pending.
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

// notify sends a token to a channel of capacity one, unless one is pending.
func notify(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// waitForChange waits until changed is closed, or until the timeout. It reports whether ctx is still alive.
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
