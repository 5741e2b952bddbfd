package server

import "sync"

// signal lets goroutines wait for the next change of something that they then look at.
type signal struct {
	mutex sync.Mutex
	next  chan struct{}
}

// wait returns a channel that is closed by the next raise. It is to be taken before the look.
func (s *signal) wait() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

// raise wakes all that wait.
func (s *signal) raise() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}

// subscribers are the sessions of the feed that wait for news.
type subscribers struct {
	mutex sync.Mutex
	all   map[chan<- struct{}]struct{}
}

func (s *subscribers) add(wake chan<- struct{}) (cancel func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.all == nil {
		s.all = make(map[chan<- struct{}]struct{})
	}
	s.all[wake] = struct{}{}
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.all, wake)
	}
}

// wake sends a token to each session that has none.
func (s *subscribers) wake() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for wake := range s.all {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// kick sends a token to a channel of capacity one, unless it holds one.
func kick(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
