package registry

import (
	"errors"
	"fmt"

	"github.com/hamba/avro/v2"

	"ospreybend/internal/util/strictavro"
)

// ErrSnapshot is wrapped by the errors of Restore for bytes that it cannot decode.
var ErrSnapshot = errors.New("registry: the snapshot cannot be read")

// Formats of a snapshot. Format 1, whose instances have no assigned stage, is read and no longer written.
const (
	snapshotFormatV1 = 1
	snapshotFormat   = 2
)

var snapshotSchema = avro.MustParse(`{"type":"record","name":"registry_snapshot","fields":[
	{"name":"format","type":"int"},
	{"name":"instances","type":{"type":"array","items":{"type":"record","name":"held","fields":[
		{"name":"sequence","type":"long"},
		{"name":"value","type":"bytes"}]}}},
	{"name":"tombstones","type":{"type":"array","items":{"type":"record","name":"tombstone","fields":[
		{"name":"id","type":"string"},
		{"name":"reason","type":"int"},
		{"name":"draining","type":"boolean"},
		{"name":"sequence","type":"long"}]}}}]}`)

type snapshotInstance struct {
	Sequence int64  `avro:"sequence"`
	Value    []byte `avro:"value"`
}

type tombstoneRecord struct {
	ID       string `avro:"id"`
	Reason   int    `avro:"reason"`
	Draining bool   `avro:"draining"`
	Sequence int64  `avro:"sequence"`
}

type snapshotRecord struct {
	Format     int                `avro:"format"`
	Instances  []snapshotInstance `avro:"instances"`
	Tombstones []tombstoneRecord  `avro:"tombstones"`
}

// Snapshot returns the complete state; equal states give equal bytes.
func (s *Store) Snapshot() []byte {
	state := snapshotRecord{Format: snapshotFormat}
	for _, id := range s.sortedIDs() {
		current := s.records[id]
		state.Instances = append(state.Instances, snapshotInstance{Sequence: int64(current.sequence), Value: current.value})
	}
	for _, id := range s.tombstoneOrder {
		removed := s.tombstones[id]
		state.Tombstones = append(state.Tombstones, tombstoneRecord{
			ID:       id,
			Reason:   int(removed.reason),
			Draining: removed.draining,
			Sequence: int64(removed.sequence),
		})
	}
	return mustMarshal(snapshotSchema, state)
}

// Restore replaces the state by that of a snapshot. The error wraps ErrSnapshot; the state is unchanged then.
func (s *Store) Restore(snapshot []byte) error {
	if len(snapshot) == 0 {
		return fmt.Errorf("%w: it is empty", ErrSnapshot)
	}
	var state snapshotRecord
	if err := strictavro.Unmarshal(codec, snapshotSchema, snapshot, &state); err != nil {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	schema := itemSchema
	switch state.Format {
	case snapshotFormat:
	case snapshotFormatV1:
		schema = itemSchemaV1
	default:
		return fmt.Errorf("%w: format %d", ErrSnapshot, state.Format)
	}
	restored := NewStore()
	for _, entry := range state.Instances {
		instance, err := decodeItem(schema, entry.Value)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrSnapshot, err)
		}
		restored.insertRecord(&record{instance: &instance, value: EncodeItem(instance), sequence: uint64(entry.Sequence)})
	}
	for _, removed := range state.Tombstones {
		restored.addTombstone(removed.ID, tombstone{
			reason:   Reason(removed.Reason),
			draining: removed.Draining,
			sequence: uint64(removed.Sequence),
		})
	}
	*s = *restored
	return nil
}
