package seglog_test

import (
	"errors"
	"testing"

	"ospreybend/coord/seglog"
	"ospreybend/coord/seglog/seglogtest"
)

// attemptsOnFullDisk is how often a call is made while the disk is full.
const attemptsOnFullDisk = 20

// TestLog_fullDiskRejectsNewNames fills the disk after each call of each sequence, so that nothing can be written, created or
// renamed: calls fail repeatedly, the disk does not grow, power may be lost, and everything continues once there is space.
func TestLog_fullDiskRejectsNewNames(t *testing.T) {
	for _, calls := range sequences(sequenceSize) {
		for filled := range calls {
			disk := seglogtest.NewMemoryDisk()
			log, stored, err := tinyLog(disk)
			if err != nil {
				t.Fatal(err)
			}
			expected := newHistory(stored)
			for at, call := range calls {
				operation := operationFor(call, expected.last())
				expected.attempt(operation)
				if at == filled {
					checkCallFailsOnFullDisk(t, disk, log, operation, expected)
				}
				if err := runOperation(log, operation); err != nil {
					t.Fatalf("calls %s, full at call %d, call %d: %v", calls, filled, at, err)
				}
				expected.acknowledge()
			}
			if err := checkTwoRecoveries(disk.Clone(), expected); err != nil {
				t.Fatalf("calls %s, full at call %d: %v", calls, filled, err)
			}
		}
	}
}

// checkCallFailsOnFullDisk makes a call repeatedly on a full disk.
func checkCallFailsOnFullDisk(t *testing.T, disk *seglogtest.MemoryDisk, log *seglog.Log, call operation, expected *history) {
	t.Helper()
	disk.Full = true
	before := disk.UsedBytes()
	for range attemptsOnFullDisk {
		if err := runOperation(log, call); !errors.Is(err, seglogtest.ErrFull) {
			t.Fatalf("got %v", err)
		}
	}
	if disk.UsedBytes() > before {
		t.Fatalf("the disk has grown from %d to %d bytes", before, disk.UsedBytes())
	}
	err := disk.ForEachPowerLoss(func(lost *seglogtest.MemoryDisk) error { return checkTwoRecoveries(lost, expected) })
	if err != nil {
		t.Fatal(err)
	}
	disk.Full = false
}

// TestOpen_onFullDisk opens a log on a full disk: what was durable can be read, and nothing needs to be written.
func TestOpen_onFullDisk(t *testing.T) {
	for _, calls := range sequences(sequenceSize) {
		disk := seglogtest.NewMemoryDisk()
		expected, err := runCalls(disk, calls, nil)
		if err != nil {
			t.Fatal(err)
		}
		disk.Restart()
		disk.Full = true
		_, stored, err := tinyLog(disk)
		if err != nil {
			t.Fatalf("calls %s: %v", calls, err)
		}
		if err := expected.check(stored); err != nil {
			t.Fatal(err)
		}
	}
}

// TestLoadOrCreateMemberID_onFullDisk checks that no ID is returned that is not on disk, and that an existing one is read.
func TestLoadOrCreateMemberID_onFullDisk(t *testing.T) {
	disk := seglogtest.NewMemoryDisk()
	disk.Full = true
	for range attemptsOnFullDisk {
		if _, _, err := loadMemberID(disk, 11); !errors.Is(err, seglogtest.ErrFull) {
			t.Fatal(err)
		}
	}
	disk.Full = false
	if id, created, err := loadMemberID(disk, 22); err != nil || !created || id != 22 {
		t.Fatal(id, created, err)
	}
	disk.Full = true
	if id, created, err := loadMemberID(disk, 33); err != nil || created || id != 22 {
		t.Fatal(id, created, err)
	}
}

// TestLoadOrCreateMemberID_afterEachDirectoryOutcome loses power before each operation of the first start, with all outcomes: an
// ID that was returned is there again, and one that was read once persists.
func TestLoadOrCreateMemberID_afterEachDirectoryOutcome(t *testing.T) {
	for operations := int64(0); ; operations++ {
		disk := seglogtest.NewMemoryDisk()
		disk.RemainingOperations = operations
		_, _, failure := loadMemberID(disk, 11)
		err := disk.ForEachPowerLoss(func(lost *seglogtest.MemoryDisk) error {
			again, _, err := loadMemberID(lost, 22)
			if err != nil || (failure == nil && again != 11) {
				return errors.Join(errNotRecovered, err)
			}
			return lost.ForEachPowerLoss(func(twice *seglogtest.MemoryDisk) error {
				if third, created, err := loadMemberID(twice, 33); err != nil || created || third != again {
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
