package replica

import (
	"cmp"
	"time"

	"go.uber.org/zap"
)

// A snapshot is taken once the log has grown by more than either of these limits since the previous snapshot.
const (
	compactionEntries  = 2000
	compactionLogBytes = 4 << 20
)

// compactionRetryDelay is the delay before the next snapshot after one could not be written.
const compactionRetryDelay = 2 * time.Second

// compaction tracks the local snapshots that replace the oldest entries of the log.
type compaction struct {
	snapshotIndex    uint64        // index of the latest durable snapshot
	snapshotLogBytes int64         // size of the log right after that snapshot
	running          bool          // a snapshot is being written
	retryAt          time.Duration // earliest time of the next snapshot, after a failure
	retryPending     bool          // a snapshot is due but waits for retryAt
}

// startCompaction submits a snapshot of the state machine to the log writer if the log has grown enough.
func (l *eventLoop) startCompaction() {
	l.compaction.retryPending = false
	if l.compaction.running || l.appliedIndex <= l.compaction.snapshotIndex || !l.needsCompaction() {
		return
	}
	if l.now < l.compaction.retryAt {
		l.compaction.retryPending = true
		return
	}
	started := time.Now()
	data := l.options.StateMachine.Snapshot()
	l.load.total.SnapshotTime += time.Since(started)
	snapshot, available := l.node.SnapshotAt(l.appliedIndex, data)
	if !available {
		return
	}
	l.compaction.running = true
	l.submitWrite(writeJob{snapshot: &snapshot})
}

// needsCompaction reports whether the log has grown enough for a snapshot.
func (l *eventLoop) needsCompaction() bool {
	newEntries := l.appliedIndex - l.compaction.snapshotIndex
	newBytes := l.disk.logBytes - l.compaction.snapshotLogBytes
	return newEntries > cmp.Or(l.options.SnapshotEntries, compactionEntries) || newBytes > compactionLogBytes
}

// handleCompacted records a local snapshot that became durable and lets the node discard the entries that it covers.
func (l *eventLoop) handleCompacted(report diskReport) {
	snapshot := report.compactedSnapshot
	l.compaction.running = false
	l.compaction.snapshotLogBytes = report.logBytes
	l.compaction.recordSnapshot(snapshot.Index)
	l.node.Compact(snapshot.Index, snapshot.Members, snapshot.Data)
	l.options.Logger.Debug("log compacted", zap.Uint32("shard", uint32(l.options.Shard)),
		zap.Uint64("index", snapshot.Index), zap.Int64("bytes", report.diskBytes))
}

// recordSnapshot records a durable snapshot, taken locally or received from the leader.
func (c *compaction) recordSnapshot(index uint64) { c.snapshotIndex = max(c.snapshotIndex, index) }

// recordFailure records that a snapshot could not be written, and delays the next one.
func (c *compaction) recordFailure(now time.Duration) {
	c.running = false
	c.retryAt = now + compactionRetryDelay
}

// nextAttempt returns when a delayed snapshot is due, or never if none is delayed.
func (c *compaction) nextAttempt() time.Duration {
	if !c.retryPending {
		return never
	}
	return c.retryAt
}
