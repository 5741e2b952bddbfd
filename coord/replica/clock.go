package replica

import "time"

// clockStart keeps a steady clock above 0.
const clockStart = time.Second

// processStart is when the process began. The clocks of all groups count from it, so that they show the same time.
var processStart = time.Now()

// steadyClock is the process's monotonic clock.
type steadyClock struct{}

// Now returns the time since the process began, and a second.
func (steadyClock) Now() time.Duration { return clockStart + time.Since(processStart) }
