package replicatedlog

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"ospreybend/coord/consensus"
)

// ErrEncoding says that bytes are no message, entry, snapshot or hard state.
var ErrEncoding = errors.New("agreed: the bytes cannot be read")

// The forms below are what voters send and store. A change of a stored one changes form in package keep.

type memberForm struct {
	ID      consensus.MemberID `cbor:"1,keyasint"`
	Address string             `cbor:"2,keyasint,omitempty"`
	Voter   bool               `cbor:"3,keyasint,omitempty"`
}

type entryForm struct {
	Term    uint64              `cbor:"1,keyasint"`
	Index   uint64              `cbor:"2,keyasint"`
	Kind    consensus.EntryKind `cbor:"3,keyasint,omitempty"`
	Data    []byte              `cbor:"4,keyasint,omitempty"`
	Members []memberForm        `cbor:"5,keyasint,omitempty"`
}

type snapshotForm struct {
	Index   uint64       `cbor:"1,keyasint"`
	Term    uint64       `cbor:"2,keyasint"`
	Members []memberForm `cbor:"3,keyasint,omitempty"`
	Data    []byte       `cbor:"4,keyasint,omitempty"`
}

type hardStateForm struct {
	Term   uint64             `cbor:"1,keyasint"`
	Vote   consensus.MemberID `cbor:"2,keyasint"`
	Commit uint64             `cbor:"3,keyasint"`
}

type messageForm struct {
	Kind      consensus.MessageKind `cbor:"1,keyasint"`
	From      consensus.MemberID    `cbor:"2,keyasint"`
	To        consensus.MemberID    `cbor:"3,keyasint"`
	Term      uint64                `cbor:"4,keyasint"`
	LogIndex  uint64                `cbor:"5,keyasint,omitempty"`
	LogTerm   uint64                `cbor:"6,keyasint,omitempty"`
	Commit    uint64                `cbor:"7,keyasint,omitempty"`
	Entries   []entryForm           `cbor:"8,keyasint,omitempty"`
	Snapshot  *snapshotForm         `cbor:"9,keyasint,omitempty"`
	Reject    bool                  `cbor:"10,keyasint,omitempty"`
	HintIndex uint64                `cbor:"11,keyasint,omitempty"`
	HintTerm  uint64                `cbor:"12,keyasint,omitempty"`
	Context   uint64                `cbor:"13,keyasint,omitempty"`
	Forced    bool                  `cbor:"14,keyasint,omitempty"`
	Held      uint64                `cbor:"15,keyasint,omitempty"`
}

// Bounds of what is decoded.
const (
	maxNested   = 16
	maxElements = 1 << 16
)

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: maxNested, MaxArrayElements: maxElements,
		MaxMapPairs: maxElements, IndefLength: cbor.IndefLengthForbidden}.DecMode())
)

func must[T any](value T, err error) T {
	if err != nil {
		panic(err) // the options are constants
	}
	return value
}

func encode(form any) []byte { return must(encoder.Marshal(form)) } // forms are plain values

func decode(text []byte, form any) error {
	if err := decoder.Unmarshal(text, form); err != nil {
		return fmt.Errorf("%w: %w", ErrEncoding, err)
	}
	return nil
}

// convert converts each of some values.
func convert[From, To any](values []From, one func(From) To) []To {
	if values == nil {
		return nil
	}
	out := make([]To, len(values))
	for at, value := range values {
		out[at] = one(value)
	}
	return out
}

// memberTo leaves out the mark of a retired ID: this log never retires one.
func memberTo(m consensus.Member) memberForm {
	return memberForm{ID: m.ID, Address: m.Address, Voter: m.Voter}
}

func memberFrom(m memberForm) consensus.Member {
	return consensus.Member{ID: m.ID, Address: m.Address, Voter: m.Voter}
}

func entryTo(e consensus.Entry) entryForm {
	return entryForm{Term: e.Term, Index: e.Index, Kind: e.Kind, Data: e.Data, Members: convert(e.Members, memberTo)}
}

