package seglog_test

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"path/filepath"
	"testing"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog"
	"ospreybend/coord/seglog/seglogtest"
)

// TestLog_Save_syncsOncePerBatch checks that Save syncs files once for a batch that starts no segment.
func TestLog_Save_syncsOncePerBatch(t *testing.T) {
	disk := seglogtest.NewMemoryDisk()
	log, _, err := seglog.Open(seglog.Options{FileSystem: disk, Directory: directory})
	if err != nil {
		t.Fatal(err)
	}
	expected := newHistory(emptyState)
	saveEntries(t, log, expected, 1, 1)
	before := disk.SyncCount
	saveEntries(t, log, expected, 2, 50)
	if disk.SyncCount != before+1 {
		t.Fatalf("Save of one batch: %d file syncs, want 1", disk.SyncCount-before)
	}
}

// TestLog_Compact_boundsDiskUsage checks that repeated compaction keeps the disk usage within a few segments.
func TestLog_Compact_boundsDiskUsage(t *testing.T) {
	disk := seglogtest.NewMemoryDisk()
	log, stored := mustOpen(t, disk)
	expected := newHistory(stored)
	maxBytes := int64(0)
	for first := uint64(1); first < 5000; first += 10 {
		saveEntries(t, log, expected, first, first+9)
		snapshot := consensus.Snapshot{Index: first + 9, Term: 1, Data: []byte("state")}
		if err := log.Compact(snapshot); err != nil {
			t.Fatal(err)
		}
		expected = newHistory(compacted(expected.last(), snapshot))
		maxBytes = max(maxBytes, log.DiskBytes())
	}
	if limit := int64(4 * smallSegmentBytes); maxBytes > limit {
		t.Fatalf("disk usage of %d bytes, want at most %d", maxBytes, limit)
	}
	onDisk := int64(0)
	for _, data := range readAllFiles(t, disk) {
		onDisk += int64(len(data))
	}
	if onDisk != log.DiskBytes() {
		t.Fatalf("files on disk have %d bytes in total, DiskBytes reports %d", onDisk, log.DiskBytes())
	}
	_, recovered := mustOpen(t, disk)
	if err := expected.check(recovered); err != nil {
		t.Fatal(err)
	}
}

// TestOpen_rejectsOtherFormatVersion changes the format version of each file: Open must return a FormatError and leave the
// disk unchanged.
func TestOpen_rejectsOtherFormatVersion(t *testing.T) {
	populated := populateDiskWithSnapshot(t)
	for name, data := range populated.files {
		other := append([]byte(nil), data...)
		binary.LittleEndian.PutUint32(other[4:], seglog.FormatVersion+1)
		check := crc32.Checksum(other[:8], crc32.MakeTable(crc32.Castagnoli))
		binary.LittleEndian.PutUint32(other[8:], check)
		disk := populated.cloneWithFile(name, other)
		before := readAllFiles(t, disk)
		var rejected seglog.FormatError
		if _, _, err := open(disk); !errors.As(err, &rejected) || rejected.File != name || rejected.Found != seglog.FormatVersion+1 {
			t.Fatalf("open with another format version in %s: got error %v, want FormatError", name, err)
		}
		after := readAllFiles(t, disk)
		for file := range before {
			if string(before[file]) != string(after[file]) {
				t.Fatalf("open with another format version in %s has changed %s", name, file)
			}
		}
	}
}

func TestLog_rejectsCallsAfterClose(t *testing.T) {
	log, _ := mustOpen(t, seglogtest.NewMemoryDisk())
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	if err := log.Save(nil); !errors.Is(err, seglog.ErrClosed) {
		t.Fatalf("Save: got error %v, want ErrClosed", err)
	}
	if err := log.Compact(consensus.Snapshot{Index: 1}); !errors.Is(err, seglog.ErrClosed) {
		t.Fatalf("Compact: got error %v, want ErrClosed", err)
	}
}

// TestOpen_onOperatingSystemFiles makes random calls on the file system of the operating system and repeatedly reopens the
// log.
func TestOpen_onOperatingSystemFiles(t *testing.T) {
	options := seglog.Options{Directory: filepath.Join(t.TempDir(), "one", "two"), SegmentBytes: smallSegmentBytes}
	random := newRandom(7)
	expected := newHistory(emptyState)
	for range 5 {
		log, stored, err := seglog.Open(options)
		if err != nil {
			t.Fatal(err)
		}
		if err := expected.check(stored); err != nil {
			t.Fatal(err)
		}
		expected = newHistory(stored)
		if err := runUntilFailure(log, workload{random: random}, expected, workloadCalls); err != nil {
			t.Fatal(err)
		}
		if err := log.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestLoadOrCreateMemberID_survivesPowerLoss loses power before each disk operation of the creation of a member ID: an ID
// that was returned must be read again, also after another power loss.
func TestLoadOrCreateMemberID_survivesPowerLoss(t *testing.T) {
	for operations := int64(0); ; operations++ {
		disk := seglogtest.NewMemoryDisk()
		disk.RemainingOperations = operations
		id, created, err := loadMemberID(disk, 11)
		if err == nil && (id != 11 || !created) {
			t.Fatalf("empty disk: got member ID %d, created %t; want 11, true", id, created)
		}
		disk.LosePower(newRandom(uint64(operations)))
		second, _, failure := loadMemberID(disk, 22)
		if failure != nil {
			t.Fatalf("after power loss before operation %d: %v", operations, failure)
		}
		if err == nil && second != 11 {
			t.Fatalf("after power loss: got member ID %d, want %d as returned before", second, id)
		}
		disk.LosePower(newRandom(uint64(operations)))
		if third, created, err := loadMemberID(disk, 33); err != nil || created || third != second {
			t.Fatalf("after second power loss: got member ID %d, created %t, error %v; want %d, false, nil", third, created, err, second)
		}
		if err == nil {
			return
		}
	}
}

// loadMemberID loads the member ID of the disk, or creates it as newID.
func loadMemberID(disk *seglogtest.MemoryDisk, newID consensus.MemberID) (consensus.MemberID, bool, error) {
	return seglog.LoadOrCreateMemberID(disk, directory, func() consensus.MemberID { return newID })
}

// TestLoadOrCreateMemberID_rejectsCorruptFile truncates and corrupts the file at each byte: ErrCorrupt must be returned.
func TestLoadOrCreateMemberID_rejectsCorruptFile(t *testing.T) {
	disk := seglogtest.NewMemoryDisk()
	if _, _, err := loadMemberID(disk, 11); err != nil {
		t.Fatal(err)
	}
	name := seglogtest.SingleFile(disk, directory)
	complete, _ := disk.ReadFile(name)
	for length := range complete {
		disk.WriteFile(name, complete[:length])
		if _, _, err := loadMemberID(disk, 22); !errors.Is(err, seglog.ErrCorrupt) {
			t.Fatalf("member ID file truncated to %d bytes: got error %v, want ErrCorrupt", length, err)
		}
		data := append([]byte(nil), complete...)
		data[length] ^= flippedBits
		disk.WriteFile(name, data)
		if _, _, err := loadMemberID(disk, 22); !errors.Is(err, seglog.ErrCorrupt) {
			t.Fatalf("byte %d of the member ID file corrupted: got error %v, want ErrCorrupt", length, err)
		}
	}
}
