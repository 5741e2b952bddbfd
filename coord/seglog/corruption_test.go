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

// writtenDisk has a history on disk, with the size of the last segment after each call.
type writtenDisk struct {
	disk   *seglogtest.Disk
	record *history
	files  map[string][]byte
}

func write(t *testing.T, seed uint64, calls int) writtenDisk {
	t.Helper()
	disk := seglogtest.NewDisk()
	log, stored := mustOpen(t, disk)
	record := newHistory(stored)
	if err := runUntilFailure(log, workload{random: newRandom(seed)}, record, calls); err != nil {
		t.Fatal(err)
	}
	return writtenDisk{disk: disk, record: record, files: contents(t, disk)}
}

func contents(t *testing.T, disk *seglogtest.Disk) map[string][]byte {
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

func (w writtenDisk) segments() []string { return w.withSuffix(".segment") }

func (w writtenDisk) withSuffix(suffix string) []string {
	var names []string
	for name := range w.files {
		if strings.HasSuffix(name, suffix) {
			names = append(names, name)
		}
	}
	return names
}

// with returns a copy of the disk with other content in one file.
func (w writtenDisk) with(name string, data []byte) *seglogtest.Disk {
	changed := w.disk.Clone()
	changed.WriteFile(filepath.Join(directory, name), data)
	return changed
}

// TestCutSegments cuts each segment at each byte. Of the last segment all states passed through are prefixes, and what
// is recovered must be one of them. Without a part of another one the log is older than what was promised with it:
// such a disk is refused as damaged.
func TestCutSegments(t *testing.T) {
	for seed := range uint64(3) {
		written := write(t, seed, 8)
		written.record.acknowledged = 0
		for _, name := range written.segments() {
			for cut := range written.files[name] {
				checkChanged(t, written, name, written.files[name][:cut])
			}
		}
	}
}

// TestDamagedSegments changes each byte of each segment, as TestCutSegments does.
func TestDamagedSegments(t *testing.T) {
	for seed := range uint64(3) {
		written := write(t, seed, 8)
		written.record.acknowledged = 0
		for _, name := range written.segments() {
			for position := range written.files[name] {
				data := bytes.Clone(written.files[name])
				data[position] ^= 0x41
				checkChanged(t, written, name, data)
			}
		}
	}
}

// TestMissingSegments takes each segment away but the last.
func TestMissingSegments(t *testing.T) {
	for seed := range uint64(3) {
		written := write(t, seed, 8)
		for _, name := range written.segments() {
			disk := written.disk.Clone()
			if err := disk.Remove(filepath.Join(directory, name)); err != nil {
				t.Fatal(err)
			}
			if _, _, err := open(disk); !written.isLast(name) && !errors.Is(err, seglog.ErrDamaged) {
				t.Fatalf("without %s: %v", name, err)
			}
		}
	}
}

// isLast tells whether no segment stands behind the one of the name.
func (w writtenDisk) isLast(name string) bool { return name == slices.Max(w.segments()) }

// checkChanged opens the disk with other content in one segment.
func checkChanged(t *testing.T, written writtenDisk, name string, data []byte) {
	t.Helper()
	if written.isLast(name) {
		checkPrefix(t, written, name, data)
		return
	}
	if _, _, err := open(written.with(name, data)); !errors.Is(err, seglog.ErrDamaged) {
		t.Fatalf("%s with %d bytes: %v", name, len(data), err)
	}
}

// checkPrefix opens the changed disk, then writes to it and opens it again.
func checkPrefix(t *testing.T, written writtenDisk, name string, data []byte) {
	t.Helper()
	disk := written.with(name, data)
	log, stored := mustOpen(t, disk)
	if err := written.record.check(stored); err != nil {
		t.Fatalf("%s with %d bytes: %v", name, len(data), err)
	}
	record := newHistory(stored)
	if err := runUntilFailure(log, workload{random: newRandom(uint64(len(data)))}, record, 2); err != nil {
		t.Fatal(err)
	}
	_, again := mustOpen(t, disk)
	if err := record.check(again); err != nil {
		t.Fatalf("%s with %d bytes, after more calls: %v", name, len(data), err)
	}
}

// TestLastBatchCut shows that a cut in the last batch keeps all batches before it.
func TestLastBatchCut(t *testing.T) {
	disk := seglogtest.NewDisk()
	log, stored := mustOpen(t, disk)
	record := newHistory(stored)
	saveEntries(t, log, record, 1, 2)
	name := seglogtest.OnlyFile(disk, directory)
	synced, _ := disk.ReadFile(name)
	saveEntries(t, log, record, 3, 3)
	whole, _ := disk.ReadFile(name)
	record.acknowledged = 2 // states: empty disk, entry 1, entry 2
	for cut := len(synced); cut < len(whole); cut++ {
		torn := disk.Clone()
		torn.WriteFile(name, whole[:cut])
		_, recovered := mustOpen(t, torn)
		if err := record.check(recovered); err != nil {
			t.Fatal(err)
		}
	}
}

func saveEntries(t *testing.T, log *seglog.Log, record *history, first, last uint64) {
	t.Helper()
	persist := &consensus.PersistRequest{}
	for index := first; index <= last; index++ {
		persist.Entries = append(persist.Entries, consensus.Entry{Term: 1, Index: index, Data: []byte("command")})
	}
	one := operation{batch: []*consensus.PersistRequest{persist}}
	record.attempt(one)
	if err := carryOut(log, one); err != nil {
		t.Fatal(err)
	}
	record.acknowledge()
}

// TestCutSnapshots cuts and changes the snapshot at each byte: such a disk is refused as damaged.
func TestCutSnapshots(t *testing.T) {
	written := writeWithSnapshot(t)
	name := written.withSuffix(".snapshot")[0]
	for cut := range written.files[name] {
		if _, _, err := open(written.with(name, written.files[name][:cut])); !errors.Is(err, seglog.ErrDamaged) {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		data := bytes.Clone(written.files[name])
		data[cut] ^= 0x41
		if _, _, err := open(written.with(name, data)); !errors.Is(err, seglog.ErrDamaged) {
			t.Fatalf("byte %d changed: %v", cut, err)
		}
	}
}

// TestUnfinishedSnapshotIgnored leaves a temporary file of every length.
func TestUnfinishedSnapshotIgnored(t *testing.T) {
	written := writeWithSnapshot(t)
	snapshot := written.files[written.withSuffix(".snapshot")[0]]
	for cut := range snapshot {
		disk := written.with("snapshot.temporary", snapshot[:cut])
		_, stored := mustOpen(t, disk)
		if err := written.record.check(stored); err != nil {
			t.Fatal(err)
		}
		if _, left := contents(t, disk)["snapshot.temporary"]; left {
			t.Fatal("the temporary file is still there")
		}
	}
}

func writeWithSnapshot(t *testing.T) writtenDisk {
	t.Helper()
	for seed := range uint64(100) {
		written := write(t, seed, 10)
		if len(written.withSuffix(".snapshot")) == 1 {
			return written
		}
	}
	t.Fatal("no workload has a snapshot")
	return writtenDisk{}
}

// TestRemovedFilesComeBack puts back every set of segments and snapshots that were removed before.
func TestRemovedFilesComeBack(t *testing.T) {
	for seed := range uint64(6) {
		disk := seglogtest.NewDisk()
		log, stored := mustOpen(t, disk)
		record := newHistory(stored)
		seen := map[string][]byte{}
		calls := workload{random: newRandom(seed)}
		for range 25 {
			if err := runUntilFailure(log, calls, record, 1); err != nil {
				t.Fatal(err)
			}
			for name, data := range contents(t, disk) {
				seen[name] = data
			}
		}
		checkComeBack(t, disk, record, seen, seed)
	}
}

func checkComeBack(t *testing.T, disk *seglogtest.Disk, record *history, seen map[string][]byte, seed uint64) {
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
		if err := record.check(stored); err != nil {
			t.Fatal(err)
		}
	}
}