func entryFrom(e entryForm) consensus.Entry {
	return consensus.Entry{Term: e.Term, Index: e.Index, Kind: e.Kind, Data: e.Data, Members: convert(e.Members, memberFrom)}
}

func snapshotTo(s consensus.Snapshot) snapshotForm {
	return snapshotForm{Index: s.Index, Term: s.Term, Members: convert(s.Members, memberTo), Data: s.Data}
}

func snapshotFrom(s snapshotForm) consensus.Snapshot {
	return consensus.Snapshot{Index: s.Index, Term: s.Term, Members: convert(s.Members, memberFrom), Data: s.Data}
}

// EncodeHardState returns a hard state's bytes.
func EncodeHardState(h consensus.HardState) []byte { return encode(hardStateForm(h)) }

// DecodeHardState reads them.
func DecodeHardState(text []byte) (consensus.HardState, error) {
	var form hardStateForm
	err := decode(text, &form)
	return consensus.HardState(form), err
}

// EncodeEntry returns an entry's bytes.
func EncodeEntry(e consensus.Entry) []byte { return encode(entryTo(e)) }

// DecodeEntry reads them.
func DecodeEntry(text []byte) (consensus.Entry, error) {
	var form entryForm
	err := decode(text, &form)
	return entryFrom(form), err
}

// EncodeSnapshot returns a snapshot's bytes.
func EncodeSnapshot(s consensus.Snapshot) []byte { return encode(snapshotTo(s)) }

// DecodeSnapshot reads them.
func DecodeSnapshot(text []byte) (consensus.Snapshot, error) {
	var form snapshotForm
	err := decode(text, &form)
	return snapshotFrom(form), err
}

// EncodeMessage returns a message's bytes.
func EncodeMessage(m Message) []byte {
	form := messageForm{Kind: m.Kind, From: m.From, To: m.To, Term: m.Term, LogIndex: m.LogIndex, LogTerm: m.LogTerm, Commit: m.Commit,
		Entries: convert(m.Entries, entryTo), Reject: m.Reject, HintIndex: m.HintIndex, HintTerm: m.HintTerm, Context: m.HeartbeatRound,
		Forced: m.LeadershipTransfer, Held: m.Held}
	if m.Snapshot != nil {
		snapshot := snapshotTo(*m.Snapshot)
		form.Snapshot = &snapshot
	}
	return encode(form)
}

// DecodeMessage reads them, and checks that entries follow each other as the core expects it.
func DecodeMessage(text []byte) (Message, error) {
	var form messageForm
	if err := decode(text, &form); err != nil {
		return Message{}, err
	}
	m := Message{Held: form.Held, Message: consensus.Message{Kind: form.Kind, From: form.From, To: form.To, Term: form.Term,
		LogIndex: form.LogIndex, LogTerm: form.LogTerm, Commit: form.Commit, Entries: convert(form.Entries, entryFrom), Reject: form.Reject,
		HintIndex: form.HintIndex, HintTerm: form.HintTerm, HeartbeatRound: form.Context, LeadershipTransfer: form.Forced}}
	if form.Snapshot != nil {
		snapshot := snapshotFrom(*form.Snapshot)
		m.Snapshot = &snapshot
	}
	return m, m.check()
}

func (m *Message) check() error {
	if m.Kind > consensus.MessageTimeoutNow {
		return fmt.Errorf("%w: a message of kind %d", ErrEncoding, m.Kind)
	}
	index, term := m.LogIndex, m.LogTerm
	for _, entry := range m.Entries {
		if entry.Index != index+1 || entry.Term < term || entry.Term > m.Term || entry.Kind > consensus.EntryMembership {
			return fmt.Errorf("%w: entry %d of term %d and kind %d after entry %d of term %d", ErrEncoding, entry.Index, entry.Term, entry.Kind,
				index, term)
		}
		index, term = entry.Index, entry.Term
	}
	return nil
}
