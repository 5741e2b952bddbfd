package replicatedlog

import (
	"errors"
	"fmt"

	"ospreybend/coord/consensus"
	"ospreybend/internal/node/zones/encoding"
)

// ErrEncoding is returned for bytes that are not a valid message, entry, snapshot or hard state.
var ErrEncoding = errors.New("replicated log: the bytes cannot be read")

// The records below define the CBOR encoding of what voters send and store. A change to a stored record needs a new
// formatVersion in package store.

type memberRecord struct {
	ID      consensus.MemberID `cbor:"1,keyasint"`
	Address string             `cbor:"2,keyasint,omitempty"`
	Voter   bool               `cbor:"3,keyasint,omitempty"`
}

type entryRecord struct {
	Term    uint64              `cbor:"1,keyasint"`
	Index   uint64              `cbor:"2,keyasint"`
	Kind    consensus.EntryKind `cbor:"3,keyasint,omitempty"`
	Data    []byte              `cbor:"4,keyasint,omitempty"`
	Members []memberRecord      `cbor:"5,keyasint,omitempty"`
}

type snapshotRecord struct {
	Index   uint64         `cbor:"1,keyasint"`
	Term    uint64         `cbor:"2,keyasint"`
	Members []memberRecord `cbor:"3,keyasint,omitempty"`
	Data    []byte         `cbor:"4,keyasint,omitempty"`
}

type hardStateRecord struct {
	Term   uint64             `cbor:"1,keyasint"`
	Vote   consensus.MemberID `cbor:"2,keyasint"`
	Commit uint64             `cbor:"3,keyasint"`
}

type messageRecord struct {
	Kind         consensus.MessageKind `cbor:"1,keyasint"`
	From         consensus.MemberID    `cbor:"2,keyasint"`
	To           consensus.MemberID    `cbor:"3,keyasint"`
	Term         uint64                `cbor:"4,keyasint"`
	LogIndex     uint64                `cbor:"5,keyasint,omitempty"`
	LogTerm      uint64                `cbor:"6,keyasint,omitempty"`
	Commit       uint64                `cbor:"7,keyasint,omitempty"`
	Entries      []entryRecord         `cbor:"8,keyasint,omitempty"`
	Snapshot     *snapshotRecord       `cbor:"9,keyasint,omitempty"`
	Reject       bool                  `cbor:"10,keyasint,omitempty"`
	HintIndex    uint64                `cbor:"11,keyasint,omitempty"`
	HintTerm     uint64                `cbor:"12,keyasint,omitempty"`
	Context      uint64                `cbor:"13,keyasint,omitempty"`
	Forced       bool                  `cbor:"14,keyasint,omitempty"`
	Acknowledged uint64                `cbor:"15,keyasint,omitempty"`
}

// encode panics on an error, which cannot occur: records are plain values, which can always be encoded.
func encode(record any) []byte {
	data, err := encoding.Marshal(record)
	if err != nil {
		panic(err)
	}
	return data
}

func decode(data []byte, record any) error {
	if err := encoding.Unmarshal(data, record); err != nil {
		return fmt.Errorf("%w: %w", ErrEncoding, err)
	}
	return nil
}

// convertAll converts each value; nil stays nil.
func convertAll[From, To any](values []From, convert func(From) To) []To {
	if values == nil {
		return nil
	}
	out := make([]To, len(values))
	for i, value := range values {
		out[i] = convert(value)
	}
	return out
}

// toMemberRecord omits the consensus core's flag for a retired ID: this log never retires IDs.
func toMemberRecord(m consensus.Member) memberRecord {
	return memberRecord{ID: m.ID, Address: m.Address, Voter: m.Voter}
}

func fromMemberRecord(m memberRecord) consensus.Member {
	return consensus.Member{ID: m.ID, Address: m.Address, Voter: m.Voter}
}

func toEntryRecord(e consensus.Entry) entryRecord {
	return entryRecord{Term: e.Term, Index: e.Index, Kind: e.Kind, Data: e.Data, Members: convertAll(e.Members, toMemberRecord)}
}

