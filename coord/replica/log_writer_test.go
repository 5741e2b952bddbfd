package replica

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog/seglogtest"
)

// scriptedLog is a logStorage that records its calls: the sequences of a batch, or the negated index of a snapshot.
type scriptedLog struct {
	calls        [][]int
	failuresLeft int // number of the next calls that fail
}

func (l *scriptedLog) record(call []int) error {
	l.calls = append(l.calls, call)
	if l.failuresLeft > 0 {
		l.failuresLeft--
		return seglogtest.ErrFull
	}
	return nil
}

func (l *scriptedLog) Save(batch []*consensus.PersistRequest) error {
	var call []int
	for _, persist := range batch {
		call = append(call, int(persist.Sequence))
	}
	return l.record(call)
}

func (l *scriptedLog) Compact(snapshot consensus.Snapshot) error {
	return l.record([]int{-int(snapshot.Index)})
}

func (l *scriptedLog) LogBytes() int64  { return 1 }
func (l *scriptedLog) DiskBytes() int64 { return 2 }
func (l *scriptedLog) Close() error     { return nil }

func newScriptedWriter() (*logWriter, *scriptedLog, *[]diskReport) {
	log := &scriptedLog{}
	var reports []diskReport
	return newLogWriter(log, func(report diskReport) { reports = append(reports, report) }), log, &reports
}

func submitStates(w *logWriter, sequences ...uint64) {
	for _, sequence := range sequences {
		w.submit(writeJob{persist: &consensus.PersistRequest{Sequence: sequence}})
	}
}

func TestLogWriter_keepsOrder(t *testing.T) {
	w, log, reports := newScriptedWriter()
	submitStates(w, 1, 2)
	w.submit(writeJob{snapshot: &consensus.Snapshot{Index: 9}})
	submitStates(w, 3)
	if retryDelay := w.writePending(); retryDelay != 0 {
		t.Fatalf("writePending returned a retry delay of %v although no write failed, want 0", retryDelay)
	}
	want := [][]int{{1, 2}, {-9}, {3}}
	if !slices.EqualFunc(log.calls, want, slices.Equal) {
		t.Fatalf("got calls %v, want %v", log.calls, want)
	}
	got := *reports
	if got[0].finishedJobs != 2 || got[0].persistedSequence != 2 || got[1].compactedSnapshot == nil || got[2].persistedSequence != 3 {
		t.Fatalf("got reports %+v, want sequence 2 of two jobs, the snapshot, and sequence 3", got)
	}
}

func TestLogWriter_retriesWithBackoff(t *testing.T) {
	w, log, reports := newScriptedWriter()
	log.failuresLeft = 8
	submitStates(w, 1)
	want := minRetryDelay
	for range 8 {
		if retryDelay := w.writePending(); retryDelay != want {
			t.Fatalf("writePending returned a retry delay of %v, want %v", retryDelay, want)
		}
		want = min(2*want, maxRetryDelay)
	}
	submitStates(w, 2)
	if retryDelay := w.writePending(); retryDelay != 0 {
		t.Fatalf("writePending returned a retry delay of %v although no write failed, want 0", retryDelay)
	}
	if last := log.calls[len(log.calls)-1]; !slices.Equal(last, []int{1, 2}) {
		t.Fatalf("the last batch is %v, want [1 2]", last)
	}
	for _, report := range (*reports)[:8] {
		if report.finishedJobs != 0 || report.persistedSequence != 0 || report.err == nil {
			t.Fatalf("a failed write reported %+v, want an error and nothing finished", report)
		}
	}
	log.failuresLeft = 1
	submitStates(w, 3)
	if retryDelay := w.writePending(); retryDelay != minRetryDelay {
		t.Fatalf("the first retry delay after a success is %v, want %v", retryDelay, minRetryDelay)
	}
}

func TestLogWriter_abandonsFailedSnapshot(t *testing.T) {
	w, log, reports := newScriptedWriter()
	log.failuresLeft = 1
	w.submit(writeJob{snapshot: &consensus.Snapshot{Index: 9}})
	submitStates(w, 1)
	if retryDelay := w.writePending(); retryDelay != minRetryDelay {
		t.Fatalf("the retry delay after a failed snapshot is %v, want %v", retryDelay, minRetryDelay)
	}
	if retryDelay := w.writePending(); retryDelay != 0 {
		t.Fatalf("writePending returned a retry delay of %v although no write failed, want 0", retryDelay)
	}
	got := *reports
	if len(got) != 2 || !got[0].snapshotFailed || got[0].finishedJobs != 1 || got[1].persistedSequence != 1 {
		t.Fatalf("got reports %+v, want the failed snapshot as finished and then sequence 1", got)
	}
}

func TestLogWriter_stops(t *testing.T) {
	w, log, _ := newScriptedWriter()
	log.failuresLeft = 1
	submitStates(w, 1)
	stop := make(chan struct{})
	close(stop)
	w.run(stop)
	if w.waitForWork(time.Hour, stop) {
		t.Fatal("waitForWork returned true after stop was closed, want false")
	}
}

// stalledLog is a logStorage whose Save blocks until saveReleased is closed.
type stalledLog struct {
	scriptedLog
	saveStarted, saveReleased chan struct{}
}

func (l *stalledLog) Save([]*consensus.PersistRequest) error {
	close(l.saveStarted)
	<-l.saveReleased
	return nil
}

func TestGroup_Close_doesNotWaitForStalledDisk(t *testing.T) {
	log := &stalledLog{saveStarted: make(chan struct{}), saveReleased: make(chan struct{})}
	options := Options{
		Self: testMember(1, true), StateMachine: &listStateMachine{}, Send: func(consensus.Member, consensus.Message) {},
	}.withDefaults()
	group, err := newGroup(&options, log, consensus.Bootstrap([]consensus.Member{testMember(1, true)}, []byte("{}")))
	if err != nil {
		t.Fatalf("newGroup: %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- group.Run(ctx) }()
	<-log.saveStarted // the only member campaigns, and the log writer is saving its vote
	cancel()
	if err := <-ended; err != nil {
		t.Fatalf("Run: %v", err)
	}
	if err := group.closeWithin(0); !errors.Is(err, ErrDiskStalled) {
		t.Fatalf("close during a stalled write: got %v, want %v", err, ErrDiskStalled)
	}
	close(log.saveReleased)
	group.running.Wait()
}
