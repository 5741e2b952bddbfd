package configuration

import (
	"errors"
	"fmt"

	"github.com/hamba/avro/v2"

	"ospreybend/internal/util/strictavro"
)

// ErrSnapshot is wrapped by the errors that Store.Restore returns for a snapshot that cannot be decoded.
var ErrSnapshot = errors.New("configuration: the snapshot cannot be decoded")

// Reasons for ErrSnapshot.
var (
	errEmptySnapshot = errors.New("snapshot is empty")
	errDigestCount   = errors.New("snapshot contains different numbers of digests and bases")
)

// Formats of a snapshot.
const (
	snapshotFormat  = 2 // the format that is written
	snapshotFormat1 = 1 // without the bases of the accepted changes; read but no longer written
)

// Schemas of a snapshot. Each begins with the format number, so that formatSchema decodes it from a snapshot of either
// format.
var (
	formatSchema = avro.MustParse(`"int"`)

	snapshotSchema = avro.MustParse(`{"type":"record","name":"configuration_snapshot","fields":[
		{"name":"format","type":"int"},
		{"name":"generation","type":"long"},
		{"name":"document","type":"bytes"},
		{"name":"accepted","type":"bytes"},
		{"name":"bases","type":{"type":"array","items":"long"}},
		{"name":"forgotten","type":"long"}]}`)

	snapshotSchema1 = avro.MustParse(`{"type":"record","name":"configuration_snapshot","fields":[
		{"name":"format","type":"int"},
		{"name":"generation","type":"long"},
		{"name":"document","type":"bytes"},
		{"name":"accepted","type":"bytes"}]}`)
)

// snapshotRecord is the Avro record of a Store.
type snapshotRecord struct {
	Format     int     `avro:"format"`
	Generation int64   `avro:"generation"`
	Document   []byte  `avro:"document"`
	Accepted   []byte  `avro:"accepted"`  // concatenated digests, oldest first
	Bases      []int64 `avro:"bases"`     // base generation of each digest
	Forgotten  int64   `avro:"forgotten"` // see Store.forgottenBelow
}

// Snapshot encodes the state of the store. Equal states have equal encodings.
func (s *Store) Snapshot() []byte {
	record := snapshotRecord{
		Format:     snapshotFormat,
		Generation: int64(s.document.generation),
		Document:   s.document.render(),
		Forgotten:  int64(s.forgottenBelow),
	}
	if s.enforces(RuleDuplicateInSnapshot) {
		for _, accepted := range s.acceptedOrder {
			record.Accepted = append(record.Accepted, accepted.digest[:]...)
			record.Bases = append(record.Bases, int64(accepted.base))
		}
	}
	return mustMarshal(snapshotSchema, record)
}

// Restore replaces the state with that of an encoded snapshot. If it returns an error, which wraps ErrSnapshot, the state is
// unchanged.
func (s *Store) Restore(snapshot []byte) error {
	record, err := readSnapshot(snapshot)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	restored := &Store{
		document: emptyDocument(), accepted: map[commandDigest]struct{}{},
		maxRemembered: s.maxRemembered, forgottenBelow: uint64(record.Forgotten), omittedRules: s.omittedRules,
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

// readSnapshot decodes a snapshot of either format.
func readSnapshot(snapshot []byte) (snapshotRecord, error) {
	var record snapshotRecord
	if len(snapshot) == 0 {
		return record, errEmptySnapshot
	}
	format := 0
	if err := avroCodec.Unmarshal(formatSchema, snapshot, &format); err != nil {
		return record, err
	}
	var err error
	switch format {
	case snapshotFormat:
		err = strictavro.Unmarshal(avroCodec, snapshotSchema, snapshot, &record)
	case snapshotFormat1:
		err = strictavro.Unmarshal(avroCodec, snapshotSchema1, snapshot, &record)
		record.Bases = unknownBases(record)
	default:
		err = fmt.Errorf("unknown snapshot format %d", format)
	}
	if err == nil && len(record.Bases)*digestBytes != len(record.Accepted) {
		err = errDigestCount
	}
	return record, err
}

// unknownBases returns the bases for a snapshot of format 1, which does not contain them. Each accepted change was based
// on a generation below the one in force, so that the highest possible base is assumed for all. With it,
// RuleBaseForgottenUndecided yields a result that is not final where the store cannot be certain.
func unknownBases(record snapshotRecord) []int64 {
	bases := make([]int64, len(record.Accepted)/digestBytes)
	for position := range bases {
		bases[position] = record.Generation - 1
	}
	return bases
}
