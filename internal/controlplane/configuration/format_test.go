package configuration

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// format1Directory contains data written by a store of format 1: four log entries that it accepted in order, and the snapshot
// and document after them.
const format1Directory = "testdata/format1"

// format1Entries is the number of log entries in format1Directory.
const format1Entries = 4

func readFormat1File(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(format1Directory, name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// TestStore_Apply_acceptsEntriesOfFormat1 checks that entries that were accepted before are accepted when the log is replayed,
// and are not rejected by ValidateCommand: checks may become stricter only for commands of a new format.
func TestStore_Apply_acceptsEntriesOfFormat1(t *testing.T) {
	replayed := NewStore()
	for number := 1; number <= format1Entries; number++ {
		entry := readFormat1File(t, fmt.Sprintf("entry%d", number))
		command, err := DecodeCommand(entry)
		if err != nil {
			t.Fatalf("decode entry %d: %v", number, err)
		}
		if rejection := ValidateCommand(command); rejection != nil {
			t.Errorf("validate entry %d: got %v, want no rejection", number, rejection)
		}
		if outcome, _ := replayed.Apply(uint64(number), entry); outcome.Code != CodeAccepted {
			t.Errorf("apply entry %d: got %+v, want code %s", number, outcome, CodeAccepted)
		}
	}
	if want := readFormat1File(t, "document.json"); !bytes.Equal(replayed.Document(), want) {
		t.Errorf("document after the replay: got %s, want %s", replayed.Document(), want)
	}
}

func TestStore_Restore_format1(t *testing.T) {
	store := NewStore()
	if err := store.Restore(readFormat1File(t, "snapshot")); err != nil {
		t.Fatalf("restore the format 1 snapshot: %v", err)
	}
	if want := readFormat1File(t, "document.json"); !bytes.Equal(store.Document(), want) {
		t.Errorf("document of the restored store: got %s, want %s", store.Document(), want)
	}
	for number := 1; number <= format1Entries; number++ {
		if outcome, _ := store.Apply(uint64(number), readFormat1File(t, fmt.Sprintf("entry%d", number))); outcome.Code != CodeRepeated {
			t.Errorf("apply entry %d to the restored store: got %+v, want code %s", number, outcome, CodeRepeated)
		}
	}
	if outcome := applyCommand(store, replaceCommand(0, exampleConfiguration(7)+" ")); outcome.Code != CodeBaseNotCurrent {
		t.Errorf("new command on base 0, while no change is forgotten: got %+v, want code %s", outcome, CodeBaseNotCurrent)
	}
}

// TestStore_Restore_format1BasesAreConservative checks that the results for commands on the bases of a format 1 snapshot are not
// final once one of its changes is forgotten, since that format does not contain the bases.
func TestStore_Restore_format1BasesAreConservative(t *testing.T) {
	store := NewStore()
	store.maxRemembered = format1Entries
	if err := store.Restore(readFormat1File(t, "snapshot")); err != nil {
		t.Fatalf("restore the format 1 snapshot: %v", err)
	}
	base := store.Generation()
	mustAccept(t, store, updateCommand(base, fmt.Sprintf(`{"generation":%d}`, base+1)))
	if outcome, _ := store.Apply(1, readFormat1File(t, "entry1")); outcome.Code != CodeBaseForgotten {
		t.Errorf("entry 1, which is forgotten: got %+v, want code %s", outcome, CodeBaseForgotten)
	}
	if outcome, _ := store.Apply(1, readFormat1File(t, "entry2")); outcome.Code != CodeRepeated {
		t.Errorf("entry 2, which is remembered: got %+v, want code %s", outcome, CodeRepeated)
	}
	if outcome := applyCommand(store, updateCommand(base, fmt.Sprintf(`{"generation":%d}`, base+2))); outcome.Code != CodeBaseNotCurrent {
		t.Errorf("new command on base %d, above the forgotten ones: got %+v, want code %s", base, outcome, CodeBaseNotCurrent)
	}
}
