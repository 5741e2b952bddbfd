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

// faultInjectionRun makes calls on a disk that fails once.
type faultInjectionRun struct {
	t        *testing.T
	log      *seglog.Log
	disk     *seglogtest.MemoryDisk
	calls    workload
	expected *history
	abandon  bool // a failed Compact is not retried
	failed   bool
}

// runCall makes a random call. If it fails, it ends the fault and retries the call.
func (r *faultInjectionRun) runCall() {
	r.t.Helper()
	call := r.calls.next(r.expected.last())
	before := len(r.expected.states)
	r.expected.attempt(call)
	if err := runOperation(r.log, call); err != nil {
		r.failed = true
		r.checkAfterLoss()
		r.disk.FreeBytes, r.disk.FailAll = seglogtest.Unlimited, false
		if call.compact != nil && r.abandon {
			r.expected.states, r.expected.stateTexts = r.expected.states[:before], nil
			r.calls.committedIndex = call.compact.Index
			r.expected.abandoned = append(r.expected.abandoned, *call.compact)
			return
		}
		r.retryCall(call)
	}
	r.expected.acknowledge()
}

// retryCall retries the call with more states after those that failed.
func (r *faultInjectionRun) retryCall(call operation) {
	r.t.Helper()
	if call.compact == nil {
		more := operation{batch: []*consensus.PersistRequest{r.calls.persist(r.expected.last())}}
		r.expected.attempt(more)
		call.batch = append(call.batch, more.batch...)
	}
	if err := runOperation(r.log, call); err != nil {
		r.t.Fatalf("second attempt: %v", err)
	}
}

// checkAfterLoss checks what a power loss at this moment leaves.
func (r *faultInjectionRun) checkAfterLoss() {
	r.t.Helper()
	for outcome := range uint64(4) {
		lost := r.disk.Clone()
		lost.LosePower(newRandom(outcome))
		_, stored := mustOpen(r.t, lost)
		if err := r.expected.check(stored); err != nil {
			r.t.Fatal(err)
		}
	}
}

func newFaultInjectionRun(t *testing.T, seed uint64) *faultInjectionRun {
	t.Helper()
	disk := seglogtest.NewMemoryDisk()
	log, stored := mustOpen(t, disk)
	return &faultInjectionRun{
		t:        t,
		log:      log,
		disk:     disk,
		calls:    workload{random: newRandom(seed)},
		expected: newHistory(stored),
		abandon:  seed%2 == 1,
	}
}

// run makes calls until one has failed, and some more.
func (r *faultInjectionRun) run() {
	r.t.Helper()
	for range workloadCalls {
		r.runCall()
	}
	if !r.failed {
		return
	}
	for range callsAfterFault {
		r.runCall()
	}
	r.checkAfterLoss()
	r.checkNothingLeft()
}

// checkNothingLeft compacts once more: then the disk contains the required files and no others.
func (r *faultInjectionRun) checkNothingLeft() {
	r.t.Helper()
	state := r.expected.last()
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
		r.t.Fatalf("%d bytes on disk, %d reported", onDisk, r.log.DiskBytes())
	}
}

// TestLog_failedOperationIsRetried fails each operation of a workload once.
func TestLog_failedOperationIsRetried(t *testing.T) {
	for seed := range uint64(6) {
		for position := int64(1); ; position++ {
			run := newFaultInjectionRun(t, seed)
			run.disk.FailOperation = position
			run.run()
			if run.disk.FailOperation > 0 {
				break
			}
		}
	}
}

// freeBytesStep is the difference between two sizes of a disk in bytes. It has no factor in common with record sizes.
const freeBytesStep = 11

// TestLog_fullDisk fills the disk at many points of a workload.
func TestLog_fullDisk(t *testing.T) {
	for seed := range uint64(2) {
		for freeBytes := int64(0); ; freeBytes += freeBytesStep {
			run := newFaultInjectionRun(t, seed)
			run.disk.FreeBytes = freeBytes
			run.run()
			if !run.failed {
				break
			}
		}
	}
}

// TestLog_Save_whileDiskFails fails all operations for a while.
func TestLog_Save_whileDiskFails(t *testing.T) {
	disk := seglogtest.NewMemoryDisk()
	log, stored := mustOpen(t, disk)
	expected := newHistory(stored)
	saveEntries(t, log, expected, 1, 3)
	request := &consensus.PersistRequest{Entries: []consensus.Entry{{Term: 1, Index: 4, Data: []byte("later")}}}
	save := operation{batch: []*consensus.PersistRequest{request}}
	expected.attempt(save)
	disk.FailAll = true
	for range 3 {
		if err := runOperation(log, save); !errors.Is(err, seglogtest.ErrInjected) {
			t.Fatalf("got %v", err)
		}
	}
	disk.FailAll = false
	if err := runOperation(log, save); err != nil {
		t.Fatal(err)
	}
	expected.acknowledge()
	disk.LosePower(newRandom(1))
	_, recovered := mustOpen(t, disk)
	if err := expected.check(recovered); err != nil {
		t.Fatal(err)
	}
}

// TestOpen_succeedsAfterFailedOpen checks that a directory can be opened after a failed attempt.
func TestOpen_succeedsAfterFailedOpen(t *testing.T) {
	for position := int64(1); position < 12; position++ {
		disk := seglogtest.NewMemoryDisk()
		expected, failure := runOnDisk(disk, 3)
		if failure != nil {
			t.Fatal(failure)
		}
		disk.LosePower(newRandom(uint64(position)))
		disk.FailOperation = position
		_, _, err := open(disk)
		if err != nil && !errors.Is(err, seglogtest.ErrInjected) {
			t.Fatal(err)
		}
		disk.FailOperation = 0
		_, stored := mustOpen(t, disk)
		if err := expected.check(stored); err != nil {
			t.Fatal(err)
		}
	}
}
