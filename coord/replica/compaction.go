package replica

import (
	"time"

	"go.uber.org/zap"
)

// A snapshot is taken when the log has grown by more than either of these since the last one.
const (
	compactionEntries  = 2000
	compactionLogBytes = 4 << 20
)

// compactionRetryDelay is how long a snapshot that could not be written is not tried again.
const compactionRetryDelay = 2 * time.Second

// compaction follows the local snapshots.
type compaction struct {
	snapshotIndex    uint64        // index of the last one that is durable
	snapshotLogBytes int64         // size of the log with it
	running          bool          // one is being written
	retryAt          time.Duration // the last one failed
	retryPending     bool          // one waits for notUntil
}

// startCompaction takes a snapshot of the machine and hands it to the log writer if the log is long.
func (l *eventLoop) startCompaction() {
	l.compaction.retryPending = false
	if l.compaction.running || l.appliedIndex <= l.compaction.snapshotIndex || !l.needsCompaction() {
		return
	}
	if l.now < l.compaction.retryAt {
		l.compaction.retryPending = true
		return
	}
	snapshot, known := l.node.SnapshotAt(l.appliedIndex, l.options.StateMachine.Snapshot())
	if !known {
		return
	}
	l.compaction.running = true
	l.submitWrite(writeJob{snapshot: &snapshot})
}

func (l *eventLoop) needsCompaction() bool {
	return l.appliedIndex-l.compaction.snapshotIndex > compactionEntries || l.disk.logBytes-l.compaction.snapshotLogBytes > compactionLogBytes
}

// handleCompacted takes note of a local snapshot that is durable.
func (l *eventLoop) handleCompacted(report diskReport) {
	snapshot := report.compactedSnapshot
	l.compaction.running = false
	l.compaction.snapshotLogBytes = report.logBytes
	l.compaction.advance(snapshot.Index)
	l.node.Compact(snapshot.Index, snapshot.Members, snapshot.Data)
	l.options.Logger.Debug("the log was compacted", zap.Uint32("shard", uint32(l.options.Shard)),
		zap.Uint64("index", snapshot.Index), zap.Int64("bytes", report.diskBytes))
}

// advance takes note of a snapshot of either kind.
func (c *compaction) advance(index uint64) { c.snapshotIndex = max(c.snapshotIndex, index) }

// failed takes note of a snapshot that could not be written.
func (c *compaction) failed(now time.Duration) {
	c.running = false
	c.retryAt = now + compactionRetryDelay
}

func (c *compaction) nextAttempt() time.Duration {
	if !c.retryPending {
		return never
	}
	return c.retryAt
}
