package configuration

import (
	"errors"
	"fmt"

	"github.com/hamba/avro/v2"

	"ospreybend/internal/util/strictavro"
)

// ErrSnapshot is wrapped by what Restore returns for bytes that it cannot read.
var ErrSnapshot = errors.New("configuration: the snapshot cannot be read")

const (
	snapshotFormat      = 2
	firstSnapshotFormat = 1 // holds no bases of the accepted changes; still read
)

var (
	formatSchema = avro.MustParse(`"int"`)

	snapshotSchema = avro.MustParse(`{"type":"record","name":"configuration_snapshot","fields":[
		{"name":"format","type":"int"},
		{"name":"generation","type":"long"},
		{"name":"document","type":"bytes"},
		{"name":"accepted","type":"bytes"},
		{"name":"bases","type":{"type":"array","items":"long"}},
		{"name":"forgotten","type":"long"}]}`)

	firstSnapshotSchema = avro.MustParse(`{"type":"record","name":"configuration_snapshot","fields":[
		{"name":"format","type":"int"},
		{"name":"generation","type":"long"},
		{"name":"document","type":"bytes"},
		{"name":"accepted","type":"bytes"}]}`)
)

type snapshotRecord struct {
	Format     int     `avro:"format"`
	Generation int64   `avro:"generation"`
	Document   []byte  `avro:"document"`
	Accepted   []byte  `avro:"accepted"`  // digests one after the other, oldest first
	Bases      []int64 `avro:"bases"`     // of each of them
	Forgotten  int64   `avro:"forgotten"` // whatever is forgotten built on a generation below this one
}

// Snapshot returns the whole state; equal states give equal bytes.
func (s *Store) Snapshot() []byte {
	record := snapshotRecord{
		Format:     snapshotFormat,
		Generation: int64(s.document.generation),
		Document:   s.document.render(),
		Forgotten:  int64(s.forgottenBelow),
	}
	if s.enforces(RuleDuplicateInSnapshot) {
		for _, one := range s.acceptedOrder {
			record.Accepted = append(record.Accepted, one.digest[:]...)
			record.Bases = append(record.Bases, int64(one.base))
		}
	}
	return mustMarshal(snapshotSchema, record)
}

// Restore replaces the state by what Snapshot returned. The error wraps ErrSnapshot; the state is
// as before then.
func (s *Store) Restore(snapshot []byte) error {
	record, err := readSnapshot(snapshot)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	restored := &Store{
		document: emptyDocument(), accepted: map[commandDigest]struct{}{},
		maxAccepted: s.maxAccepted, forgottenBelow: uint64(record.Forgotten), omittedRules: s.omittedRules,
	}
	if record.Generation != 0 {
		parsed, rejection := readDocument(record.Document)
		if rejection != nil {
			return fmt.Errorf("%w: %w", ErrSnapshot, rejection)
		}
		restored.document = parsed
	}
	for position, base := range record.Bases {
		digest := commandDigest(record.Accepted[position*digestBytes:])
		restored.rememberAccepted(acceptedChange{base: uint64(base), digest: digest})
	}
	*s = *restored
	return nil
}

// readSnapshot reads a record of either format.
func readSnapshot(snapshot []byte) (snapshotRecord, error) {
	var record snapshotRecord
	if len(snapshot) == 0 {
		return record, errors.New("it is empty")
	}
	format := 0
	if err := avroCodec.Unmarshal(formatSchema, snapshot, &format); err != nil {
		return record, err
	}
	var err error
	switch format {
	case snapshotFormat:
		err = strictavro.Unmarshal(avroCodec, snapshotSchema, snapshot, &record)
	case firstSnapshotFormat:
		err = strictavro.Unmarshal(avroCodec, firstSnapshotSchema, snapshot, &record)
		record.Bases = unknownBases(record)
	default:
		err = fmt.Errorf("format %d", format)
	}
	if err == nil && len(record.Bases)*digestBytes != len(record.Accepted) {
		err = errors.New("digests are cut short")
	}
	return record, err
}

// unknownBases stands for the bases that the first format does not hold: each change built on a
// generation below the one in force.
func unknownBases(record snapshotRecord) []int64 {
	bases := make([]int64, len(record.Accepted)/digestBytes)
	for position := range bases {
		bases[position] = record.Generation - 1
	}
	return bases
}
