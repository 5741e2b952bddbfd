// Package strictavro decodes avro records strictly: the record must end exactly where its bytes end. The codec's own
// Unmarshal accepts a truncated record as complete and panics on some invalid lengths. It is used for stored and for
// received data, neither of which can be trusted to be intact; encoding needs no counterpart.
package strictavro

import (
	"errors"
	"fmt"

	"github.com/hamba/avro/v2"
)

// Errors of Unmarshal besides those of the codec. Their texts appear in answers to operators, so they stay as they are.
var (
	// ErrTrailingBytes reports that bytes follow the record.
	ErrTrailingBytes = errors.New("strictavro: bytes follow the record")
	// ErrInvalidLength reports a length on which the codec panicked.
	ErrInvalidLength = errors.New("strictavro: a length cannot be")
)

// Unmarshal decodes one record of the schema into the target, a pointer. It returns an error unless the record ends where
// the bytes end.
func Unmarshal(api avro.API, schema avro.Schema, encoded []byte, target any) (err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			err = fmt.Errorf("%w: %v", ErrInvalidLength, recovered)
		}
	}()
	reader := avro.NewReader(nil, 0, avro.WithReaderConfig(api)).Reset(encoded)
	reader.ReadVal(schema, target)
	if reader.Error != nil {
		return reader.Error
	}
	reader.Peek()
	if reader.Error == nil {
		return ErrTrailingBytes
	}
	return nil
}
