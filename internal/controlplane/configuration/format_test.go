package configuration

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// format1Directory contains what a store that wrote format 1 has left: four entries that it accepted, one after the other, and
// its snapshot and document after them.
const format1Directory = "testdata/format1"

// format1Entries is the number of those entries.
const format1Entries = 4

func readFormat1File(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(format1Directory, name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// TestStore_Apply_acceptsEntriesOfFormat1 checks that what was accepted once is accepted by every later replay of the log, and is
// not rejected by ValidateCommand: checks may become stricter only for commands of a new format.
func TestStore_Apply_acceptsEntriesOfFormat1(t *testing.T) {
	replayed := NewStore()
	for number := 1; number <= format1Entries; number++ {
		entry := readFormat1File(t, fmt.Sprintf("entry%d", number))
		command, err := DecodeCommand(entry)
		if err != nil {
			t.Fatal(err)
		}
		if rejection := ValidateCommand(command); rejection != nil {
			t.Errorf("entry %d: %v", number, rejection)
		}
		if outcome, _ := replayed.Apply(uint64(number), entry); outcome.Code != CodeAccepted {
			t.Errorf("entry %d: %+v", number, outcome)
		}
	}
	if !bytes.Equal(replayed.Document(), readFormat1File(t, "document.json")) {
		t.Errorf("%s", replayed.Document())
	}
}

func TestStore_Restore_format1(t *testing.T) {
	store := NewStore()
	if err := store.Restore(readFormat1File(t, "snapshot")); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(store.Document(), readFormat1File(t, "document.json")) {
		t.Errorf("%s", store.Document())
	}
	for number := 1; number <= format1Entries; number++ {
		if outcome, _ := store.Apply(uint64(number), readFormat1File(t, fmt.Sprintf("entry%d", number))); outcome.Code != CodeRepeated {
			t.Errorf("entry %d: %+v", number, outcome)
		}
	}
	if outcome := applyCommand(store, replaceCommand(0, exampleConfiguration(7)+" ")); outcome.Code != CodeBaseNotCurrent {
		t.Errorf("nothing is forgotten yet: %+v", outcome)
	}
}

// TestStore_Restore_format1BasesAreConservative checks that, once a change of format 1 is forgotten, commands on bases that old
// get no final answer, since that format does not contain the bases.
func TestStore_Restore_format1BasesAreConservative(t *testing.T) {
	store := NewStore()
	store.maxRemembered = format1Entries
	if err := store.Restore(readFormat1File(t, "snapshot")); err != nil {
		t.Fatal(err)
	}
	base := store.Generation()
	mustAccept(t, store, updateCommand(base, fmt.Sprintf(`{"generation":%d}`, base+1)))
	if outcome, _ := store.Apply(1, readFormat1File(t, "entry1")); outcome.Code != CodeBaseForgotten {
		t.Errorf("%+v", outcome)
	}
	if outcome, _ := store.Apply(1, readFormat1File(t, "entry2")); outcome.Code != CodeRepeated {
		t.Errorf("%+v", outcome)
	}
	if outcome := applyCommand(store, updateCommand(base, fmt.Sprintf(`{"generation":%d}`, base+2))); outcome.Code != CodeBaseNotCurrent {
		t.Errorf("%+v", outcome)
	}
}
