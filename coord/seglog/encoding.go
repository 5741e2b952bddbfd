package seglog

import (
	"errors"
	"sync"

	"github.com/hamba/avro/v2"

	"ospreybend/coord/consensus"
)

// errRecordTooLong means that an entry or a snapshot exceeds maxRecordBytes.
var errRecordTooLong = errors.New("seglog: the entry or snapshot is too long")

// The stored types mirror the Avro schemas below. Avro has only signed integers, so uint64 values are stored as int64
// values with the same bits.

type storedMember struct {
	ID      int64  `avro:"id"`
	Address string `avro:"address"`
	Voter   bool   `avro:"voter"`
}

type storedEntry struct {
	Term    int64          `avro:"term"`
	Index   int64          `avro:"index"`
	Kind    int            `avro:"kind"`
	Data    []byte         `avro:"data"`
	Members []storedMember `avro:"members"`
}

type storedHardState struct {
	Term   int64 `avro:"term"`
	Vote   int64 `avro:"vote"`
	Commit int64 `avro:"commit"`
}

type storedSnapshot struct {
	Index        int64           `avro:"index"`
	Term         int64           `avro:"term"`
	Members      []storedMember  `avro:"members"`
	Data         []byte          `avro:"data"`
	HardState    storedHardState `avro:"hardState"`
	FirstSegment int64           `avro:"firstSegment"`
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

// Schemas and codec are built on first use, so that processes without a log do not pay for them at startup.
var (
	entrySchema     = lazySchema(entrySchemaText)
	hardStateSchema = lazySchema(hardStateSchemaText)
	snapshotSchema  = lazySchema(snapshotSchemaText)
	codec           = sync.OnceValue(func() avro.API { return avro.Config{MaxByteSliceSize: maxRecordBytes}.Freeze() })
)

// lazySchema returns a function that parses the schema on its first call.
func lazySchema(text string) func() avro.Schema {
	return sync.OnceValue(func() avro.Schema { return parseSchema(text) })
}

// parseSchema parses a schema with a separate cache, so that several schemas may define a record of the same name.
func parseSchema(text string) avro.Schema {
	schema, err := avro.ParseWithCache(text, "", &avro.SchemaCache{})
	if err != nil {
		panic(err) // a schema constant in this file is invalid
	}
	return schema
}

// encodeEntry encodes the body of an entry record.
func encodeEntry(entry *consensus.Entry) ([]byte, error) {
	return codec().Marshal(entrySchema(), storedEntry{
		Term:    int64(entry.Term),
		Index:   int64(entry.Index),
		Kind:    int(entry.Kind),
		Data:    entry.Data,
		Members: toStoredMembers(entry.Members),
	})
}

// decodeEntry decodes the body of an entry record.
func decodeEntry(body []byte) (consensus.Entry, error) {
	var stored storedEntry
	if err := codec().Unmarshal(entrySchema(), body, &stored); err != nil {
		return consensus.Entry{}, err
	}
	return consensus.Entry{
		Term:    uint64(stored.Term),
		Index:   uint64(stored.Index),
		Kind:    consensus.EntryKind(stored.Kind),
		Data:    stored.Data,
		Members: fromStoredMembers(stored.Members),
	}, nil
}

// encodeHardState encodes the body of a hard state record.
func encodeHardState(state consensus.HardState) ([]byte, error) {
	return codec().Marshal(hardStateSchema(), toStoredHardState(state))
}

// decodeHardState decodes the body of a hard state record.
func decodeHardState(body []byte) (consensus.HardState, error) {
	var stored storedHardState
	err := codec().Unmarshal(hardStateSchema(), body, &stored)
	return fromStoredHardState(stored), err
}

func toStoredHardState(state consensus.HardState) storedHardState {
	return storedHardState{Term: int64(state.Term), Vote: int64(state.Vote), Commit: int64(state.Commit)}
}

func fromStoredHardState(stored storedHardState) consensus.HardState {
	return consensus.HardState{Term: uint64(stored.Term), Vote: consensus.MemberID(stored.Vote), Commit: uint64(stored.Commit)}
}

// toStoredMembers converts members to their stored form. A retired ID is stored as a learner without an address; actual
// members always have an address. Program versions that predate retired IDs treat it as an unreachable member and remove it
// after a while.
func toStoredMembers(members []consensus.Member) []storedMember {
	stored := make([]storedMember, len(members))
	for i, member := range members {
		if member.Retired {
			stored[i] = storedMember{ID: int64(member.ID)}
			continue
		}
		stored[i] = storedMember{ID: int64(member.ID), Address: member.Address, Voter: member.Voter}
	}
	return stored
}

// fromStoredMembers converts members from their stored form. It returns nil for an empty list.
func fromStoredMembers(stored []storedMember) []consensus.Member {
	if len(stored) == 0 {
		return nil
	}
	members := make([]consensus.Member, len(stored))
	for i, member := range stored {
		members[i] = consensus.Member{
			ID: consensus.MemberID(member.ID), Address: member.Address, Voter: member.Voter,
			Retired: member.Address == "" && !member.Voter,
		}
	}
	return members
}
