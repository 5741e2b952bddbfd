// Package strictavro reads avro records that must be all that their bytes hold. The codec's own reading takes a record
// that is cut off as whole, and panics at some false lengths.
package strictavro

import (
	"errors"
	"fmt"

	"github.com/hamba/avro/v2"
)

// Errors of reading, besides those of the codec.
var (
	ErrTrailingBytes = errors.New("strictavro: bytes follow the record")
	ErrInvalidLength = errors.New("strictavro: a length cannot be")
)

// Unmarshal reads a record into a value. It fails unless the record ends where the bytes end.
func Unmarshal(api avro.API, schema avro.Schema, encoded []byte, into any) (err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			err = fmt.Errorf("%w: %v", ErrInvalidLength, recovered)
		}
	}()
	reader := avro.NewReader(nil, 0, avro.WithReaderConfig(api)).Reset(encoded)
	reader.ReadVal(schema, into)
	if reader.Error != nil {
		return reader.Error
	}
	reader.Peek()
	if reader.Error == nil {
		return ErrTrailingBytes
	}
	return nil
}
