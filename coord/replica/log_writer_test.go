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

// scriptedLog notes the calls as text: sequences of a batch, or -index of a snapshot.
type scriptedLog struct {
	calls [][]int
	fail  int // this many calls fail
}

func (l *scriptedLog) note(call []int) error {
	l.calls = append(l.calls, call)
	if l.fail > 0 {
		l.fail--
		return seglogtest.ErrFull
	}
	return nil
}

func (l *scriptedLog) Save(batch []*consensus.PersistRequest) error {
	var call []int
	for _, persist := range batch {
		call = append(call, int(persist.Sequence))
	}
	return l.note(call)
}

func (l *scriptedLog) Compact(snapshot consensus.Snapshot) error {
	return l.note([]int{-int(snapshot.Index)})
}

func (l *scriptedLog) LogBytes() int64  { return 1 }
func (l *scriptedLog) DiskBytes() int64 { return 2 }
func (l *scriptedLog) Close() error     { return nil }

func newScriptedWriter() (*writer, *scriptedLog, *[]diskEvent) {
	log := &scriptedLog{}
	var reports []diskEvent
	return newWriter(log, func(report diskEvent) { reports = append(reports, report) }), log, &reports
}

func submitStates(w *writer, sequences ...uint64) {
	for _, sequence := range sequences {
		w.submit(job{persist: &consensus.PersistRequest{Sequence: sequence}})
	}
}

func TestWriterKeepsOrder(t *testing.T) {
	w, log, reports := newScriptedWriter()
	submitStates(w, 1, 2)
	w.submit(job{snapshot: &consensus.Snapshot{Index: 9}})
	submitStates(w, 3)
	if pause := w.step(); pause != 0 {
		t.Fatal(pause)
	}
	want := [][]int{{1, 2}, {-9}, {3}}
	if !slices.EqualFunc(log.calls, want, slices.Equal) {
		t.Fatalf("got %v", log.calls)
	}
	got := *reports
	if got[0].jobs != 2 || got[0].persisted != 2 || got[1].compacted == nil || got[2].persisted != 3 {
		t.Fatalf("got %+v", got)
	}
}

func TestWriterTriesAgain(t *testing.T) {
	w, log, reports := newScriptedWriter()
	log.fail = 8
	submitStates(w, 1)
	want := firstRetryPause
	for range 8 {
		if pause := w.step(); pause != want {
			t.Fatalf("pause %v, not %v", pause, want)
		}
		want = min(2*want, lastRetryPause)
	}
	submitStates(w, 2)
	if pause := w.step(); pause != 0 {
		t.Fatal(pause)
	}
	if last := log.calls[len(log.calls)-1]; !slices.Equal(last, []int{1, 2}) {
		t.Fatalf("got %v", last)
	}
	for _, report := range (*reports)[:8] {
		if report.jobs != 0 || report.persisted != 0 || report.err == nil {
			t.Fatalf("got %+v", report)
		}
	}
	log.fail = 1
	submitStates(w, 3)
	if pause := w.step(); pause != firstRetryPause {
		t.Fatalf("the pause after a success is %v", pause)
	}
}

func TestWriterGivesSnapshotUp(t *testing.T) {
	w, log, reports := newScriptedWriter()
	log.fail = 1
	w.submit(job{snapshot: &consensus.Snapshot{Index: 9}})
	submitStates(w, 1)
	if pause := w.step(); pause != firstRetryPause {
		t.Fatal(pause)
	}
	if pause := w.step(); pause != 0 {
		t.Fatal(pause)
	}
	got := *reports
	if len(got) != 2 || !got[0].dropped || got[0].jobs != 1 || got[1].persisted != 1 {
		t.Fatalf("got %+v", got)
	}
}

func TestWriterEnds(t *testing.T) {
	w, log, _ := newScriptedWriter()
	log.fail = 1
	submitStates(w, 1)
	stop := make(chan struct{})
	close(stop)
	w.run(stop)
	if w.wait(time.Hour, stop) {
		t.Fatal("waits after the end")
	}
}

// hungLog has writes that end only when they are released.
type hungLog struct {
	scriptedLog
	began, released chan struct{}
}

func (l *hungLog) Save([]*consensus.PersistRequest) error {
	close(l.began)
	<-l.released
	return nil
}

func TestCloseDoesNotWaitForHungDisk(t *testing.T) {
	log := &hungLog{began: make(chan struct{}), released: make(chan struct{})}
	options := Options{
		Self: testMember(1, true), Machine: &listMachine{}, Send: func(consensus.Member, consensus.Message) {},
	}.withDefaults()
	group, err := start(&options, log, consensus.Bootstrap([]consensus.Member{testMember(1, true)}, []byte("{}")))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- group.Run(ctx) }()
	<-log.began // the only member campaigns, and its vote is being written
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if err := group.closeWithin(0); !errors.Is(err, ErrDiskHangs) {
		t.Fatal(err)
	}
	close(log.released)
	group.running.Wait()
}
