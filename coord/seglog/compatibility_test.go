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

// compatibilityFolder contains files written by commit 8782861. Each of its subdirectories is the directory of a log or of
// a member ID.
const compatibilityFolder = "testdata/v8782861"

// compatibilitySegmentBytes is so small that a few entries fill several segments.
const compatibilitySegmentBytes = 256

// compatibilityMember is the member ID of the fixture.
const compatibilityMember = consensus.MemberID(1<<63 + 17)

func compatibilityMembers() []consensus.Member {
	return []consensus.Member{
		{ID: 1 << 63, Address: "192.0.2.1:7100", Voter: true}, {ID: 12, Address: "192.0.2.2:7100"}, {ID: 13, Retired: true},
	}
}

// compatibilityEntries returns entries of each kind with the indexes 2 to 12.
func compatibilityEntries() []consensus.Entry {
	entries := []consensus.Entry{
		{Term: 2, Index: 2, Kind: consensus.EntryNoop, Data: []byte{}},
		{Term: 2, Index: 3, Kind: consensus.EntryMembership, Data: []byte{}, Members: compatibilityMembers()},
	}
	for index := uint64(4); index <= 12; index++ {
		data := bytes.Repeat([]byte{byte(index)}, 40)
		entries = append(entries, consensus.Entry{Term: 3, Index: index, Kind: consensus.EntryCommand, Data: data})
	}
	return entries
}

// writeLog writes a log with a bootstrap snapshot and entries in two batches, and compacts it at the index compactAt unless
// that is 0.
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

// compatibilityLogs returns the logs of the fixture: the compaction index for writeLog, by directory name.
func compatibilityLogs() map[string]uint64 { return map[string]uint64{"whole": 0, "compacted": 8} }

// writeMember creates a member ID in an empty directory.
func writeMember(t *testing.T, directory string) {
	t.Helper()
	newID := func() consensus.MemberID { return compatibilityMember }
	if id, created, err := seglog.LoadOrCreateMemberID(nil, directory, newID); err != nil || !created || id != compatibilityMember {
		t.Fatalf("got member ID %d, created %t, error %v; want %d, true, nil", id, created, err, compatibilityMember)
	}
}

// readFiles returns the contents of the files in a directory by file name.
func readFiles(t *testing.T, directory string) map[string][]byte {
	t.Helper()
	entries, err := os.ReadDir(directory)
	if err != nil {
		t.Fatal(err)
	}
	files := map[string][]byte{}
	for _, entry := range entries {
		if files[entry.Name()], err = os.ReadFile(filepath.Join(directory, entry.Name())); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// copyFixture copies a directory of the fixture, so that opening the copy leaves the fixture unchanged.
func copyFixture(t *testing.T, name string) string {
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
		log, stored, err := seglog.Open(seglog.Options{Directory: copyFixture(t, name)})
		if err != nil {
			t.Fatalf("open %s: %v", name, err)
		}
		if !reflect.DeepEqual(stored, want) {
			t.Errorf("%s: recovered %+v, want %+v", name, stored, want)
		}
		if err := log.Close(); err != nil {
			t.Errorf("close %s: %v", name, err)
		}
	}
}

func TestLoadOrCreateMemberID_readsVersion8782861(t *testing.T) {
	id, created, err := seglog.LoadOrCreateMemberID(nil, copyFixture(t, "member"), func() consensus.MemberID { return 1 })
	if err != nil || created || id != compatibilityMember {
		t.Errorf("got member ID %d, created %t, error %v; want %d, false, nil", id, created, err, compatibilityMember)
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
		files, fixture := readFiles(t, directory), readFiles(t, filepath.Join(compatibilityFolder, name))
		if !reflect.DeepEqual(files, fixture) {
			t.Errorf("%s: wrote %q, want the content of the fixture %q", name, files, fixture)
		}
	}
}
