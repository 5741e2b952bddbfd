package replica

import (
	"sync"
	"time"

	"ospreybend/coord/consensus"
)

// Pauses after a failed write, each twice the one before.
const (
	firstRetryPause = 50 * time.Millisecond
	lastRetryPause  = time.Second
)

// job is one write: either a state of the node or a snapshot of the machine.
type job struct {
	persist  *consensus.PersistRequest
	snapshot *consensus.Snapshot
}

// storage is what the writer needs of seglog.Log.
type storage interface {
	Save(batch []*consensus.PersistRequest) error
	Compact(snapshot consensus.Snapshot) error
	LogBytes() int64
	DiskBytes() int64
	Close() error
}

// writer owns a group's log. All that is submitted while it writes goes into its next write.
type writer struct {
	log    storage
	report func(diskEvent)

	mutex   sync.Mutex
	arrived []job
	signal  chan struct{} // has room for one

	held  []job // taken and not written yet
	pause time.Duration
}

func newWriter(log storage, report func(diskEvent)) *writer {
	return &writer{log: log, report: report, signal: make(chan struct{}, 1)}
}

func (w *writer) submit(one job) {
	w.mutex.Lock()
	w.arrived = append(w.arrived, one)
	w.mutex.Unlock()
	wake(w.signal)
}

func (w *writer) takeArrived() {
	w.mutex.Lock()
	w.held = append(w.held, w.arrived...)
	w.arrived = nil
	w.mutex.Unlock()
}

// run writes until stop is closed.
func (w *writer) run(stop <-chan struct{}) {
	for {
		pause := w.step()
		if !w.wait(pause, stop) {
			return
		}
	}
}

// wait returns at the next job, or after the pause if there is one; false at the end.
func (w *writer) wait(pause time.Duration, stop <-chan struct{}) bool {
	if pause > 0 {
		timer := time.NewTimer(pause)
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

// step writes all that waits and reports it. It returns how long to wait before the next try, 0
// if nothing failed.
func (w *writer) step() time.Duration {
	w.takeArrived()
	for len(w.held) > 0 {
		report := w.writeFirst()
		report.logBytes, report.diskBytes = w.log.LogBytes(), w.log.DiskBytes()
		w.held = w.held[report.jobs:]
		w.report(report)
		if report.err != nil {
			return w.backOff()
		}
		w.pause = 0
		w.takeArrived()
	}
	w.held = nil
	return 0
}

func (w *writer) backOff() time.Duration {
	w.pause = min(max(2*w.pause, firstRetryPause), lastRetryPause)
	return w.pause
}

// writeFirst writes the states up to the next snapshot, or that snapshot if it is first.
func (w *writer) writeFirst() diskEvent {
	if w.held[0].snapshot != nil {
		return w.writeSnapshot(w.held[0].snapshot)
	}
	var batch []*consensus.PersistRequest
	for _, one := range w.held {
		if one.persist == nil {
			break
		}
		batch = append(batch, one.persist)
	}
	if err := w.log.Save(batch); err != nil {
		return diskEvent{err: err}
	}
	return diskEvent{jobs: len(batch), persisted: batch[len(batch)-1].Sequence}
}

// writeSnapshot gives a snapshot up at the first failure: the states after it matter more, and the
// loop takes a newer one later.
func (w *writer) writeSnapshot(snapshot *consensus.Snapshot) diskEvent {
	if err := w.log.Compact(*snapshot); err != nil {
		return diskEvent{jobs: 1, dropped: true, err: err}
	}
	return diskEvent{jobs: 1, compacted: snapshot}
}
