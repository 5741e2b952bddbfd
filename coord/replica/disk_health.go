package replica

import (
	"time"

	"go.uber.org/zap"
)

// diskStallTimeout is how long a write may take before the disk counts as stalled. A leader whose disk stalls or fails
// transfers leadership, since it cannot make anything durable.
const diskStallTimeout = 300 * time.Millisecond

// diskHealth tracks the outstanding writes and the size of the log on disk.
type diskHealth struct {
	outstandingSince []time.Duration // submission times of the unfinished writes, oldest first
	failing          bool            // the last write failed
	writable         bool            // the last value reported to the node
	logBytes         int64
	diskBytes        int64
}

// submitWrite hands a job to the log writer. It does not block.
func (l *eventLoop) submitWrite(job writeJob) {
	l.disk.outstandingSince = append(l.disk.outstandingSince, l.now)
	l.submitJob(job)
}

// handleDiskReport processes a report of the log writer. Persisted tells the node what became durable, so
// that it can acknowledge entries to the leader or, as leader, count its own copy towards the majority.
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
		l.compaction.recordFailure(l.now)
	}
}

// recordWriteError records whether the last write failed. It logs only the first of consecutive failures.
func (l *eventLoop) recordWriteError(err error) {
	if err != nil && !l.disk.failing {
		l.options.Logger.Warn("disk write failed", zap.Uint32("shard", uint32(l.options.Shard)), zap.Error(err))
	}
	l.disk.failing = err != nil
}

// updateWritability tells the node when its disk stops completing writes in time, and when it does so again.
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

// stalledAt returns when the oldest outstanding write counts as stalled, or never if none is outstanding.
func (d *diskHealth) stalledAt() time.Duration {
	if len(d.outstandingSince) == 0 {
		return never
	}
	return d.outstandingSince[0] + diskStallTimeout
}

// nextCheck returns when the writability may change without a report from the log writer.
func (d *diskHealth) nextCheck() time.Duration {
	if !d.writable {
		return never
	}
	return d.stalledAt()
}
