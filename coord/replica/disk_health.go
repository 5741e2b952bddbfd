package replica

import (
	"time"

	"go.uber.org/zap"
)

// diskStallTimeout is how long a write may be outstanding before the disk counts as stalled.
const diskStallTimeout = 300 * time.Millisecond

// diskHealth follows the writes under way.
type diskHealth struct {
	outstandingSince []time.Duration // of the writes that are not finished, oldest first
	failing          bool            // the last try failed
	writable         bool            // as told to the node
	logBytes         int64
	diskBytes        int64
}

// submitWrite hands a job to the log writer.
func (l *eventLoop) submitWrite(job writeJob) {
	l.disk.outstandingSince = append(l.disk.outstandingSince, l.now)
	l.submitJob(job)
}

// handleDiskReport takes a report of the log writer.
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

func (l *eventLoop) recordWriteError(err error) {
	if err != nil && !l.disk.failing {
		l.options.Logger.Warn("the disk refuses a write", zap.Uint32("shard", uint32(l.options.Shard)), zap.Error(err))
	}
	l.disk.failing = err != nil
}

// updateWritability tells the node whether its disk takes writes in time.
func (l *eventLoop) updateWritability() {
	writable := !l.disk.failing && l.now < l.disk.stalledAt()
	if writable == l.disk.writable || !l.options.enforces(GuardStalledDiskStepsDown) {
		return
	}
	l.disk.writable = writable
	l.node.SetWritable(l.now, writable)
	l.options.Logger.Warn("the disk's state has changed",
		zap.Uint32("shard", uint32(l.options.Shard)), zap.Bool("writable", writable))
}

// stalledAt returns when the oldest write has been outstanding for too long.
func (d *diskHealth) stalledAt() time.Duration {
	if len(d.outstandingSince) == 0 {
		return never
	}
	return d.outstandingSince[0] + diskStallTimeout
}

// nextCheck returns when the disk's state may change without a report.
func (d *diskHealth) nextCheck() time.Duration {
	if !d.writable {
		return never
	}
	return d.stalledAt()
}
