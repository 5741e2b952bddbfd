package replicatedlog

import (
	"fmt"
	"testing"

	"ospreybend/coord/consensus"
	"ospreybend/internal/testkit/golden"
)

// compatibilityMessage returns a message with every field set. The program never sets some of them together, but the
// encoding can hold them all.
func compatibilityMessage(kind consensus.MessageKind) Message {
	members := []consensus.Member{{ID: 1, Address: "192.0.2.1:7200", Voter: true}, {ID: 1 << 63}}
	message := Message{Acknowledged: 39, Message: consensus.Message{
		Kind: kind, From: 1, To: 1 << 63, Term: 7, LogIndex: 40, LogTerm: 6, Commit: 39, Reject: true,
		HintIndex: 38, HintTerm: 5, HeartbeatRound: 99, LeadershipTransfer: true,
	}}
	switch kind {
	case consensus.MessageAppendEntries:
		message.Entries = []consensus.Entry{
			{Term: 6, Index: 41, Kind: consensus.EntryNoop},
			{Term: 7, Index: 42, Kind: consensus.EntryCommand, Data: []byte("order")},
			{Term: 7, Index: 43, Kind: consensus.EntryMembership, Members: members},
		}
	case consensus.MessageInstallSnapshot:
		message.Snapshot = &consensus.Snapshot{Index: 40, Term: 6, Data: []byte("state"), Members: members}
	}
	return message
}

// recordRow returns the row for one encoded value.
func recordRow[T any](name string, value T, encode func(T) []byte, decode func([]byte) (T, error)) golden.Row {
	return golden.Row{
		Name: name, Value: value,
		Encode: func() ([]byte, error) { return encode(value), nil },
		Decode: func(encoded []byte) (any, error) { return decode(encoded) },
	}
}

// compatibilityRows returns one row per message kind, named by its number, and one per kind of stored record.
func compatibilityRows() []golden.Row {
	append1 := compatibilityMessage(consensus.MessageAppendEntries)
	rows := []golden.Row{
		recordRow("hard-state", consensus.HardState{Term: 9, Vote: 1 << 63, Commit: 44}, EncodeHardState, DecodeHardState),
		recordRow("snapshot", *compatibilityMessage(consensus.MessageInstallSnapshot).Snapshot, EncodeSnapshot, DecodeSnapshot),
		recordRow("entry-noop", append1.Entries[0], EncodeEntry, DecodeEntry),
		recordRow("entry-command", append1.Entries[1], EncodeEntry, DecodeEntry),
		recordRow("entry-members", append1.Entries[2], EncodeEntry, DecodeEntry),
	}
	for kind := consensus.MessagePreVote; kind <= consensus.MessageTimeoutNow; kind++ {
		rows = append(rows, recordRow(fmt.Sprintf("message-%d", kind), compatibilityMessage(kind), EncodeMessage, DecodeMessage))
	}
	return rows
}

func TestRecords_asVersion8782861(t *testing.T) { golden.Check(t, compatibilityRows()) }
