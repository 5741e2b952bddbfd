package seglog_test

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog"
)

// compatibilityFolder has the files that commit 8782861 wrote: each of its folders is one log, or a disk's member ID.
const compatibilityFolder = "testdata/v8782861"

// compatibilitySegmentBytes makes segments so short that a few entries fill several.
const compatibilitySegmentBytes = 256

// compatibilityMember is the member ID of the fixture.
const compatibilityMember = consensus.MemberID(1<<63 + 17)

func compatibilityMembers() []consensus.Member {
	return []consensus.Member{
		{ID: 1 << 63, Address: "192.0.2.1:7100", Voter: true}, {ID: 12, Address: "192.0.2.2:7100"}, {ID: 13, Retired: true},
	}
}

// compatibilityEntries are entries of each kind; the last index is 12.
func compatibilityEntries() []consensus.Entry {
	entries := []consensus.Entry{
		{Term: 2, Index: 2, Kind: consensus.EntryNoop, Data: []byte{}},
		{Term: 2, Index: 3, Kind: consensus.EntryMembership, Data: []byte{}, Members: compatibilityMembers()},
	}
	for index := uint64(4); index <= 12; index++ {
		entries = append(entries, consensus.Entry{Term: 3, Index: index, Kind: consensus.EntryCommand, Data: bytes.Repeat([]byte{byte(index)}, 40)})
	}
	return entries
}

// writeLog writes a founding state, entries in two writes, and a snapshot at an index if it is not 0.
func writeLog(t *testing.T, directory string, compactAt uint64) {
	t.Helper()
	log, _, err := seglog.Open(seglog.Options{Directory: directory, SegmentBytes: compatibilitySegmentBytes})
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	bootstrap := consensus.Bootstrap(compatibilityMembers()[:1], []byte("founding state"))
	entries := compatibilityEntries()
	for _, request := range []*consensus.PersistRequest{
		{Sequence: 1, HardState: &bootstrap.HardState, Snapshot: &bootstrap.Snapshot},
		{Sequence: 2, HardState: &consensus.HardState{Term: 2, Vote: 1 << 63, Commit: 1}, Entries: entries[:4]},
		{Sequence: 3, HardState: &consensus.HardState{Term: 3, Vote: 12, Commit: 4}, Entries: entries[4:]},
		{Sequence: 4, HardState: &consensus.HardState{Term: 3, Vote: 12, Commit: 12}},
	} {
		if err := log.Save([]*consensus.PersistRequest{request}); err != nil {
			t.Fatal(err)
		}
	}
	if compactAt == 0 {
		return
	}
	snapshot := consensus.Snapshot{Index: compactAt, Term: 3, Members: compatibilityMembers(), Data: []byte("state of the machine")}
	if err := log.Compact(snapshot); err != nil {
		t.Fatal(err)
	}
}

// compatibilityLogs are the logs of the fixture: the index of their snapshot by the folder's name.
func compatibilityLogs() map[string]uint64 { return map[string]uint64{"whole": 0, "compacted": 8} }

// writeMember draws a member ID for an empty disk.
func writeMember(t *testing.T, directory string) {
	t.Helper()
	draw := func() consensus.MemberID { return compatibilityMember }
	if id, created, err := seglog.LoadOrCreateMemberID(nil, directory, draw); err != nil || !created || id != compatibilityMember {
		t.Fatal(id, created, err)
	}
}

// filesOf returns the contents of a folder's files by their names.
func filesOf(t *testing.T, directory string) map[string][]byte {
	t.Helper()
	listed, err := os.ReadDir(directory)
	if err != nil {
		t.Fatal(err)
	}
	files := map[string][]byte{}
	for _, one := range listed {
		if files[one.Name()], err = os.ReadFile(filepath.Join(directory, one.Name())); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// copyOf copies a fixture's folder, so that opening it changes nothing there.
func copyOf(t *testing.T, name string) string {
	t.Helper()
	directory := t.TempDir()
	if err := os.CopyFS(directory, os.DirFS(filepath.Join(compatibilityFolder, name))); err != nil {
		t.Fatal(err)
	}
	return directory
}

func TestOpen_readsVersion8782861(t *testing.T) {
	entries := compatibilityEntries()
	state := consensus.HardState{Term: 3, Vote: 12, Commit: 12}
	bootstrap := consensus.Bootstrap(compatibilityMembers()[:1], []byte("founding state"))
	for name, want := range map[string]consensus.PersistedState{
		"whole": {HardState: state, Snapshot: bootstrap.Snapshot, Entries: entries},
		"compacted": {
			HardState: state, Entries: entries[7:],
			Snapshot: consensus.Snapshot{Index: 8, Term: 3, Members: compatibilityMembers(), Data: []byte("state of the machine")},
		},
	} {
		log, stored, err := seglog.Open(seglog.Options{Directory: copyOf(t, name)})
		if err != nil {
			t.Fatal(name, err)
		}
		if !reflect.DeepEqual(stored, want) {
			t.Errorf("%s: read %+v, want %+v", name, stored, want)
		}
		if err := log.Close(); err != nil {
			t.Error(name, err)
		}
	}
}

func TestLoadOrCreateMemberID_readsVersion8782861(t *testing.T) {
	id, created, err := seglog.LoadOrCreateMemberID(nil, copyOf(t, "member"), func() consensus.MemberID { return 1 })
	if err != nil || created || id != compatibilityMember {
		t.Errorf("read %d, created %v, %v", id, created, err)
	}
}

func TestSave_writesAsVersion8782861(t *testing.T) {
	written := map[string]string{"member": t.TempDir()}
	writeMember(t, written["member"])
	for name, compactAt := range compatibilityLogs() {
		written[name] = t.TempDir()
		writeLog(t, written[name], compactAt)
	}
	for name, directory := range written {
		files, fixture := filesOf(t, directory), filesOf(t, filepath.Join(compatibilityFolder, name))
		if !reflect.DeepEqual(files, fixture) {
			t.Errorf("%s: wrote %q, the fixture holds %q", name, files, fixture)
		}
	}
}
