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

// Requests of the core that arrive during a write are merged into one write, in which later entries replace earlier
// ones from their index on.
func TestPersist_merge(t *testing.T) {
	var p Persist
	if !p.Empty() {
		t.Error("Empty of the zero Persist: got false, want true")
	}
	p.merge(nil)
	shared := entries(1, 2, 3, 4, 5)
	p.merge(&consensus.PersistRequest{Sequence: 1, Entries: shared[:3:3], HardState: &consensus.HardState{Term: 1}})
	p.merge(&consensus.PersistRequest{Sequence: 2, Entries: entries(2, 4), HardState: &consensus.HardState{Term: 2}})
	if want := append(entries(1, 2, 3), entries(2, 4)...); !reflect.DeepEqual(p.Entries, want) || p.HardState.Term != 2 || p.sequence != 2 {
		t.Errorf("two merged requests: got %+v, want entries %+v, term 2 and sequence 2", p, want)
	}
	if !reflect.DeepEqual(shared, entries(1, 2, 3, 4, 5)) {
		t.Errorf("merge changed the core's entries to %v", shared)
	}
	p.addSnapshot(consensus.Snapshot{Index: 3, Term: 1}, 2)
	if p.Snapshot.Index != 3 || p.FirstIndex != 2 || p.ReplacesEntries || !p.ownSnapshot || len(p.Entries) != 3 {
		t.Errorf("after adding this voter's snapshot at 3: got %+v, want first entry 2, 3 entries, no replacement", p)
	}
	p.merge(&consensus.PersistRequest{Sequence: 3, Snapshot: &consensus.Snapshot{Index: 9, Term: 3}, Entries: entries(3, 10)})
	if p.Snapshot.Index != 9 || p.FirstIndex != 10 || !p.ReplacesEntries || !reflect.DeepEqual(p.Entries, entries(3, 10)) || p.HardState.Term != 2 {
		t.Errorf("after merging a received snapshot at 9: got %+v, want all stored entries replaced by entry 10, term 2", p)
	}
	p.addSnapshot(consensus.Snapshot{Index: 10, Term: 3}, 9)
	if p.Snapshot.Index != 10 || p.FirstIndex != 9 || !p.ReplacesEntries || len(p.Entries) != 1 {
		t.Errorf("after adding this voter's snapshot at 10: got %+v, want first entry 9, 1 entry, stored entries replaced", p)
	}
}

// DecodeMessage rejects messages whose entries are not consecutive, because the consensus core requires that they are,
// and encodings that it does not know.
func TestDecodeMessage_rejectsInvalid(t *testing.T) {
	encodeAppend := func(e []consensus.Entry) []byte {
		return EncodeMessage(Message{Message: consensus.Message{Kind: consensus.MessageAppendEntries, From: 1, To: 2, Term: 4, LogIndex: 7, LogTerm: 2, Entries: e}})
	}
	if _, err := DecodeMessage(encodeAppend(append(entries(2, 8), entries(4, 9)...))); err != nil {
		t.Errorf("message with consecutive entries: got error %v, want none", err)
	}
	unknownKind := entries(3, 8)
	unknownKind[0].Kind = consensus.EntryMembership + 1
	for name, data := range map[string][]byte{
		"a gap":                      encodeAppend(entries(3, 9)),
		"a repeated entry":           encodeAppend(entries(3, 8, 8)),
		"a decreasing term":          encodeAppend(append(entries(3, 8), entries(2, 9)...)),
		"a term after the message's": encodeAppend(entries(5, 8)),
		"an unknown entry kind":      encodeAppend(unknownKind),
		"an unknown message kind":    EncodeMessage(Message{Message: consensus.Message{Kind: consensus.MessageTimeoutNow + 1}}),
		"trailing bytes":             append(encodeAppend(nil), 0),
		"no bytes":                   nil,
	} {
		if _, err := DecodeMessage(data); !errors.Is(err, ErrEncoding) {
			t.Errorf("message with %s: got error %v, want %v", name, err, ErrEncoding)
		}
	}
}
