package seglog_test

import (
	"bytes"
	"errors"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog"
	"ospreybend/coord/seglog/seglogtest"
)

// emptyState is the state recovered from an empty disk.
var emptyState consensus.PersistedState

// flippedBits is the mask with which tests corrupt a byte.
const flippedBits = 0x41

// populatedDisk is a disk after a random workload, with the history of that workload and the contents of its files.
type populatedDisk struct {
	disk     *seglogtest.MemoryDisk
	expected *history
	files    map[string][]byte
}

// populateDisk makes a number of random calls on a log on an empty disk.
func populateDisk(t *testing.T, seed uint64, calls int) populatedDisk {
	t.Helper()
	disk := seglogtest.NewMemoryDisk()
	log, stored := mustOpen(t, disk)
	expected := newHistory(stored)
	if err := runUntilFailure(log, workload{random: newRandom(seed)}, expected, calls); err != nil {
		t.Fatal(err)
	}
	return populatedDisk{disk: disk, expected: expected, files: readAllFiles(t, disk)}
}

// readAllFiles returns the contents of all files of the log by file name.
func readAllFiles(t *testing.T, disk *seglogtest.MemoryDisk) map[string][]byte {
	t.Helper()
	files, err := disk.List(directory)
	if err != nil {
		t.Fatal(err)
	}
	all := map[string][]byte{}
	for _, file := range files {
		data, err := disk.ReadFile(filepath.Join(directory, file.Name))
		if err != nil {
			t.Fatal(err)
		}
		all[file.Name] = data
	}
	return all
}

func (p populatedDisk) segmentNames() []string { return p.namesWithSuffix(".segment") }

func (p populatedDisk) namesWithSuffix(suffix string) []string {
	var names []string
	for name := range p.files {
		if strings.HasSuffix(name, suffix) {
			names = append(names, name)
		}
	}
	return names
}

// cloneWithFile returns a copy of the disk with other content in one file.
func (p populatedDisk) cloneWithFile(name string, data []byte) *seglogtest.MemoryDisk {
	clone := p.disk.Clone()
	clone.WriteFile(filepath.Join(directory, name), data)
	return clone
}

// TestOpen_truncatedSegment truncates each segment at each byte. If it is the last segment, Open must recover one of the
// states that the log has passed through. If it is an earlier one, acknowledged records are missing and Open must return
// ErrCorrupt.
func TestOpen_truncatedSegment(t *testing.T) {
	for seed := range uint64(3) {
		populated := populateDisk(t, seed, 8)
		populated.expected.acknowledged = 0
		for _, name := range populated.segmentNames() {
			for length := range populated.files[name] {
				checkAlteredSegment(t, populated, name, populated.files[name][:length])
			}
		}
	}
}

// TestOpen_corruptSegment corrupts each byte of each segment, with the same expectations as TestOpen_truncatedSegment.
func TestOpen_corruptSegment(t *testing.T) {
	for seed := range uint64(3) {
		populated := populateDisk(t, seed, 8)
		populated.expected.acknowledged = 0
		for _, name := range populated.segmentNames() {
			for position := range populated.files[name] {
				data := bytes.Clone(populated.files[name])
				data[position] ^= flippedBits
				checkAlteredSegment(t, populated, name, data)
			}
		}
	}
}

// TestOpen_missingSegment removes each segment. Unless it is the last one, Open must return ErrCorrupt.
func TestOpen_missingSegment(t *testing.T) {
	for seed := range uint64(3) {
		populated := populateDisk(t, seed, 8)
		for _, name := range populated.segmentNames() {
			disk := populated.disk.Clone()
			if err := disk.Remove(filepath.Join(directory, name)); err != nil {
				t.Fatal(err)
			}
			if _, _, err := open(disk); !populated.isLast(name) && !errors.Is(err, seglog.ErrCorrupt) {
				t.Fatalf("open without segment %s: got error %v, want ErrCorrupt", name, err)
			}
		}
	}
}

// isLast reports whether no segment follows the named one.
func (p populatedDisk) isLast(name string) bool { return name == slices.Max(p.segmentNames()) }

// checkAlteredSegment opens the disk with other content in one segment: a log whose last segment is altered must yield a
// valid state, any other must be rejected.
func checkAlteredSegment(t *testing.T, populated populatedDisk, name string, data []byte) {
	t.Helper()
	if populated.isLast(name) {
		checkRecoveredPrefix(t, populated, name, data)
		return
	}
	if _, _, err := open(populated.cloneWithFile(name, data)); !errors.Is(err, seglog.ErrCorrupt) {
		t.Fatalf("open with %d bytes in %s: got error %v, want ErrCorrupt", len(data), name, err)
	}
}

// checkRecoveredPrefix opens the altered disk, writes to the log and opens it again.
func checkRecoveredPrefix(t *testing.T, populated populatedDisk, name string, data []byte) {
	t.Helper()
	disk := populated.cloneWithFile(name, data)
	log, stored := mustOpen(t, disk)
	if err := populated.expected.check(stored); err != nil {
		t.Fatalf("open with %d bytes in %s: %v", len(data), name, err)
	}
	expected := newHistory(stored)
	if err := runUntilFailure(log, workload{random: newRandom(uint64(len(data)))}, expected, 2); err != nil {
		t.Fatal(err)
	}
	_, second := mustOpen(t, disk)
	if err := expected.check(second); err != nil {
		t.Fatalf("open again, with %d bytes in %s and after more calls: %v", len(data), name, err)
	}
}

