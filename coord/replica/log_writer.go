package replica

import (
	"sync"
	"time"

	"ospreybend/coord/consensus"
)

// Pauses after a failed write, each twice the one before.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
)

// writeJob is one write: either a state of the node or a snapshot of the machine.
type writeJob struct {
	persist  *consensus.PersistRequest
	snapshot *consensus.Snapshot
}

// logStorage is what the writer needs of seglog.Log.
type logStorage interface {
	Save(batch []*consensus.PersistRequest) error
	Compact(snapshot consensus.Snapshot) error
	LogBytes() int64
	DiskBytes() int64
	Close() error
}

// logWriter owns a group's log. All that is submitted while it writes goes into its next write.
type logWriter struct {
	log    logStorage
	report func(diskReport)

	mutex     sync.Mutex
	submitted []writeJob
	signal    chan struct{} // has room for one

	pending    []writeJob // taken and not written yet
	retryDelay time.Duration
}

func newLogWriter(log logStorage, report func(diskReport)) *logWriter {
	return &logWriter{log: log, report: report, signal: make(chan struct{}, 1)}
}

func (w *logWriter) submit(job writeJob) {
	w.mutex.Lock()
	w.submitted = append(w.submitted, job)
	w.mutex.Unlock()
	notify(w.signal)
}

func (w *logWriter) collectSubmitted() {
	w.mutex.Lock()
	w.pending = append(w.pending, w.submitted...)
	w.submitted = nil
	w.mutex.Unlock()
}

// run writes until stop is closed.
func (w *logWriter) run(stop <-chan struct{}) {
	for {
		retryDelay := w.writePending()
		if !w.waitForWork(retryDelay, stop) {
			return
		}
	}
}

// waitForWork returns at the next job, or after the pause if there is one; false at the end.
func (w *logWriter) waitForWork(retryDelay time.Duration, stop <-chan struct{}) bool {
	if retryDelay > 0 {
		timer := time.NewTimer(retryDelay)
		defer timer.Stop()
		select {
		case <-timer.C:
			return true
		case <-stop:
			return false
		}
	}
	select {
	case <-w.signal:
		return true
	case <-stop:
		return false
	}
}

// writePending writes all that waits and reports it. It returns how long to wait before the next try, 0
// if nothing failed.
func (w *logWriter) writePending() time.Duration {
	w.collectSubmitted()
	for len(w.pending) > 0 {
		report := w.writeFirst()
		report.logBytes, report.diskBytes = w.log.LogBytes(), w.log.DiskBytes()
		w.pending = w.pending[report.finishedJobs:]
		w.report(report)
		if report.err != nil {
			return w.nextRetryDelay()
		}
		w.retryDelay = 0
		w.collectSubmitted()
	}
	w.pending = nil
	return 0
}

func (w *logWriter) nextRetryDelay() time.Duration {
	w.retryDelay = min(max(2*w.retryDelay, minRetryDelay), maxRetryDelay)
	return w.retryDelay
}

// writeFirst writes the states up to the next snapshot, or that snapshot if it is first.
func (w *logWriter) writeFirst() diskReport {
	if w.pending[0].snapshot != nil {
		return w.writeSnapshot(w.pending[0].snapshot)
	}
	var batch []*consensus.PersistRequest
	for _, one := range w.pending {
		if one.persist == nil {
			break
		}
		batch = append(batch, one.persist)
	}
	if err := w.log.Save(batch); err != nil {
		return diskReport{err: err}
	}
	return diskReport{finishedJobs: len(batch), persistedSequence: batch[len(batch)-1].Sequence}
}

// writeSnapshot gives a snapshot up at the first failure: the states after it matter more, and the
// loop takes a newer one later.
func (w *logWriter) writeSnapshot(snapshot *consensus.Snapshot) diskReport {
	if err := w.log.Compact(*snapshot); err != nil {
		return diskReport{finishedJobs: 1, snapshotFailed: true, err: err}
	}
	return diskReport{finishedJobs: 1, compactedSnapshot: snapshot}
}
