package replica

import "time"

// clockStart offsets the readings of monotonicClock, since Clock requires them to be above 0.
const clockStart = time.Second

// processStart is the common origin of all groups' clocks, so that all groups of a process read the same time.
var processStart = time.Now()

// monotonicClock is the default Clock. It reads the monotonic clock of the process.
type monotonicClock struct{}

// Now returns the time since the process started, plus clockStart.
func (monotonicClock) Now() time.Duration { return clockStart + time.Since(processStart) }
