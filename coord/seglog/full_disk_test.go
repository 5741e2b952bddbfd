package seglog_test

import (
	"errors"
	"testing"

	"ospreybend/coord/seglog"
	"ospreybend/coord/seglog/seglogtest"
)

// attemptsOnFullDisk is the number of times that a call is made while the disk is full.
const attemptsOnFullDisk = 20

// TestLog_fullDiskRejectsNewNames fills the disk before each call of each sequence, so that nothing can be written, created
// or renamed. Repeated calls must fail without using more disk space, nothing acknowledged may be lost in a power loss, and
// the calls must succeed once there is free space again.
func TestLog_fullDiskRejectsNewNames(t *testing.T) {
	for _, calls := range sequences(sequenceLength) {
		for fullAt := range calls {
			disk := seglogtest.NewMemoryDisk()
			log, stored, err := openWithTinySegments(disk)
			if err != nil {
				t.Fatal(err)
			}
			expected := newHistory(stored)
			for position, call := range calls {
				operation := operationFor(call, expected.last())
				expected.attempt(operation)
				if position == fullAt {
					checkCallFailsOnFullDisk(t, disk, log, operation, expected)
				}
				if err := runOperation(log, operation); err != nil {
					t.Fatalf("calls %s, full at call %d, call %d: %v", calls, fullAt, position, err)
				}
				expected.acknowledge()
			}
			if err := checkTwoRecoveries(disk.Clone(), expected); err != nil {
				t.Fatalf("calls %s, full at call %d: %v", calls, fullAt, err)
			}
		}
	}
}

// checkCallFailsOnFullDisk makes a call repeatedly on a full disk, and checks the outcomes of a power loss.
func checkCallFailsOnFullDisk(t *testing.T, disk *seglogtest.MemoryDisk, log *seglog.Log, call operation, expected *history) {
	t.Helper()
	disk.Full = true
	before := disk.UsedBytes()
	for range attemptsOnFullDisk {
		if err := runOperation(log, call); !errors.Is(err, seglogtest.ErrFull) {
			t.Fatalf("call on a full disk: got error %v, want ErrFull", err)
		}
	}
	if disk.UsedBytes() > before {
		t.Fatalf("%d failed calls have increased the disk usage from %d to %d bytes", attemptsOnFullDisk, before, disk.UsedBytes())
	}
	err := disk.ForEachPowerLoss(func(lost *seglogtest.MemoryDisk) error { return checkTwoRecoveries(lost, expected) })
	if err != nil {
		t.Fatalf("power lost while the disk is full: %v", err)
	}
	disk.Full = false
}

// TestOpen_onFullDisk opens a log on a full disk: Open must recover its state without requiring free space.
func TestOpen_onFullDisk(t *testing.T) {
	for _, calls := range sequences(sequenceLength) {
		disk := seglogtest.NewMemoryDisk()
		expected, err := runCalls(disk, calls, nil)
		if err != nil {
			t.Fatal(err)
		}
		disk.Restart()
		disk.Full = true
		_, stored, err := openWithTinySegments(disk)
		if err != nil {
			t.Fatalf("calls %s: %v", calls, err)
		}
		if err := expected.check(stored); err != nil {
			t.Fatalf("calls %s: %v", calls, err)
		}
	}
}

// TestLoadOrCreateMemberID_onFullDisk checks that no new member ID is returned that could not be stored, and that an
// existing one is read.
func TestLoadOrCreateMemberID_onFullDisk(t *testing.T) {
	disk := seglogtest.NewMemoryDisk()
	disk.Full = true
	for range attemptsOnFullDisk {
		if _, _, err := loadMemberID(disk, 11); !errors.Is(err, seglogtest.ErrFull) {
			t.Fatalf("create a member ID on a full disk: got error %v, want ErrFull", err)
		}
	}
	disk.Full = false
	if id, created, err := loadMemberID(disk, 22); err != nil || !created || id != 22 {
		t.Fatalf("with free space: got member ID %d, created %t, error %v; want 22, true, nil", id, created, err)
	}
	disk.Full = true
	if id, created, err := loadMemberID(disk, 33); err != nil || created || id != 22 {
		t.Fatalf("full again: got member ID %d, created %t, error %v; want 22, false, nil", id, created, err)
	}
}

// TestLoadOrCreateMemberID_afterEachDirectoryOutcome loses power before each disk operation of the creation of a member ID.
// For each outcome, an ID that was returned must be read again, before and after a second power loss.
func TestLoadOrCreateMemberID_afterEachDirectoryOutcome(t *testing.T) {
	for operations := int64(0); ; operations++ {
		disk := seglogtest.NewMemoryDisk()
		disk.RemainingOperations = operations
		_, _, failure := loadMemberID(disk, 11)
		err := disk.ForEachPowerLoss(func(lost *seglogtest.MemoryDisk) error {
			second, _, err := loadMemberID(lost, 22)
			if err != nil || (failure == nil && second != 11) {
				return errors.Join(errNotRecovered, err)
			}
			return lost.ForEachPowerLoss(func(twice *seglogtest.MemoryDisk) error {
				if third, created, err := loadMemberID(twice, 33); err != nil || created || third != second {
					return errors.Join(errNotRecovered, err)
				}
				return nil
			})
		})
		if err != nil {
			t.Fatalf("power lost after %d operations: %v", operations, err)
		}
		if failure == nil {
			return
		}
	}
}
