package seglog_test

import (
	"errors"
	"testing"

	"ospreybend/coord/seglog"
	"ospreybend/coord/seglog/seglogtest"
)

// triesOnFullDisk is how often a call is made again while the disk is full.
const triesOnFullDisk = 20

// TestFullDiskRefusesNamesToo fills the disk after each call of each sequence, so that nothing can be written, made or
// renamed: calls fail again and again, the disk does not grow by it, power may go, and all goes on once there is room.
func TestFullDiskRefusesNamesToo(t *testing.T) {
	for _, calls := range sequences(sequenceSize) {
		for filled := range calls {
			disk := seglogtest.NewDisk()
			log, stored, err := tinyLog(disk)
			if err != nil {
				t.Fatal(err)
			}
			record := newHistory(stored)
			for at, letter := range calls {
				one := callOf(letter, record.last())
				record.attempt(one)
				if at == filled {
					refuseAll(t, disk, log, one, record)
				}
				if err := carryOut(log, one); err != nil {
					t.Fatalf("calls %s, full at call %d, call %d: %v", calls, filled, at, err)
				}
				record.acknowledge()
			}
			if err := checkTwice(disk.Clone(), record); err != nil {
				t.Fatalf("calls %s, full at call %d: %v", calls, filled, err)
			}
		}
	}
}

// refuseAll makes a call on a full disk.
func refuseAll(t *testing.T, disk *seglogtest.Disk, log *seglog.Log, one operation, record *history) {
	t.Helper()
	disk.Full = true
	before := disk.Used()
	for range triesOnFullDisk {
		if err := carryOut(log, one); !errors.Is(err, seglogtest.ErrFull) {
			t.Fatalf("got %v", err)
		}
	}
	if disk.Used() > before {
		t.Fatalf("the disk has grown from %d to %d bytes", before, disk.Used())
	}
	err := disk.EachPowerLoss(func(lost *seglogtest.Disk) error { return checkTwice(lost, record) })
	if err != nil {
		t.Fatal(err)
	}
	disk.Full = false
}

// TestFullDiskOpensWhatItHolds opens a log on a full disk: what was durable can be read, and nothing need be written.
func TestFullDiskOpensWhatItHolds(t *testing.T) {
	for _, calls := range sequences(sequenceSize) {
		disk := seglogtest.NewDisk()
		record, err := runSequence(disk, calls, nil)
		if err != nil {
			t.Fatal(err)
		}
		disk.Restart()
		disk.Full = true
		_, stored, err := tinyLog(disk)
		if err != nil {
			t.Fatalf("calls %s: %v", calls, err)
		}
		if err := record.check(stored); err != nil {
			t.Fatal(err)
		}
	}
}

// TestMemberIDOnFullDisk has no ID drawn that is not on disk, and reads one that is.
func TestMemberIDOnFullDisk(t *testing.T) {
	disk := seglogtest.NewDisk()
	disk.Full = true
	for range triesOnFullDisk {
		if _, _, err := drawMember(disk, 11); !errors.Is(err, seglogtest.ErrFull) {
			t.Fatal(err)
		}
	}
	disk.Full = false
	if id, created, err := drawMember(disk, 22); err != nil || !created || id != 22 {
		t.Fatal(id, created, err)
	}
	disk.Full = true
	if id, created, err := drawMember(disk, 33); err != nil || created || id != 22 {
		t.Fatal(id, created, err)
	}
}

// TestMemberIDWithEachNameKeptOrLost loses power before each operation of the first start, in all ways: an ID that was
// returned is there again, and one that was found once lasts.
func TestMemberIDWithEachNameKeptOrLost(t *testing.T) {
	for operations := int64(0); ; operations++ {
		disk := seglogtest.NewDisk()
		disk.Operations = operations
		_, _, failure := drawMember(disk, 11)
		err := disk.EachPowerLoss(func(lost *seglogtest.Disk) error {
			again, _, err := drawMember(lost, 22)
			if err != nil || (failure == nil && again != 11) {
				return errors.Join(errNotRecovered, err)
			}
			return lost.EachPowerLoss(func(twice *seglogtest.Disk) error {
				if third, created, err := drawMember(twice, 33); err != nil || created || third != again {
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
