package registry

import (
	"errors"
	"fmt"

	"github.com/hamba/avro/v2"

	"ospreybend/internal/util/strictavro"
)

// ErrSnapshot is wrapped by what Restore returns for bytes that it cannot read.
var ErrSnapshot = errors.New("registry: the snapshot cannot be read")

// Formats of a snapshot. Instances of the earlier one have no assigned stage; it is read and no longer written.
const (
	earlierSnapshotFormat = 1
	snapshotFormat        = 2
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

type heldRecord struct {
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
	Format     int               `avro:"format"`
	Instances  []heldRecord      `avro:"instances"`
	Tombstones []tombstoneRecord `avro:"tombstones"`
}

// Snapshot returns the whole state; equal states give equal bytes.
func (s *Store) Snapshot() []byte {
	whole := snapshotRecord{Format: snapshotFormat}
	for _, id := range s.sortedIDs() {
		held := s.records[id]
		whole.Instances = append(whole.Instances, heldRecord{Sequence: int64(held.sequence), Value: held.value})
	}
	for _, id := range s.buried {
		stone := s.tombstones[id]
		whole.Tombstones = append(whole.Tombstones, tombstoneRecord{
			ID:       id,
			Reason:   int(stone.reason),
			Draining: stone.draining,
			Sequence: int64(stone.sequence),
		})
	}
	return mustMarshal(snapshotSchema, whole)
}

// Restore replaces the state by what Snapshot returned. The error wraps ErrSnapshot; the state is
// as before then.
func (s *Store) Restore(snapshot []byte) error {
	if len(snapshot) == 0 {
		return fmt.Errorf("%w: it is empty", ErrSnapshot)
	}
	var whole snapshotRecord
	if err := strictavro.Unmarshal(binary, snapshotSchema, snapshot, &whole); err != nil {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	schema := itemSchema
	switch whole.Format {
	case snapshotFormat:
	case earlierSnapshotFormat:
		schema = earlierItemSchema
	default:
		return fmt.Errorf("%w: format %d", ErrSnapshot, whole.Format)
	}
	restored := NewStore()
	for _, held := range whole.Instances {
		instance, err := decodeItem(schema, held.Value)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrSnapshot, err)
		}
		restored.insert(&record{instance: &instance, value: EncodeItem(instance), sequence: uint64(held.Sequence)})
	}
	for _, stone := range whole.Tombstones {
		restored.bury(stone.ID, tombstone{
			reason:   Reason(stone.Reason),
			draining: stone.Draining,
			sequence: uint64(stone.Sequence),
		})
	}
	*s = *restored
	return nil
}
