// Package strictavro decodes Avro records strictly: the record must end exactly where the input ends. Unmarshal of
// hamba/avro accepts a truncated record as complete and panics on some invalid lengths. Package strictavro is for stored
// and received data, either of which may be damaged. Records are encoded with hamba/avro itself.
package strictavro

import (
	"errors"
	"fmt"

	"github.com/hamba/avro/v2"
)

// Errors of Unmarshal besides those of the codec. Their texts appear in responses to operators and must not change.
var (
	// ErrTrailingBytes reports that bytes follow the record.
	ErrTrailingBytes = errors.New("strictavro: bytes follow the record")
	// ErrInvalidLength reports that the codec panicked, as it does on some invalid lengths.
	ErrInvalidLength = errors.New("strictavro: a length cannot be")
)

// Unmarshal decodes one record of the schema into target, which must be a pointer. It returns an error unless the record
// ends exactly where encoded ends.
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
