package replica

import "time"

// clockStart is the first reading of the steady clock. Clock requires readings above 0.
const clockStart = time.Second

// processStart is the origin of the clocks of all groups, so that all groups of a process read the same time.
var processStart = time.Now()

// steadyClock is the default Clock: the monotonic clock of the process.
type steadyClock struct{}

// Now returns the time since the process started, plus clockStart.
func (steadyClock) Now() time.Duration { return clockStart + time.Since(processStart) }
