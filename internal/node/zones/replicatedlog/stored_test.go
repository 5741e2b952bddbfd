package replicatedlog

import (
	"errors"
	"reflect"
	"testing"

	"ospreybend/coord/consensus"
)

func entries(term uint64, indexes ...uint64) (out []consensus.Entry) {
	for _, index := range indexes {
		out = append(out, consensus.Entry{Term: term, Index: index})
	}
	return out
}

// What the core returns during a write becomes one write, in which later entries replace those that they truncate.
func TestPersist_merge(t *testing.T) {
	var p Persist
	if !p.Empty() {
		t.Error("an empty Persist is not empty")
	}
	p.merge(nil)
	shared := entries(1, 2, 3, 4, 5)
	p.merge(&consensus.PersistRequest{Sequence: 1, Entries: shared[:3:3], HardState: &consensus.HardState{Term: 1}})
	p.merge(&consensus.PersistRequest{Sequence: 2, Entries: entries(2, 4), HardState: &consensus.HardState{Term: 2}})
	if want := append(entries(1, 2, 3), entries(2, 4)...); !reflect.DeepEqual(p.Entries, want) || p.HardState.Term != 2 || p.sequence != 2 {
		t.Errorf("%+v", p)
	}
	if !reflect.DeepEqual(shared, entries(1, 2, 3, 4, 5)) {
		t.Errorf("the core's entries changed: %v", shared)
	}
	p.addSnapshot(consensus.Snapshot{Index: 3, Term: 1}, 2)
	if p.Snapshot.Index != 3 || p.First != 2 || p.Replaces || !p.ownSnapshot || len(p.Entries) != 3 {
		t.Errorf("with an own snapshot: %+v", p)
	}
	p.merge(&consensus.PersistRequest{Sequence: 3, Snapshot: &consensus.Snapshot{Index: 9, Term: 3}, Entries: entries(3, 10)})
	if p.Snapshot.Index != 9 || p.First != 10 || !p.Replaces || !reflect.DeepEqual(p.Entries, entries(3, 10)) || p.HardState.Term != 2 {
		t.Errorf("with a received snapshot: %+v", p)
	}
	p.addSnapshot(consensus.Snapshot{Index: 10, Term: 3}, 9)
	if p.Snapshot.Index != 10 || p.First != 9 || !p.Replaces || len(p.Entries) != 1 {
		t.Errorf("with an own one after it: %+v", p)
	}
}

// Messages whose entries are not consecutive are rejected, as the core relies on it.
func TestDecodeMessage_rejectsInvalid(t *testing.T) {
	of := func(e []consensus.Entry) []byte {
		return EncodeMessage(Message{Message: consensus.Message{Kind: consensus.MessageAppendEntries, From: 1, To: 2, Term: 4, LogIndex: 7, LogTerm: 2, Entries: e}})
	}
	if _, err := DecodeMessage(of(append(entries(2, 8), entries(4, 9)...))); err != nil {
		t.Errorf("entries in order: %v", err)
	}
	strange := entries(3, 8)
	strange[0].Kind = consensus.EntryMembership + 1
	for name, data := range map[string][]byte{
		"a gap":              of(entries(3, 9)),
		"an entry twice":     of(entries(3, 8, 8)),
		"a falling term":     of(append(entries(3, 8), entries(2, 9)...)),
		"a term yet to come": of(entries(5, 8)),
		"an unknown entry":   of(strange),
		"an unknown message": EncodeMessage(Message{Message: consensus.Message{Kind: consensus.MessageTimeoutNow + 1}}),
		"bytes behind it":    append(of(nil), 0),
		"nothing":            nil,
	} {
		if _, err := DecodeMessage(data); !errors.Is(err, ErrEncoding) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
