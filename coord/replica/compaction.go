package replica

import (
	"time"

	"go.uber.org/zap"
)

// A snapshot is taken when the log has grown by more than either of these since the last one.
const (
	compactEntries = 2000
	compactBytes   = 4 << 20
)

// compactPause is how long a snapshot that could not be written is not tried again.
const compactPause = 2 * time.Second

// compaction follows the local snapshots.
type compaction struct {
	snapshot uint64        // index of the last one that is durable
	logBytes int64         // size of the log with it
	running  bool          // one is being written
	notUntil time.Duration // the last one failed
	overdue  bool          // one waits for notUntil
}

// startCompaction takes a snapshot of the machine and hands it to the log writer if the log is long.
func (l *loop) startCompaction() {
	l.compact.overdue = false
	if l.compact.running || l.applied <= l.compact.snapshot || !l.logIsLong() {
		return
	}
	if l.now < l.compact.notUntil {
		l.compact.overdue = true
		return
	}
	snapshot, known := l.node.SnapshotAt(l.applied, l.options.Machine.Snapshot())
	if !known {
		return
	}
	l.compact.running = true
	l.write(job{snapshot: &snapshot})
}

func (l *loop) logIsLong() bool {
	return l.applied-l.compact.snapshot > compactEntries || l.disk.logBytes-l.compact.logBytes > compactBytes
}

// onCompacted takes note of a local snapshot that is durable.
func (l *loop) onCompacted(report diskEvent) {
	snapshot := report.compacted
	l.compact.running = false
	l.compact.logBytes = report.logBytes
	l.compact.covered(snapshot.Index)
	l.node.Compact(snapshot.Index, snapshot.Members, snapshot.Data)
	l.options.Logger.Debug("the log was compacted", zap.Uint32("shard", uint32(l.options.Shard)),
		zap.Uint64("index", snapshot.Index), zap.Int64("bytes", report.diskBytes))
}

// covered takes note of a snapshot of either kind.
func (c *compaction) covered(index uint64) { c.snapshot = max(c.snapshot, index) }

// dropped takes note of a snapshot that could not be written.
func (c *compaction) dropped(now time.Duration) {
	c.running = false
	c.notUntil = now + compactPause
}

func (c *compaction) nextTry() time.Duration {
	if !c.overdue {
		return never
	}
	return c.notUntil
}
