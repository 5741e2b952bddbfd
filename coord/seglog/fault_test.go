package seglog_test

import (
	"errors"
	"testing"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog"
	"ospreybend/coord/seglog/seglogtest"
)

// callsAfterFault is how many calls follow a fault.
const callsAfterFault = 4

// faultyRun makes calls on a disk that fails once.
type faultyRun struct {
	t       *testing.T
	log     *seglog.Log
	disk    *seglogtest.Disk
	calls   workload
	record  *history
	abandon bool // a failed Compact is not tried again
	failed  bool
}

// one makes a drawn call, and after a failure makes the disk well and tries again.
func (r *faultyRun) one() {
	r.t.Helper()
	call := r.calls.next(r.record.last())
	before := len(r.record.states)
	r.record.attempt(call)
	if err := carryOut(r.log, call); err != nil {
		r.failed = true
		r.checkAfterLoss()
		r.disk.Room, r.disk.Refuse = seglogtest.Unlimited, false
		if call.compact != nil && r.abandon {
			r.record.states, r.record.texts = r.record.states[:before], nil
			r.calls.floor = call.compact.Index
			r.record.abandoned = append(r.record.abandoned, *call.compact)
			return
		}
		r.again(call)
	}
	r.record.acknowledge()
}

// again makes the call with more states after those that failed.
func (r *faultyRun) again(call operation) {
	r.t.Helper()
	if call.compact == nil {
		more := operation{batch: []*consensus.PersistRequest{r.calls.persist(r.record.last())}}
		r.record.attempt(more)
		call.batch = append(call.batch, more.batch...)
	}
	if err := carryOut(r.log, call); err != nil {
		r.t.Fatalf("second try: %v", err)
	}
}

// checkAfterLoss shows what a loss of power at this moment leaves.
func (r *faultyRun) checkAfterLoss() {
	r.t.Helper()
	for outcome := range uint64(4) {
		lost := r.disk.Clone()
		lost.LosePower(newRandom(outcome))
		_, stored := mustOpen(r.t, lost)
		if err := r.record.check(stored); err != nil {
			r.t.Fatal(err)
		}
	}
}

func startFaulty(t *testing.T, seed uint64) *faultyRun {
	t.Helper()
	disk := seglogtest.NewDisk()
	log, stored := mustOpen(t, disk)
	return &faultyRun{
		t:       t,
		log:     log,
		disk:    disk,
		calls:   workload{random: newRandom(seed)},
		record:  newHistory(stored),
		abandon: seed%2 == 1,
	}
}

// play makes calls until one has failed, and some more.
func (r *faultyRun) play() {
	r.t.Helper()
	for range workloadCalls {
		r.one()
	}
	if !r.failed {
		return
	}
	for range callsAfterFault {
		r.one()
	}
	r.checkAfterLoss()
	r.checkNothingLeft()
}

// checkNothingLeft compacts once more: then the disk has the files that count and no others.
func (r *faultyRun) checkNothingLeft() {
	r.t.Helper()
	state := r.record.last()
	if len(state.Entries) == 0 {
		return
	}
	if err := r.log.Compact(*r.calls.localSnapshot(state)); err != nil {
		r.t.Fatal(err)
	}
	onDisk := int64(0)
	for _, data := range contents(r.t, r.disk) {
		onDisk += int64(len(data))
	}
	if onDisk != r.log.DiskBytes() {
		r.t.Fatalf("%d bytes on disk, %d told", onDisk, r.log.DiskBytes())
	}
}

// TestOneOperationFails fails each operation of a workload once.
func TestOneOperationFails(t *testing.T) {
	for seed := range uint64(6) {
		for position := int64(1); ; position++ {
			run := startFaulty(t, seed)
			run.disk.FailIn = position
			run.play()
			if run.disk.FailIn > 0 {
				break
			}
		}
	}
}

// roomStep is the difference between two sizes of a disk, bytes. It has no factor in common with record sizes.
const roomStep = 11

// TestFullDisk fills the disk at many places of a workload.
func TestFullDisk(t *testing.T) {
	for seed := range uint64(2) {
		for room := int64(0); ; room += roomStep {
			run := startFaulty(t, seed)
			run.disk.Room = room
			run.play()
			if !run.failed {
				break
			}
		}
	}
}

// TestRefusingDisk refuses everything for a while.
func TestRefusingDisk(t *testing.T) {
	disk := seglogtest.NewDisk()
	log, stored := mustOpen(t, disk)
	record := newHistory(stored)
	saveEntries(t, log, record, 1, 3)
	persist := &consensus.PersistRequest{Entries: []consensus.Entry{{Term: 1, Index: 4, Data: []byte("later")}}}
	one := operation{batch: []*consensus.PersistRequest{persist}}
	record.attempt(one)
	disk.Refuse = true
	for range 3 {
		if err := carryOut(log, one); !errors.Is(err, seglogtest.ErrRefused) {
			t.Fatalf("got %v", err)
		}
	}
	disk.Refuse = false
	if err := carryOut(log, one); err != nil {
		t.Fatal(err)
	}
	record.acknowledge()
	disk.LosePower(newRandom(1))
	_, recovered := mustOpen(t, disk)
	if err := record.check(recovered); err != nil {
		t.Fatal(err)
	}
}

// TestOpenFails shows that a directory can be opened again after an opening that failed.
func TestOpenFails(t *testing.T) {
	for position := int64(1); position < 12; position++ {
		disk := seglogtest.NewDisk()
		record, failure := runOnDisk(disk, 3)
		if failure != nil {
			t.Fatal(failure)
		}
		disk.LosePower(newRandom(uint64(position)))
		disk.FailIn = position
		_, _, err := open(disk)
		if err != nil && !errors.Is(err, seglogtest.ErrRefused) {
			t.Fatal(err)
		}
		disk.FailIn = 0
		_, stored := mustOpen(t, disk)
		if err := record.check(stored); err != nil {
			t.Fatal(err)
		}
	}
}
