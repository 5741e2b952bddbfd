package replica

import (
	"time"

	"go.uber.org/zap"
)

// diskStallTimeout is how long a write may take before the disk counts as stalled. A member whose disk stalls or fails
// hands leadership over, since it cannot make anything durable.
const diskStallTimeout = 300 * time.Millisecond

// diskHealth tracks the outstanding writes and the size of the log on disk.
type diskHealth struct {
	outstandingSince []time.Duration // submission times of the unfinished writes, oldest first
	failing          bool            // the last attempt failed
	writable         bool            // as last reported to the node
	logBytes         int64
	diskBytes        int64
}

// submitWrite hands a job to the log writer. It does not block.
func (l *eventLoop) submitWrite(job writeJob) {
	l.disk.outstandingSince = append(l.disk.outstandingSince, l.now)
	l.submitJob(job)
}

// handleDiskReport processes a report of the log writer. Here the node learns what became durable: Persisted lets it
// acknowledge entries to the leader, or count its own copy towards a majority.
func (l *eventLoop) handleDiskReport(report diskReport) {
	l.disk.outstandingSince = l.disk.outstandingSince[report.finishedJobs:]
	if len(l.disk.outstandingSince) == 0 {
		l.disk.outstandingSince = nil
	}
	l.disk.logBytes, l.disk.diskBytes = report.logBytes, report.diskBytes
	l.recordWriteError(report.err)
	if report.persistedSequence > 0 {
		l.node.Persisted(l.now, report.persistedSequence)
	}
	if report.compactedSnapshot != nil {
		l.handleCompacted(report)
	}
	if report.snapshotFailed {
		l.compaction.failed(l.now)
	}
}

// recordWriteError records whether the last attempt failed, and logs the first failure of a series.
func (l *eventLoop) recordWriteError(err error) {
	if err != nil && !l.disk.failing {
		l.options.Logger.Warn("disk write failed", zap.Uint32("shard", uint32(l.options.Shard)), zap.Error(err))
	}
	l.disk.failing = err != nil
}

// updateWritability reports to the node when its disk stops, or starts again, to complete writes in time.
func (l *eventLoop) updateWritability() {
	writable := !l.disk.failing && l.now < l.disk.stalledAt()
	if writable == l.disk.writable || !l.options.enforces(GuardStalledDiskStepsDown) {
		return
	}
	l.disk.writable = writable
	l.node.SetWritable(l.now, writable)
	l.options.Logger.Warn("disk writability changed",
		zap.Uint32("shard", uint32(l.options.Shard)), zap.Bool("writable", writable))
}

// stalledAt returns when the oldest outstanding write counts as stalled.
func (d *diskHealth) stalledAt() time.Duration {
	if len(d.outstandingSince) == 0 {
		return never
	}
	return d.outstandingSince[0] + diskStallTimeout
}

// nextCheck returns when the writability may change without a report of the writer.
func (d *diskHealth) nextCheck() time.Duration {
	if !d.writable {
		return never
	}
	return d.stalledAt()
}
