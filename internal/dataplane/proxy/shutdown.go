package proxy

import "time"

const (
	// certainTime is for how long after the signal to end every request is taken: what was sent by then may be cut at the end of
	// the grace. It is the 3 s that the platform allows, less what the signal and the request may have been under way.
	certainTime = 2800 * time.Millisecond
	// lastTime is the end of the grace in which no request is taken that might be cut: one that waits for a worker would be, while
	// a refusal sends the client to another node at once.
	lastTime = 1500 * time.Millisecond
)

// closing decides which requests are still taken by a process that was told to end. Its instants are of the steady clock.
type closing struct {
	told time.Time // when the signal came
	end  time.Time // when what is in work then is cut
}

// takes tells whether a request is taken now whose first byte came at an instant and that may be held for a time from then on.
func (c closing) takes(now, firstByte time.Time, held time.Duration) bool {
	if !firstByte.Add(held).After(c.end) {
		return true // it has its answer before the end, whatever the workers do
	}
	if firstByte.Sub(c.told) > certainTime {
		return false
	}
	return c.end.Sub(now) > lastTime
}