func fromEntryRecord(e entryRecord) consensus.Entry {
	return consensus.Entry{Term: e.Term, Index: e.Index, Kind: e.Kind, Data: e.Data, Members: convertAll(e.Members, fromMemberRecord)}
}

func toSnapshotRecord(s consensus.Snapshot) snapshotRecord {
	return snapshotRecord{Index: s.Index, Term: s.Term, Members: convertAll(s.Members, toMemberRecord), Data: s.Data}
}

func fromSnapshotRecord(s snapshotRecord) consensus.Snapshot {
	return consensus.Snapshot{Index: s.Index, Term: s.Term, Members: convertAll(s.Members, fromMemberRecord), Data: s.Data}
}

// EncodeHardState encodes a hard state.
func EncodeHardState(h consensus.HardState) []byte { return encode(hardStateRecord(h)) }

// DecodeHardState decodes what EncodeHardState returned.
func DecodeHardState(data []byte) (consensus.HardState, error) {
	var record hardStateRecord
	err := decode(data, &record)
	return consensus.HardState(record), err
}

// EncodeEntry encodes an entry.
func EncodeEntry(e consensus.Entry) []byte { return encode(toEntryRecord(e)) }

// DecodeEntry decodes what EncodeEntry returned.
func DecodeEntry(data []byte) (consensus.Entry, error) {
	var record entryRecord
	err := decode(data, &record)
	return fromEntryRecord(record), err
}

// EncodeSnapshot encodes a snapshot.
func EncodeSnapshot(s consensus.Snapshot) []byte { return encode(toSnapshotRecord(s)) }

// DecodeSnapshot decodes what EncodeSnapshot returned.
func DecodeSnapshot(data []byte) (consensus.Snapshot, error) {
	var record snapshotRecord
	err := decode(data, &record)
	return fromSnapshotRecord(record), err
}

// EncodeMessage encodes a message.
func EncodeMessage(m Message) []byte {
	record := messageRecord{Kind: m.Kind, From: m.From, To: m.To, Term: m.Term, LogIndex: m.LogIndex, LogTerm: m.LogTerm, Commit: m.Commit,
		Entries: convertAll(m.Entries, toEntryRecord), Reject: m.Reject, HintIndex: m.HintIndex, HintTerm: m.HintTerm, Context: m.HeartbeatRound,
		Forced: m.LeadershipTransfer, Acknowledged: m.Acknowledged}
	if m.Snapshot != nil {
		snapshot := toSnapshotRecord(*m.Snapshot)
		record.Snapshot = &snapshot
	}
	return encode(record)
}

// DecodeMessage decodes a message and checks that its entries are consecutive, which the consensus core requires.
func DecodeMessage(data []byte) (Message, error) {
	var record messageRecord
	if err := decode(data, &record); err != nil {
		return Message{}, err
	}
	m := Message{Acknowledged: record.Acknowledged, Message: consensus.Message{Kind: record.Kind, From: record.From, To: record.To, Term: record.Term,
		LogIndex: record.LogIndex, LogTerm: record.LogTerm, Commit: record.Commit, Entries: convertAll(record.Entries, fromEntryRecord), Reject: record.Reject,
		HintIndex: record.HintIndex, HintTerm: record.HintTerm, HeartbeatRound: record.Context, LeadershipTransfer: record.Forced}}
	if record.Snapshot != nil {
		snapshot := fromSnapshotRecord(*record.Snapshot)
		m.Snapshot = &snapshot
	}
	return m, m.check()
}

func (m *Message) check() error {
	if m.Kind > consensus.MessageTimeoutNow {
		return fmt.Errorf("%w: unknown message kind %d", ErrEncoding, m.Kind)
	}
	index, term := m.LogIndex, m.LogTerm
	for _, entry := range m.Entries {
		if entry.Index != index+1 || entry.Term < term || entry.Term > m.Term || entry.Kind > consensus.EntryMembership {
			return fmt.Errorf("%w: entry %d of term %d and kind %d cannot follow entry %d of term %d", ErrEncoding, entry.Index, entry.Term, entry.Kind,
				index, term)
		}
		index, term = entry.Index, entry.Term
	}
	return nil
}