// TestOpen_truncatedLastBatch truncates the segment at each byte of the last batch: all earlier batches must be recovered.
func TestOpen_truncatedLastBatch(t *testing.T) {
	disk := seglogtest.NewMemoryDisk()
	log, stored := mustOpen(t, disk)
	expected := newHistory(stored)
	saveEntries(t, log, expected, 1, 2)
	name := seglogtest.SingleFile(disk, directory)
	before, _ := disk.ReadFile(name)
	saveEntries(t, log, expected, 3, 3)
	after, _ := disk.ReadFile(name)
	expected.acknowledged = 2 // positions of the states: 0: empty disk, 1: entry 1, 2: entry 2
	for length := len(before); length < len(after); length++ {
		torn := disk.Clone()
		torn.WriteFile(name, after[:length])
		_, recovered := mustOpen(t, torn)
		if err := expected.check(recovered); err != nil {
			t.Fatalf("segment truncated to %d of %d bytes: %v", length, len(after), err)
		}
	}
}

// saveEntries saves a batch with the entries from first to last.
func saveEntries(t *testing.T, log *seglog.Log, expected *history, first, last uint64) {
	t.Helper()
	request := &consensus.PersistRequest{}
	for index := first; index <= last; index++ {
		request.Entries = append(request.Entries, consensus.Entry{Term: 1, Index: index, Data: []byte("command")})
	}
	save := operation{batch: []*consensus.PersistRequest{request}}
	expected.attempt(save)
	if err := runOperation(log, save); err != nil {
		t.Fatal(err)
	}
	expected.acknowledge()
}

// TestOpen_corruptSnapshot truncates and corrupts the snapshot at each byte: Open must return ErrCorrupt.
func TestOpen_corruptSnapshot(t *testing.T) {
	populated := populateDiskWithSnapshot(t)
	name := populated.namesWithSuffix(".snapshot")[0]
	for length := range populated.files[name] {
		if _, _, err := open(populated.cloneWithFile(name, populated.files[name][:length])); !errors.Is(err, seglog.ErrCorrupt) {
			t.Fatalf("snapshot truncated to %d bytes: got error %v, want ErrCorrupt", length, err)
		}
		data := bytes.Clone(populated.files[name])
		data[length] ^= flippedBits
		if _, _, err := open(populated.cloneWithFile(name, data)); !errors.Is(err, seglog.ErrCorrupt) {
			t.Fatalf("byte %d of the snapshot corrupted: got error %v, want ErrCorrupt", length, err)
		}
	}
}

// TestOpen_ignoresTemporarySnapshot adds a temporary snapshot file of each length: Open must ignore and remove it.
func TestOpen_ignoresTemporarySnapshot(t *testing.T) {
	populated := populateDiskWithSnapshot(t)
	snapshot := populated.files[populated.namesWithSuffix(".snapshot")[0]]
	for length := range snapshot {
		disk := populated.cloneWithFile("snapshot.temporary", snapshot[:length])
		_, stored := mustOpen(t, disk)
		if err := populated.expected.check(stored); err != nil {
			t.Fatalf("temporary snapshot of %d bytes: %v", length, err)
		}
		if _, exists := readAllFiles(t, disk)["snapshot.temporary"]; exists {
			t.Fatalf("temporary snapshot of %d bytes: Open has not removed it", length)
		}
	}
}

// populateDiskWithSnapshot returns the first populated disk that contains a snapshot.
func populateDiskWithSnapshot(t *testing.T) populatedDisk {
	t.Helper()
	for seed := range uint64(100) {
		populated := populateDisk(t, seed, 10)
		if len(populated.namesWithSuffix(".snapshot")) == 1 {
			return populated
		}
	}
	t.Fatal("none of 100 workloads left a snapshot on the disk")
	return populatedDisk{}
}

// TestOpen_ignoresReappearedObsoleteFiles restores random sets of removed segments and snapshots, as a power loss may do:
// Open must ignore them.
func TestOpen_ignoresReappearedObsoleteFiles(t *testing.T) {
	for seed := range uint64(6) {
		disk := seglogtest.NewMemoryDisk()
		log, stored := mustOpen(t, disk)
		expected := newHistory(stored)
		everWritten := map[string][]byte{}
		calls := workload{random: newRandom(seed)}
		for range 25 {
			if err := runUntilFailure(log, calls, expected, 1); err != nil {
				t.Fatal(err)
			}
			for name, data := range readAllFiles(t, disk) {
				everWritten[name] = data
			}
		}
		checkReappearedFiles(t, disk, expected, everWritten, seed)
	}
}

// checkReappearedFiles opens copies of the disk to which random sets of its removed files are restored.
func checkReappearedFiles(
	t *testing.T, disk *seglogtest.MemoryDisk, expected *history, everWritten map[string][]byte, seed uint64,
) {
	t.Helper()
	random := newRandom(seed)
	present := readAllFiles(t, disk)
	for range 40 {
		restored := disk.Clone()
		for name, data := range everWritten {
			if _, exists := present[name]; !exists && random.IntN(2) == 0 && name != "snapshot.temporary" {
				restored.WriteFile(filepath.Join(directory, name), data)
			}
		}
		_, stored := mustOpen(t, restored)
		if err := expected.check(stored); err != nil {
			t.Fatalf("workload %d with restored files: %v", seed, err)
		}
	}
}
