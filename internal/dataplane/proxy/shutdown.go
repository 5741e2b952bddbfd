package proxy

import "time"

const (
	// guaranteedWindow is how long after SIGTERM every request is accepted: a request sent by then may be aborted at the end of the
	// grace. It is the 3 s that the platform allows, less the time that the signal and the request may have been on their way.
	guaranteedWindow = 2800 * time.Millisecond
	// finalWindow is the end of the grace in which no request is accepted that might be aborted. A rejection sends the client to another
	// node at once.
	finalWindow = 1500 * time.Millisecond
)

// shutdown decides which requests are accepted after SIGTERM. Its instants are of the monotonic clock.
type shutdown struct {
	signaledAt time.Time
	deadline   time.Time // when requests in flight are aborted
}

// accepts reports whether a request is accepted now, by the time of its first byte and how long it may take from then on.
func (s shutdown) accepts(now, firstByte time.Time, requestTimeout time.Duration) bool {
	if !firstByte.Add(requestTimeout).After(s.deadline) {
		return true // it ends before the deadline, whatever the workers do
	}
	if firstByte.Sub(s.signaledAt) > guaranteedWindow {
		return false
	}
	return s.deadline.Sub(now) > finalWindow
}
