package seglog

import (
	"errors"
	"sync"

	"github.com/hamba/avro/v2"

	"ospreybend/coord/consensus"
)

var errTooLong = errors.New("seglog: a record is too long")

// Avro has signed numbers only; 64-bit values are stored with the same bits.

type wireMember struct {
	ID      int64  `avro:"id"`
	Address string `avro:"address"`
	Voter   bool   `avro:"voter"`
}

type wireEntry struct {
	Term    int64        `avro:"term"`
	Index   int64        `avro:"index"`
	Kind    int          `avro:"kind"`
	Data    []byte       `avro:"data"`
	Members []wireMember `avro:"members"`
}

type wireHardState struct {
	Term   int64 `avro:"term"`
	Vote   int64 `avro:"vote"`
	Commit int64 `avro:"commit"`
}

type wireSnapshot struct {
	Index        int64         `avro:"index"`
	Term         int64         `avro:"term"`
	Members      []wireMember  `avro:"members"`
	Data         []byte        `avro:"data"`
	HardState    wireHardState `avro:"hardState"`
	FirstSegment int64         `avro:"firstSegment"`
}

const (
	memberSchemaText = `{"type":"record","name":"Member","fields":[
		{"name":"id","type":"long"},{"name":"address","type":"string"},{"name":"voter","type":"boolean"}]}`
	hardStateSchemaText = `{"type":"record","name":"HardState","fields":[
		{"name":"term","type":"long"},{"name":"vote","type":"long"},{"name":"commit","type":"long"}]}`
	entrySchemaText = `{"type":"record","name":"Entry","fields":[
		{"name":"term","type":"long"},{"name":"index","type":"long"},{"name":"kind","type":"int"},
		{"name":"data","type":"bytes"},{"name":"members","type":{"type":"array","items":` + memberSchemaText + `}}]}`
	snapshotSchemaText = `{"type":"record","name":"Snapshot","fields":[
		{"name":"index","type":"long"},{"name":"term","type":"long"},
		{"name":"members","type":{"type":"array","items":` + memberSchemaText + `}},
		{"name":"data","type":"bytes"},{"name":"hardState","type":` + hardStateSchemaText + `},
		{"name":"firstSegment","type":"long"}]}`
)

// Schemas and codec are made at their first use, so that programs without a log do not pay for it.
var (
	entrySchema     = schemaOf(entrySchemaText)
	hardStateSchema = schemaOf(hardStateSchemaText)
	snapshotSchema  = schemaOf(snapshotSchemaText)
	codec           = sync.OnceValue(func() avro.API { return avro.Config{MaxByteSliceSize: maxRecord}.Freeze() })
)

func schemaOf(text string) func() avro.Schema {
	return sync.OnceValue(func() avro.Schema { return parseSchema(text) })
}

// parseSchema keeps each schema apart, so that names may repeat between them.
func parseSchema(text string) avro.Schema {
	schema, err := avro.ParseWithCache(text, "", &avro.SchemaCache{})
	if err != nil {
		panic(err) // a constant of this file is wrong
	}
	return schema
}

func encodeEntry(entry *consensus.Entry) ([]byte, error) {
	return codec().Marshal(entrySchema(), wireEntry{
		Term:    int64(entry.Term),
		Index:   int64(entry.Index),
		Kind:    int(entry.Kind),
		Data:    entry.Data,
		Members: membersToWire(entry.Members),
	})
}

func decodeEntry(body []byte) (consensus.Entry, error) {
	var wire wireEntry
	if err := codec().Unmarshal(entrySchema(), body, &wire); err != nil {
		return consensus.Entry{}, err
	}
	return consensus.Entry{
		Term:    uint64(wire.Term),
		Index:   uint64(wire.Index),
		Kind:    consensus.EntryKind(wire.Kind),
		Data:    wire.Data,
		Members: membersFromWire(wire.Members),
	}, nil
}

func encodeHardState(state consensus.HardState) ([]byte, error) {
	return codec().Marshal(hardStateSchema(), hardStateToWire(state))
}

func decodeHardState(body []byte) (consensus.HardState, error) {
	var wire wireHardState
	err := codec().Unmarshal(hardStateSchema(), body, &wire)
	return hardStateFromWire(wire), err
}

func hardStateToWire(state consensus.HardState) wireHardState {
	return wireHardState{Term: int64(state.Term), Vote: int64(state.Vote), Commit: int64(state.Commit)}
}

func hardStateFromWire(wire wireHardState) consensus.HardState {
	return consensus.HardState{Term: uint64(wire.Term), Vote: consensus.MemberID(wire.Vote), Commit: uint64(wire.Commit)}
}

// membersToWire writes the mark of a retired ID as a learner without an address, which no member is. Readers older than
// these marks take it for one that is never reached, and remove it after some time.
func membersToWire(members []consensus.Member) []wireMember {
	wire := make([]wireMember, len(members))
	for i, member := range members {
		if member.Retired {
			wire[i] = wireMember{ID: int64(member.ID)}
			continue
		}
		wire[i] = wireMember{ID: int64(member.ID), Address: member.Address, Voter: member.Voter}
	}
	return wire
}

// membersFromWire returns nil for none.
func membersFromWire(wire []wireMember) []consensus.Member {
	if len(wire) == 0 {
		return nil
	}
	members := make([]consensus.Member, len(wire))
	for i, member := range wire {
		members[i] = consensus.Member{
			ID: consensus.MemberID(member.ID), Address: member.Address, Voter: member.Voter,
			Retired: member.Address == "" && !member.Voter,
		}
	}
	return members
}
