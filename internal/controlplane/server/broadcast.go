package server

import (
	"context"
	"sync"
	"time"
)

// broadcast lets goroutines wait for the next change of something that they then look at.
type broadcast struct {
	mutex sync.Mutex
	next  chan struct{}
}

// changed returns a channel that is closed by the next raise. It is to be taken before the look.
func (b *broadcast) changed() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

// notifyAll wakes all that wait.
func (b *broadcast) notifyAll() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}

// subscribers are the sessions of the feed that wait for news.
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

// wake sends a token to each session that has none.
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

// notify sends a token to a channel of capacity one, unless it holds one.
func notify(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// waitForChange waits for a change, at most for a time. It returns false once ctx has ended.
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
