package proxy

import "time"

const (
	// guaranteedWindow is for how long after the signal to end every request is taken: what was sent by then may be cut at the end of
	// the grace. It is the 3 s that the platform allows, less what the signal and the request may have been under way.
	guaranteedWindow = 2800 * time.Millisecond
	// finalWindow is the end of the grace in which no request is taken that might be cut: one that waits for a worker would be, while
	// a refusal sends the client to another node at once.
	finalWindow = 1500 * time.Millisecond
)

// shutdown decides which requests are still taken by a process that was told to end. Its instants are of the steady clock.
type shutdown struct {
	signaledAt time.Time // when the signal came
	deadline   time.Time // when what is in work then is cut
}

// accepts tells whether a request is taken now whose first byte came at an instant and that may be held for a time from then on.
func (s shutdown) accepts(now, firstByte time.Time, requestTimeout time.Duration) bool {
	if !firstByte.Add(requestTimeout).After(s.deadline) {
		return true // it has its answer before the end, whatever the workers do
	}
	if firstByte.Sub(s.signaledAt) > guaranteedWindow {
		return false
	}
	return s.deadline.Sub(now) > finalWindow
}
