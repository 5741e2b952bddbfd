package routing

import (
	"context"
	"log/slog"
	"time"

	"ospreybend/balance"
)

// tracing reports whether operations and steps are logged (level debug). It is looked up once,
// so that a disabled line does not cost even its arguments.
func tracing() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }

// traceOperation logs an event of an operation, with the ID that it has at every node and
// destination.
func (c *Core) traceOperation(what string, operation *operation, more ...any) {
	if c.tracing {
		slog.Debug(what, append([]any{"id", operation.Work.ID, "after_us", since(c, operation.arrived)}, more...)...)
	}
}

// traceStep logs an event of a route step.
func (c *Core) traceStep(what string, s *step, more ...any) {
	if operation := c.operations.Get(s.op); c.tracing && operation != nil {
		slog.Debug(what, append([]any{"id", operation.Work.ID, "step", s.number, "destination", c.workerName(s.to),
			"after_us", since(c, s.sentAt)}, more...)...)
	}
}

// since returns the microseconds since a time.
func since(c *Core, at time.Duration) int64 { return (c.clock.Now() - at).Microseconds() }

// SetWorkerNames sets the function that names destinations in the log.
func (c *Core) SetWorkerNames(named func(balance.WorkerID) string) { c.workerName = named }
