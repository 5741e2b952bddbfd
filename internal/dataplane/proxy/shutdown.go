package proxy

import "time"

const (
	// guaranteedWindow is how long after SIGTERM requests are accepted that may still be in flight at the end of the grace period. The
	// platform tolerates that such a request is aborted if it was sent within 3 s of the signal; the window is shorter by the time that
	// the signal and the request may have been on their way.
	guaranteedWindow = 2800 * time.Millisecond
	// finalWindow is the last part of the grace period, in which no request is accepted that might be aborted. A rejected client can go
	// to another node at once.
	finalWindow = 1500 * time.Millisecond
)

// shutdownPolicy decides which requests are accepted after SIGTERM. Its times are compared on the monotonic clock.
type shutdownPolicy struct {
	signaledAt time.Time
	deadline   time.Time // when the requests still in flight are aborted
}

// accepts reports whether a request is accepted at the time now. firstByteAt is when its first byte arrived, and requestTimeout how
// long it may take from then on.
func (s shutdownPolicy) accepts(now, firstByteAt time.Time, requestTimeout time.Duration) bool {
	if !firstByteAt.Add(requestTimeout).After(s.deadline) {
		return true // it times out by the deadline, whatever the workers do
	}
	if firstByteAt.Sub(s.signaledAt) > guaranteedWindow {
		return false
	}
	return s.deadline.Sub(now) > finalWindow
}
