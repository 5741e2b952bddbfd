package seglog_test

import (
	"errors"
	"testing"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog"
	"ospreybend/coord/seglog/seglogtest"
)

// callsAfterFault is the number of calls that follow a workload with a fault.
const callsAfterFault = 4

// faultInjectionRun makes random calls on a disk with one simulated fault.
type faultInjectionRun struct {
	t              *testing.T
	log            *seglog.Log
	disk           *seglogtest.MemoryDisk
	calls          workload
	expected       *history
	abandonCompact bool // do not retry a failed Compact
	failed         bool
}

// runCall makes a random call. If that fails, it checks the outcomes of a power loss, ends the fault, and retries or
// abandons the call.
func (r *faultInjectionRun) runCall() {
	r.t.Helper()
	call := r.calls.nextOperation(r.expected.last())
	before := len(r.expected.states)
	r.expected.attempt(call)
	if err := runOperation(r.log, call); err != nil {
		r.failed = true
		r.checkAfterPowerLoss()
		r.disk.FreeBytes, r.disk.FailAll = seglogtest.Unlimited, false
		if call.compact != nil && r.abandonCompact {
			r.expected.states, r.expected.stateTexts = r.expected.states[:before], nil
			r.calls.committedIndex = call.compact.Index
			r.expected.abandonedSnapshots = append(r.expected.abandonedSnapshots, *call.compact)
			return
		}
		r.retryCall(call)
	}
	r.expected.acknowledge()
}

// retryCall retries a failed call. A failed Save is retried with one more request, as the log writer may do.
func (r *faultInjectionRun) retryCall(call operation) {
	r.t.Helper()
	if call.compact == nil {
		more := operation{batch: []*consensus.PersistRequest{r.calls.persistRequest(r.expected.last())}}
		r.expected.attempt(more)
		call.batch = append(call.batch, more.batch...)
	}
	if err := runOperation(r.log, call); err != nil {
		r.t.Fatalf("retry after the fault has ended: %v", err)
	}
}

// checkAfterPowerLoss checks the recovered state after several random outcomes of a power loss at this moment.
func (r *faultInjectionRun) checkAfterPowerLoss() {
	r.t.Helper()
	for seed := range uint64(4) {
		lost := r.disk.Clone()
		lost.LosePower(newRandom(seed))
		_, stored := mustOpen(r.t, lost)
		if err := r.expected.check(stored); err != nil {
			r.t.Fatalf("power loss with seed %d: %v", seed, err)
		}
	}
}

func newFaultInjectionRun(t *testing.T, seed uint64) *faultInjectionRun {
	t.Helper()
	disk := seglogtest.NewMemoryDisk()
	log, stored := mustOpen(t, disk)
	return &faultInjectionRun{
		t:              t,
		log:            log,
		disk:           disk,
		calls:          workload{random: newRandom(seed)},
		expected:       newHistory(stored),
		abandonCompact: seed%2 == 1,
	}
}

// run makes the calls of a workload. If the fault has occurred, it makes some more and checks the disk.
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
	r.checkAfterPowerLoss()
	r.checkNoExtraFiles()
}

// checkNoExtraFiles compacts the log once more: the disk must then contain no files but those that the log still uses.
func (r *faultInjectionRun) checkNoExtraFiles() {
	r.t.Helper()
	state := r.expected.last()
	if len(state.Entries) == 0 {
		return
	}
	if err := r.log.Compact(*r.calls.localSnapshot(state)); err != nil {
		r.t.Fatalf("compact after the fault has ended: %v", err)
	}
	onDisk := int64(0)
	for _, data := range readAllFiles(r.t, r.disk) {
		onDisk += int64(len(data))
	}
	if onDisk != r.log.DiskBytes() {
		r.t.Fatalf("files on disk have %d bytes in total, DiskBytes reports %d", onDisk, r.log.DiskBytes())
	}
}

// TestLog_failedOperationIsRetried fails each disk operation of a workload once.
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

// freeBytesStep is the step in which TestLog_fullDisk increases the free space. It has no common factor with the record
// sizes, so that the disk fills up at different places in the records.
const freeBytesStep = 11

// TestLog_fullDisk runs workloads on disks with increasing free space, so that the disk fills up at many different points.
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

// TestLog_Save_whileDiskFails fails all disk operations for several calls: Save must fail, and succeed once the disk works
// again.
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
			t.Fatalf("Save on a failing disk: got error %v, want ErrInjected", err)
		}
	}
	disk.FailAll = false
	if err := runOperation(log, save); err != nil {
		t.Fatalf("Save after the disk works again: %v", err)
	}
	expected.acknowledge()
	disk.LosePower(newRandom(1))
	_, recovered := mustOpen(t, disk)
	if err := expected.check(recovered); err != nil {
		t.Fatal(err)
	}
}

// TestOpen_succeedsAfterFailedOpen fails each disk operation of Open once: opening the log again must recover its state.
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
			t.Fatalf("open with failing operation %d: got error %v, want nil or ErrInjected", position, err)
		}
		disk.FailOperation = 0
		_, stored := mustOpen(t, disk)
		if err := expected.check(stored); err != nil {
			t.Fatalf("open after operation %d of Open has failed: %v", position, err)
		}
	}
}
