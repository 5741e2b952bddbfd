package replica

import "time"

// clockStart keeps a steady clock above 0.
const clockStart = time.Second

// steadyClock is the process's monotonic clock.
type steadyClock struct{ start time.Time }

func newSteadyClock() steadyClock { return steadyClock{start: time.Now()} }

// Now returns the time since the clock was made, and a second.
func (c steadyClock) Now() time.Duration { return clockStart + time.Since(c.start) }
