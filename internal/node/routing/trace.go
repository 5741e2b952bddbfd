package routing

import (
	"context"
	"log/slog"
	"time"

	"ospreybend/balance"
)

// tracing reports whether operations and steps are logged, at level debug. The core looks it up
// once, so that while the level is disabled not even the arguments of slog are assembled.
func tracing() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }

// traceOperation logs an event of an operation with the operation's ID, which is the same at every
// node and destination.
func (c *Core) traceOperation(event string, operation *operation, args ...any) {
	if c.tracing {
		slog.Debug(event, append([]any{"id", operation.Work.ID, "after_us", microsecondsSince(c, operation.arrived)}, args...)...)
	}
}

// traceStep logs an event of a route step.
func (c *Core) traceStep(event string, s *step, args ...any) {
	if operation := c.operations.Get(s.operation); c.tracing && operation != nil {
		slog.Debug(event, append([]any{"id", operation.Work.ID, "step", s.attempt, "destination", c.workerName(s.destination),
			"after_us", microsecondsSince(c, s.sentAt)}, args...)...)
	}
}

// microsecondsSince returns the time since at, in microseconds.
func microsecondsSince(c *Core, at time.Duration) int64 { return (c.clock.Now() - at).Microseconds() }

// SetWorkerNames sets the function that names destinations in the log.
func (c *Core) SetWorkerNames(name func(balance.WorkerID) string) { c.workerName = name }
