package keeper_test

import (
	"os"
	"path/filepath"
	"testing"

	"ospreybend/coord/agreement"
	"ospreybend/coord/replica"
	"ospreybend/coord/seglog"
	"ospreybend/internal/testkit/golden"
)

// TestWriteDiskFixtures has a group of each kind of shard carry out its commands. Before the last two a snapshot of the
// state is stored, as after many entries. The directories must be missing.
func TestWriteDiskFixtures(t *testing.T) {
	for _, fixture := range diskFixtures() {
		early := len(fixture.commands) - 2
		group := openGroup(t, fixture, fixture.directory())
		propose(t, group, fixture.commands[:early])
		compact(t, fixture)
		group = openGroup(t, fixture, fixture.directory())
		propose(t, group, fixture.commands[early:])
		state := fixture.machine.Snapshot()
		if err := os.WriteFile(filepath.Join(golden.Folder, fixture.stateFile()), state, 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// propose has a group carry out commands, and closes it.
func propose(t *testing.T, group *replica.Group, commands [][]byte) {
	t.Helper()
	awaitApplied(t, group)
	for _, command := range commands {
		if _, _, err := group.Propose(t.Context(), command); err != nil {
			t.Fatal(err)
		}
	}
	group.Close()
}

// compact stores a snapshot of the state at the last entry.
func compact(t *testing.T, fixture diskFixture) {
	t.Helper()
	log, stored, err := seglog.Open(seglog.Options{Directory: fixture.directory()})
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	last := stored.Entries[len(stored.Entries)-1]
	snapshot := agreement.Snapshot{Index: last.Index, Term: last.Term, Members: stored.Snapshot.Members, Data: fixture.machine.Snapshot()}
	if err := log.Compact(snapshot); err != nil {
		t.Fatal(err)
	}
}
