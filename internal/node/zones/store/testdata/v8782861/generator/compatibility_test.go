package keep_test

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"ospreybend/coord/agreement"
	"ospreybend/internal/fleet/agreed"
	"ospreybend/internal/fleet/keep"
	"ospreybend/internal/testkit/golden"
)

// compatibilityFile is the fixture: a voter's store.
const compatibilityFile = "voter.store"

func compatibilityOwner() keep.Owner {
	return keep.Owner{Fleet: "fleet-a", Voter: 2, Voters: []uint64{1, 2, 3}}
}

// compatibilityState is what the store holds.
func compatibilityState() agreed.Stored {
	members := []agreement.Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}
	return agreed.Stored{
		HardState: &agreement.HardState{Term: 4, Vote: 3, Commit: 7},
		Snapshot:  &agreement.Snapshot{Index: 5, Term: 3, Members: members, Data: []byte("state of the machine")},
		Entries: []agreement.Entry{
			{Term: 3, Index: 6, Kind: agreement.EntryNoop},
			{Term: 4, Index: 7, Data: []byte("order")},
			{Term: 4, Index: 8, Kind: agreement.EntryMembers, Members: members},
		},
	}
}

// openCopy opens a copy of the fixture, so that the start that it counts changes nothing there.
func openCopy(t *testing.T) (*keep.Store, agreed.Stored) {
	t.Helper()
	path := filepath.Join(t.TempDir(), compatibilityFile)
	if err := os.WriteFile(path, golden.Read(t, compatibilityFile), 0o600); err != nil {
		t.Fatal(err)
	}
	store, stored, err := keep.Open(path, compatibilityOwner())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() })
	return store, stored
}

// The records' bytes are compared in the package of the log; the pages of the file are the database library's.
func TestOpen_readsVersion8782861(t *testing.T) {
	store, stored := openCopy(t)
	if want := compatibilityState(); !reflect.DeepEqual(stored, want) {
		t.Errorf("read %+v, want %+v", stored, want)
	}
	if store.Starts() != 2 {
		t.Errorf("%d starts, want this one after the fixture's", store.Starts())
	}
}
