package store_test

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"ospreybend/coord/consensus"
	"ospreybend/internal/node/zones/replicatedlog"
	"ospreybend/internal/node/zones/store"
	"ospreybend/internal/testkit/golden"
)

// compatibilityFile is the fixture: the store of a voter, written by version 8782861.
const compatibilityFile = "voter.store"

func compatibilityOwner() store.Owner {
	return store.Owner{Fleet: "fleet-a", Voter: 2, Voters: []uint64{1, 2, 3}}
}

// compatibilityState returns the state that the fixture holds.
func compatibilityState() replicatedlog.StoredState {
	members := []consensus.Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}
	return replicatedlog.StoredState{
		HardState: &consensus.HardState{Term: 4, Vote: 3, Commit: 7},
		Snapshot:  &consensus.Snapshot{Index: 5, Term: 3, Members: members, Data: []byte("state of the machine")},
		Entries: []consensus.Entry{
			{Term: 3, Index: 6, Kind: consensus.EntryNoop},
			{Term: 4, Index: 7, Data: []byte("order")},
			{Term: 4, Index: 8, Kind: consensus.EntryMembership, Members: members},
		},
	}
}

// openCopy opens a copy of the fixture, because opening a store changes it: the start is counted.
func openCopy(t *testing.T) (*store.Store, replicatedlog.StoredState) {
	t.Helper()
	path := filepath.Join(t.TempDir(), compatibilityFile)
	if err := os.WriteFile(path, golden.Read(t, compatibilityFile), 0o600); err != nil {
		t.Fatal(err)
	}
	store, stored, err := store.Open(path, compatibilityOwner())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() })
	return store, stored
}

// This program reads the fixture's state. Package replicatedlog compares the encoded bytes of the records; the page
// format of the file is defined by the database library.
func TestOpen_readsVersion8782861(t *testing.T) {
	store, stored := openCopy(t)
	if want := compatibilityState(); !reflect.DeepEqual(stored, want) {
		t.Errorf("stored state: got %+v, want %+v", stored, want)
	}
	if store.Starts() != 2 {
		t.Errorf("starts: got %d, want 2: the fixture's and this one", store.Starts())
	}
}
