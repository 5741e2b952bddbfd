package replica

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// busyLogInterval is the shortest time between two warnings that the event loop was busy.
const busyLogInterval = time.Second

// Load tells how long the event loop of a replica has been busy since the replica was opened. While the event loop applies,
// restores or encodes the state, it answers no messages.
type Load struct {
	AppliedEntries   uint64
	ApplyTime        time.Duration // in StateMachine.Apply
	RestoreTime      time.Duration // in StateMachine.Restore
	SnapshotTime     time.Duration // in StateMachine.Snapshot
	LongestIteration time.Duration // longest time for which the event loop handled no event
}

// minus returns the load since an earlier one. LongestIteration is not a sum and is left at 0.
func (l Load) minus(earlier Load) Load {
	return Load{
		AppliedEntries: l.AppliedEntries - earlier.AppliedEntries,
		ApplyTime:      l.ApplyTime - earlier.ApplyTime,
		RestoreTime:    l.RestoreTime - earlier.RestoreTime,
		SnapshotTime:   l.SnapshotTime - earlier.SnapshotTime,
	}
}

// logFields returns the fields of a log message about the load.
func (l Load) logFields() []zap.Field {
	return []zap.Field{
		zap.Uint64("applied", l.AppliedEntries), zap.Duration("applyTime", l.ApplyTime),
		zap.Duration("restoreTime", l.RestoreTime), zap.Duration("snapshotTime", l.SnapshotTime),
	}
}

// loadMeter measures the load of an event loop. It reads the clock of the process instead of Options.Clock, as nothing is
// decided by what it measures.
type loadMeter struct {
	total     Load // used by the event loop only
	loggedAt  time.Time
	published atomic.Pointer[Load]
}

// load returns the load as of the last iteration. Any goroutine may call it.
func (m *loadMeter) load() Load {
	if published := m.published.Load(); published != nil {
		return *published
	}
	return Load{}
}

// publish makes the load visible to other goroutines after an iteration that began with the load before.
func (m *loadMeter) publish(before Load, took time.Duration) {
	m.total.LongestIteration = max(m.total.LongestIteration, took)
	if m.total == before {
		return
	}
	published := m.total
	m.published.Store(&published)
}

// endIteration records an iteration that started at started with the load before. It warns if the iteration took longer than a
// heartbeat interval, so that messages waited.
func (l *eventLoop) endIteration(started time.Time, before Load) {
	took := time.Since(started)
	l.load.publish(before, took)
	if took < l.options.HeartbeatInterval || time.Since(l.load.loggedAt) < busyLogInterval {
		return
	}
	l.load.loggedAt = time.Now()
	fields := []zap.Field{zap.Uint32("shard", uint32(l.options.Shard)), zap.Duration("took", took)}
	l.options.Logger.Warn("event loop was busy", append(fields, l.load.total.minus(before).logFields()...)...)
}
