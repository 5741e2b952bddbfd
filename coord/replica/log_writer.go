package replica

import (
	"sync"
	"time"

	"ospreybend/coord/consensus"
)

// Limits of the delay before a failed write is retried. The delay doubles with each failure.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
)

// writeJob is one job of the log writer: either node state to persist or a snapshot of the state machine.
type writeJob struct {
	persist  *consensus.PersistRequest
	snapshot *consensus.Snapshot
}

// logStorage is the part of seglog.Log that a group uses.
type logStorage interface {
	Save(batch []*consensus.PersistRequest) error
	Compact(snapshot consensus.Snapshot) error
	LogBytes() int64
	DiskBytes() int64
	Close() error
}

// logWriter owns a group's log on disk. Jobs that are submitted during a write are batched into the next one, so that they share
// the cost of a sync (group commit).
type logWriter struct {
	log    logStorage
	report func(diskReport)

	mutex     sync.Mutex // guards submitted
	submitted []writeJob
	signal    chan struct{} // buffered; signaled when a job is submitted

	pending    []writeJob // taken from submitted, not written yet; used by run's goroutine alone
	retryDelay time.Duration
}

// newLogWriter returns a writer that calls report after each write, in the goroutine of run.
func newLogWriter(log logStorage, report func(diskReport)) *logWriter {
	return &logWriter{log: log, report: report, signal: make(chan struct{}, 1)}
}

// submit queues a job. It does not block and may be called by any goroutine.
func (w *logWriter) submit(job writeJob) {
	w.mutex.Lock()
	w.submitted = append(w.submitted, job)
	w.mutex.Unlock()
	notify(w.signal)
}

// collectSubmitted moves the submitted jobs to the pending ones.
func (w *logWriter) collectSubmitted() {
	w.mutex.Lock()
	w.pending = append(w.pending, w.submitted...)
	w.submitted = nil
	w.mutex.Unlock()
}

// run writes submitted jobs until stop is closed.
func (w *logWriter) run(stop <-chan struct{}) {
	for {
		retryDelay := w.writePending()
		if !w.waitForWork(retryDelay, stop) {
			return
		}
	}
}

// waitForWork waits for the next job or, if retryDelay is not 0, for that delay. It returns false if stop is closed instead.
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

// writePending writes and reports all pending jobs. It returns the delay before the next attempt, or 0 if all writes succeeded.
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

// nextRetryDelay doubles the retry delay, within its limits, and returns it.
func (w *logWriter) nextRetryDelay() time.Duration {
	w.retryDelay = min(max(2*w.retryDelay, minRetryDelay), maxRetryDelay)
	return w.retryDelay
}

// writeFirst writes the first pending job: a snapshot alone, or node states in one batch up to the next snapshot. Once Save
// has succeeded, the states are durable on this member.
func (w *logWriter) writeFirst() diskReport {
	if w.pending[0].snapshot != nil {
		return w.writeSnapshot(w.pending[0].snapshot)
	}
	var batch []*consensus.PersistRequest
	for _, job := range w.pending {
		if job.persist == nil {
			break
		}
		batch = append(batch, job.persist)
	}
	if err := w.log.Save(batch); err != nil {
		return diskReport{err: err}
	}
	return diskReport{finishedJobs: len(batch), persistedSequence: batch[len(batch)-1].Sequence}
}

// writeSnapshot writes a snapshot. It does not retry a failed one: the node states queued behind it are more urgent, and the
// event loop submits a newer snapshot later.
func (w *logWriter) writeSnapshot(snapshot *consensus.Snapshot) diskReport {
	if err := w.log.Compact(*snapshot); err != nil {
		return diskReport{finishedJobs: 1, snapshotFailed: true, err: err}
	}
	return diskReport{finishedJobs: 1, compactedSnapshot: snapshot}
}
