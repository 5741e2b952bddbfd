package routing

import (
	"context"
	"log/slog"
	"time"

	"ospreybend/balance"
)

// tracing tells whether each operation's way is to be logged, looked up once: at
// rest a line must not even cost its arguments.
func tracing() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }

// traceOperation logs what became of an operation, by the id that it has at
// every node and destination.
func (c *Core) traceOperation(what string, op *operation, more ...any) {
	if c.tracing {
		slog.Debug(what, append([]any{"id", op.Work.ID, "after_us", since(c, op.arrived)}, more...)...)
	}
}

// traceStep logs what became of a route step.
func (c *Core) traceStep(what string, s *step, more ...any) {
	if op := c.operations.Get(s.op); c.tracing && op != nil {
		slog.Debug(what, append([]any{"id", op.Work.ID, "step", s.number, "destination", c.workerName(s.to),
			"after_us", since(c, s.sentAt)}, more...)...)
	}
}

func since(c *Core, at time.Duration) int64 { return (c.clock.Now() - at).Microseconds() }

// SetWorkerNames sets how destinations are called in the log.
func (c *Core) SetWorkerNames(named func(balance.WorkerID) string) { c.workerName = named }
