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

// TestLog_Save_syncsOncePerBatch counts the syncs of files once the segment exists.
func TestLog_Save_syncsOncePerBatch(t *testing.T) {
	disk := seglogtest.NewMemoryDisk()
	log, _, err := seglog.Open(seglog.Options{FileSystem: disk, Directory: directory})
	if err != nil {
		t.Fatal(err)
	}
	expected := newHistory(emptyDisk)
	saveEntries(t, log, expected, 1, 1)
	before := disk.SyncCount
	saveEntries(t, log, expected, 2, 50)
	if disk.SyncCount != before+1 {
		t.Fatalf("%d syncs", disk.SyncCount-before)
	}
}

// TestLog_Compact_boundsDiskUsage compacts repeatedly: the disk contains no more than the last segments.
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
		t.Fatalf("%d bytes, more than %d", maxBytes, limit)
	}
	onDisk := int64(0)
	for _, data := range contents(t, disk) {
		onDisk += int64(len(data))
	}
	if onDisk != log.DiskBytes() {
		t.Fatalf("%d bytes on disk, %d reported", onDisk, log.DiskBytes())
	}
	_, recovered := mustOpen(t, disk)
	if err := expected.check(recovered); err != nil {
		t.Fatal(err)
	}
}

// TestOpen_rejectsOtherFormatVersion changes the format version of each file. Nothing on disk may change then.
func TestOpen_rejectsOtherFormatVersion(t *testing.T) {
	written := writeWithSnapshot(t)
	for name, data := range written.files {
		other := append([]byte(nil), data...)
		binary.LittleEndian.PutUint32(other[4:], seglog.FormatVersion+1)
		check := crc32.Checksum(other[:8], crc32.MakeTable(crc32.Castagnoli))
		binary.LittleEndian.PutUint32(other[8:], check)
		disk := written.with(name, other)
		before := contents(t, disk)
		var rejected seglog.FormatError
		if _, _, err := open(disk); !errors.As(err, &rejected) || rejected.File != name || rejected.Found != seglog.FormatVersion+1 {
			t.Fatalf("%s: got %v", name, err)
		}
		after := contents(t, disk)
		for file := range before {
			if string(before[file]) != string(after[file]) {
				t.Fatalf("%s was changed", file)
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
		t.Fatal(err)
	}
	if err := log.Compact(consensus.Snapshot{Index: 1}); !errors.Is(err, seglog.ErrClosed) {
		t.Fatal(err)
	}
}

// TestOpen_onOperatingSystemFiles makes random calls on the real file system and opens it again.
func TestOpen_onOperatingSystemFiles(t *testing.T) {
	options := seglog.Options{Directory: filepath.Join(t.TempDir(), "one", "two"), SegmentBytes: smallSegmentBytes}
	random := newRandom(7)
	expected := newHistory(emptyDisk)
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

// TestLoadOrCreateMemberID_survivesPowerLoss loses power before each operation of the first start.
func TestLoadOrCreateMemberID_survivesPowerLoss(t *testing.T) {
	for operations := int64(0); ; operations++ {
		disk := seglogtest.NewMemoryDisk()
		disk.RemainingOperations = operations
		id, created, err := loadMemberID(disk, 11)
		if err == nil && (id != 11 || !created) {
			t.Fatal(id, created)
		}
		disk.LosePower(newRandom(uint64(operations)))
		again, _, failure := loadMemberID(disk, 22)
		if failure != nil {
			t.Fatal(failure)
		}
		if err == nil && again != 11 {
			t.Fatalf("the ID %d became %d", id, again)
		}
		disk.LosePower(newRandom(uint64(operations)))
		if third, created, err := loadMemberID(disk, 33); err != nil || created || third != again {
			t.Fatal(third, created, err)
		}
		if err == nil {
			return
		}
	}
}

func loadMemberID(disk *seglogtest.MemoryDisk, newID consensus.MemberID) (consensus.MemberID, bool, error) {
	return seglog.LoadOrCreateMemberID(disk, directory, func() consensus.MemberID { return newID })
}

// TestLoadOrCreateMemberID_rejectsCorruptFile truncates and changes the file at each byte.
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
			t.Fatalf("truncated to %d bytes: %v", length, err)
		}
		data := append([]byte(nil), complete...)
		data[length] ^= 0x41
		disk.WriteFile(name, data)
		if _, _, err := loadMemberID(disk, 22); !errors.Is(err, seglog.ErrCorrupt) {
			t.Fatalf("byte %d changed: %v", length, err)
		}
	}
}
