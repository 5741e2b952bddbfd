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

var emptyDisk consensus.PersistedState

// populatedDisk is a disk with a history of calls, and its files.
type populatedDisk struct {
	disk     *seglogtest.MemoryDisk
	expected *history
	files    map[string][]byte
}

func populateDisk(t *testing.T, seed uint64, calls int) populatedDisk {
	t.Helper()
	disk := seglogtest.NewMemoryDisk()
	log, stored := mustOpen(t, disk)
	expected := newHistory(stored)
	if err := runUntilFailure(log, workload{random: newRandom(seed)}, expected, calls); err != nil {
		t.Fatal(err)
	}
	return populatedDisk{disk: disk, expected: expected, files: contents(t, disk)}
}

func contents(t *testing.T, disk *seglogtest.MemoryDisk) map[string][]byte {
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

func (w populatedDisk) segments() []string { return w.withSuffix(".segment") }

func (w populatedDisk) withSuffix(suffix string) []string {
	var names []string
	for name := range w.files {
		if strings.HasSuffix(name, suffix) {
			names = append(names, name)
		}
	}
	return names
}

// with returns a copy of the disk with other content in one file.
func (w populatedDisk) with(name string, data []byte) *seglogtest.MemoryDisk {
	changed := w.disk.Clone()
	changed.WriteFile(filepath.Join(directory, name), data)
	return changed
}

// TestOpen_truncatedSegment truncates each segment at each byte. Of the last segment all states passed through are prefixes, and
// the recovered state must be one of them. Without a part of an earlier segment the log lacks what was acknowledged: Open must
// return ErrCorrupt.
func TestOpen_truncatedSegment(t *testing.T) {
	for seed := range uint64(3) {
		written := populateDisk(t, seed, 8)
		written.expected.acknowledged = 0
		for _, name := range written.segments() {
			for length := range written.files[name] {
				checkAlteredSegment(t, written, name, written.files[name][:length])
			}
		}
	}
}

// TestOpen_corruptSegment changes each byte of each segment, with the same expectations as TestOpen_truncatedSegment.
func TestOpen_corruptSegment(t *testing.T) {
	for seed := range uint64(3) {
		written := populateDisk(t, seed, 8)
		written.expected.acknowledged = 0
		for _, name := range written.segments() {
			for position := range written.files[name] {
				data := bytes.Clone(written.files[name])
				data[position] ^= 0x41
				checkAlteredSegment(t, written, name, data)
			}
		}
	}
}

// TestOpen_missingSegment removes each segment but the last.
func TestOpen_missingSegment(t *testing.T) {
	for seed := range uint64(3) {
		written := populateDisk(t, seed, 8)
		for _, name := range written.segments() {
			disk := written.disk.Clone()
			if err := disk.Remove(filepath.Join(directory, name)); err != nil {
				t.Fatal(err)
			}
			if _, _, err := open(disk); !written.isLast(name) && !errors.Is(err, seglog.ErrCorrupt) {
				t.Fatalf("without %s: %v", name, err)
			}
		}
	}
}

// isLast reports whether no segment follows the one of the name.
func (w populatedDisk) isLast(name string) bool { return name == slices.Max(w.segments()) }

// checkAlteredSegment opens the disk with other content in one segment.
func checkAlteredSegment(t *testing.T, written populatedDisk, name string, data []byte) {
	t.Helper()
	if written.isLast(name) {
		checkPrefix(t, written, name, data)
		return
	}
	if _, _, err := open(written.with(name, data)); !errors.Is(err, seglog.ErrCorrupt) {
		t.Fatalf("%s with %d bytes: %v", name, len(data), err)
	}
}

// checkPrefix opens the altered disk, then writes to it and opens it again.
func checkPrefix(t *testing.T, written populatedDisk, name string, data []byte) {
	t.Helper()
	disk := written.with(name, data)
	log, stored := mustOpen(t, disk)
	if err := written.expected.check(stored); err != nil {
		t.Fatalf("%s with %d bytes: %v", name, len(data), err)
	}
	expected := newHistory(stored)
	if err := runUntilFailure(log, workload{random: newRandom(uint64(len(data)))}, expected, 2); err != nil {
		t.Fatal(err)
	}
	_, again := mustOpen(t, disk)
	if err := expected.check(again); err != nil {
		t.Fatalf("%s with %d bytes, after more calls: %v", name, len(data), err)
	}
}

// TestOpen_truncatedLastBatch checks that a truncation in the last batch preserves all batches before it.
func TestOpen_truncatedLastBatch(t *testing.T) {
	disk := seglogtest.NewMemoryDisk()
	log, stored := mustOpen(t, disk)
	expected := newHistory(stored)
	saveEntries(t, log, expected, 1, 2)
	name := seglogtest.SingleFile(disk, directory)
	synced, _ := disk.ReadFile(name)
	saveEntries(t, log, expected, 3, 3)
	complete, _ := disk.ReadFile(name)
	expected.acknowledged = 2 // states: empty disk, entry 1, entry 2
	for length := len(synced); length < len(complete); length++ {
		torn := disk.Clone()
		torn.WriteFile(name, complete[:length])
		_, recovered := mustOpen(t, torn)
		if err := expected.check(recovered); err != nil {
			t.Fatal(err)
		}
	}
}

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

// TestOpen_corruptSnapshot truncates and changes the snapshot at each byte: Open must return ErrCorrupt.
func TestOpen_corruptSnapshot(t *testing.T) {
	written := writeWithSnapshot(t)
	name := written.withSuffix(".snapshot")[0]
	for length := range written.files[name] {
		if _, _, err := open(written.with(name, written.files[name][:length])); !errors.Is(err, seglog.ErrCorrupt) {
			t.Fatalf("truncated to %d bytes: %v", length, err)
		}
		data := bytes.Clone(written.files[name])
		data[length] ^= 0x41
		if _, _, err := open(written.with(name, data)); !errors.Is(err, seglog.ErrCorrupt) {
			t.Fatalf("byte %d changed: %v", length, err)
		}
	}
}

// TestOpen_ignoresTemporarySnapshot leaves a temporary file of every length.
func TestOpen_ignoresTemporarySnapshot(t *testing.T) {
	written := writeWithSnapshot(t)
	snapshot := written.files[written.withSuffix(".snapshot")[0]]
	for length := range snapshot {
		disk := written.with("snapshot.temporary", snapshot[:length])
		_, stored := mustOpen(t, disk)
		if err := written.expected.check(stored); err != nil {
			t.Fatal(err)
		}
		if _, left := contents(t, disk)["snapshot.temporary"]; left {
			t.Fatal("the temporary file is still there")
		}
	}
}

func writeWithSnapshot(t *testing.T) populatedDisk {
	t.Helper()
	for seed := range uint64(100) {
		written := populateDisk(t, seed, 10)
		if len(written.withSuffix(".snapshot")) == 1 {
			return written
		}
	}
	t.Fatal("no workload has a snapshot")
	return populatedDisk{}
}

// TestOpen_ignoresReappearedObsoleteFiles puts back random sets of segments and snapshots that were removed before.
func TestOpen_ignoresReappearedObsoleteFiles(t *testing.T) {
	for seed := range uint64(6) {
		disk := seglogtest.NewMemoryDisk()
		log, stored := mustOpen(t, disk)
		expected := newHistory(stored)
		seen := map[string][]byte{}
		calls := workload{random: newRandom(seed)}
		for range 25 {
			if err := runUntilFailure(log, calls, expected, 1); err != nil {
				t.Fatal(err)
			}
			for name, data := range contents(t, disk) {
				seen[name] = data
			}
		}
		checkReappearedFiles(t, disk, expected, seen, seed)
	}
}

func checkReappearedFiles(t *testing.T, disk *seglogtest.MemoryDisk, expected *history, seen map[string][]byte, seed uint64) {
	t.Helper()
	random := newRandom(seed)
	present := contents(t, disk)
	for range 40 {
		restored := disk.Clone()
		for name, data := range seen {
			if _, there := present[name]; !there && random.IntN(2) == 0 && name != "snapshot.temporary" {
				restored.WriteFile(filepath.Join(directory, name), data)
			}
		}
		_, stored := mustOpen(t, restored)
		if err := expected.check(stored); err != nil {
			t.Fatal(err)
		}
	}
}
