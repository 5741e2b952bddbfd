package configuration

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// firstFormat is what a store that wrote the first format has left: four entries that it accepted, one after the other,
// and its snapshot and document after them.
const firstFormat = "testdata/format1"

// firstEntries is how many entries it has left.
const firstEntries = 4

func readFirst(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(firstFormat, name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// What was accepted once is accepted whenever a log is replayed, by any later check, and is never refused beforehand:
// checks may become stricter only for commands of a new format.
func TestWhatWasAcceptedStaysAccepted(t *testing.T) {
	replayed := NewStore()
	for number := 1; number <= firstEntries; number++ {
		entry := readFirst(t, fmt.Sprintf("entry%d", number))
		command, err := DecodeCommand(entry)
		if err != nil {
			t.Fatal(err)
		}
		if refusal := CheckStatic(command); refusal != nil {
			t.Errorf("entry %d: %v", number, refusal)
		}
		if outcome, _ := replayed.Apply(uint64(number), entry); outcome.Code != Accepted {
			t.Errorf("entry %d: %+v", number, outcome)
		}
	}
	if !bytes.Equal(replayed.Document(), readFirst(t, "document.json")) {
		t.Errorf("%s", replayed.Document())
	}
}

func TestSnapshotOfTheFirstFormatIsRead(t *testing.T) {
	store := NewStore()
	if err := store.Restore(readFirst(t, "snapshot")); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(store.Document(), readFirst(t, "document.json")) {
		t.Errorf("%s", store.Document())
	}
	for number := 1; number <= firstEntries; number++ {
		if outcome, _ := store.Apply(uint64(number), readFirst(t, fmt.Sprintf("entry%d", number))); outcome.Code != Repeated {
			t.Errorf("entry %d: %+v", number, outcome)
		}
	}
	if outcome := applied(store, replaceCommand(0, exampleWhole(7)+" ")); outcome.Code != BaseNotCurrent {
		t.Errorf("nothing is forgotten yet: %+v", outcome)
	}
}

// The first format holds no bases, so once something of it is forgotten, nothing that old is told for sure.
func TestForgettingOfTheFirstFormatIsCautious(t *testing.T) {
	store := NewStore()
	store.kept = firstEntries
	if err := store.Restore(readFirst(t, "snapshot")); err != nil {
		t.Fatal(err)
	}
	base := store.Generation()
	mustAccept(t, store, updateCommand(base, fmt.Sprintf(`{"generation":%d}`, base+1)))
	if outcome, _ := store.Apply(1, readFirst(t, "entry1")); outcome.Code != BaseForgotten {
		t.Errorf("%+v", outcome)
	}
	if outcome, _ := store.Apply(1, readFirst(t, "entry2")); outcome.Code != Repeated {
		t.Errorf("%+v", outcome)
	}
	if outcome := applied(store, updateCommand(base, fmt.Sprintf(`{"generation":%d}`, base+2))); outcome.Code != BaseNotCurrent {
		t.Errorf("%+v", outcome)
	}
}
