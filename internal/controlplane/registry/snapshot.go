package registry

import (
	"errors"
	"fmt"

	"github.com/hamba/avro/v2"

	"ospreybend/internal/util/strictavro"
)

// ErrSnapshot is wrapped by the errors that Restore returns for a snapshot that it cannot decode.
var ErrSnapshot = errors.New("registry: the snapshot cannot be decoded")

// Formats of a snapshot. Format 1, whose instances have no assigned stage, can be read but is no longer written.
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

// snapshotInstance is the encoded form of a record.
type snapshotInstance struct {
	Sequence int64  `avro:"sequence"`
	Value    []byte `avro:"value"`
}

// tombstoneRecord is the encoded form of a tombstone.
type tombstoneRecord struct {
	ID       string `avro:"id"`
	Reason   int    `avro:"reason"`
	Draining bool   `avro:"draining"`
	Sequence int64  `avro:"sequence"`
}

// snapshotRecord is the encoded form of a snapshot.
type snapshotRecord struct {
	Format     int                `avro:"format"`
	Instances  []snapshotInstance `avro:"instances"`
	Tombstones []tombstoneRecord  `avro:"tombstones"`
}

// Snapshot returns the complete state. Equal states are encoded as equal bytes.
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

// Restore replaces the state by that of a snapshot. On an error, which wraps ErrSnapshot, the state is unchanged.
func (s *Store) Restore(snapshot []byte) error {
	if len(snapshot) == 0 {
		return fmt.Errorf("%w: it has no bytes", ErrSnapshot)
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
		return fmt.Errorf("%w: it has format %d, expected %d or %d", ErrSnapshot, state.Format, snapshotFormatV1, snapshotFormat)
	}
	restored := NewStore()
	for position, entry := range state.Instances {
		instance, err := decodeItem(schema, entry.Value)
		if err != nil {
			return fmt.Errorf("%w: instance %d of %d: %w", ErrSnapshot, position, len(state.Instances), err)
		}
		restored.insertRecord(&record{instance: &instance, value: EncodeItem(instance), sequence: uint64(entry.Sequence)})
	}
	for _, removed := range state.Tombstones {
		restored.addTombstone(removed.ID, tombstone{
			reason:   RemovalReason(removed.Reason),
			draining: removed.Draining,
			sequence: uint64(removed.Sequence),
		})
	}
	*s = *restored
	return nil
}
