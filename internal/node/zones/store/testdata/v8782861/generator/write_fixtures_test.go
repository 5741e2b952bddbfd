package keep_test

import (
	"os"
	"path/filepath"
	"testing"

	"ospreybend/internal/fleet/agreed"
	"ospreybend/internal/fleet/keep"
	"ospreybend/internal/testkit/golden"
)

// TestWriteFixtures writes the store, which must be missing. Its ID is random.
func TestWriteFixtures(t *testing.T) {
	if err := os.MkdirAll(golden.Folder, 0o755); err != nil {
		t.Fatal(err)
	}
	store, _, err := keep.Open(filepath.Join(golden.Folder, compatibilityFile), compatibilityOwner())
	if err != nil {
		t.Fatal(err)
	}
	state := compatibilityState()
	first := state.Entries[0].Index
	if err := store.Write(agreed.Persist{HardState: state.HardState, Entries: state.Entries, Snapshot: state.Snapshot, First: first}); err != nil {
		t.Fatal(err)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
}
