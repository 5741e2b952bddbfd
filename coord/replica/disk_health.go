package replica

import (
	"time"

	"go.uber.org/zap"
)

// stallAfter is how long a write may be outstanding before the disk counts as stalled.
const stallAfter = 300 * time.Millisecond

// diskHealth follows the writes under way.
type diskHealth struct {
	submitted []time.Duration // of the writes that are not finished, oldest first
	failing   bool            // the last try failed
	writable  bool            // as told to the node
	logBytes  int64
	diskBytes int64
}

// write hands a job to the log writer.
func (l *loop) write(one job) {
	l.disk.submitted = append(l.disk.submitted, l.now)
	l.submit(one)
}

// onDisk takes a report of the log writer.
func (l *loop) onDisk(report diskEvent) {
	l.disk.submitted = l.disk.submitted[report.jobs:]
	if len(l.disk.submitted) == 0 {
		l.disk.submitted = nil
	}
	l.disk.logBytes, l.disk.diskBytes = report.logBytes, report.diskBytes
	l.noteFailure(report.err)
	if report.persisted > 0 {
		l.node.Persisted(l.now, report.persisted)
	}
	if report.compacted != nil {
		l.onCompacted(report)
	}
	if report.dropped {
		l.compact.dropped(l.now)
	}
}

func (l *loop) noteFailure(err error) {
	if err != nil && !l.disk.failing {
		l.options.Logger.Warn("the disk refuses a write", zap.Uint32("shard", uint32(l.options.Shard)), zap.Error(err))
	}
	l.disk.failing = err != nil
}

// checkDisk tells the node whether its disk takes writes in time.
func (l *loop) checkDisk() {
	writable := !l.disk.failing && l.now < l.disk.stalledAt()
	if writable == l.disk.writable || !l.options.holds(GuardStallHandsOver) {
		return
	}
	l.disk.writable = writable
	l.node.SetWritable(l.now, writable)
	l.options.Logger.Warn("the disk's state has changed",
		zap.Uint32("shard", uint32(l.options.Shard)), zap.Bool("writable", writable))
}

// stalledAt returns when the oldest write has been outstanding for too long.
func (d *diskHealth) stalledAt() time.Duration {
	if len(d.submitted) == 0 {
		return never
	}
	return d.submitted[0] + stallAfter
}

// nextCheck returns when the disk's state may change without a report.
func (d *diskHealth) nextCheck() time.Duration {
	if !d.writable {
		return never
	}
	return d.stalledAt()
}
