package configuration

import (
	"errors"
	"fmt"

	"github.com/hamba/avro/v2"

	"ospreybend/internal/strictavro"
)

// ErrSnapshot is wrapped by what Restore returns for bytes that it cannot read.
var ErrSnapshot = errors.New("configuration: the snapshot cannot be read")

const snapshotFormat = 1

var snapshotSchema = avro.MustParse(`{"type":"record","name":"configuration_snapshot","fields":[
	{"name":"format","type":"int"},
	{"name":"generation","type":"long"},
	{"name":"document","type":"bytes"},
	{"name":"accepted","type":"bytes"}]}`)

type snapshotRecord struct {
	Format     int    `avro:"format"`
	Generation int64  `avro:"generation"`
	Document   []byte `avro:"document"`
	Accepted   []byte `avro:"accepted"` // digests one after the other, oldest first
}

// Snapshot returns the whole state; equal states give equal bytes.
func (s *Store) Snapshot() []byte {
	accepted := make([]byte, 0, len(s.order)*digestBytes)
	for _, mark := range s.order {
		accepted = append(accepted, mark[:]...)
	}
	return mustMarshal(snapshotSchema, snapshotRecord{
		Format:     snapshotFormat,
		Generation: int64(s.document.generation),
		Document:   s.document.render(),
		Accepted:   accepted,
	})
}

// Restore replaces the state by what Snapshot returned. The error wraps ErrSnapshot; the state is
// as before then.
func (s *Store) Restore(snapshot []byte) error {
	var record snapshotRecord
	if len(snapshot) == 0 {
		return fmt.Errorf("%w: it is empty", ErrSnapshot)
	}
	if err := strictavro.Unmarshal(binary, snapshotSchema, snapshot, &record); err != nil {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	if record.Format != snapshotFormat {
		return fmt.Errorf("%w: format %d", ErrSnapshot, record.Format)
	}
	if len(record.Accepted)%digestBytes != 0 {
		return fmt.Errorf("%w: digests are cut short", ErrSnapshot)
	}
	restored := NewStore()
	if record.Generation != 0 {
		whole, refusal := readDocument(record.Document)
		if refusal != nil {
			return fmt.Errorf("%w: %w", ErrSnapshot, refusal)
		}
		restored.document = whole
	}
	for rest := record.Accepted; len(rest) > 0; rest = rest[digestBytes:] {
		restored.remember(digest(rest[:digestBytes]))
	}
	*s = *restored
	return nil
}
