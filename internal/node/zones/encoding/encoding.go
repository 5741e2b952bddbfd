// Package encoding is the CBOR encoding of what the zones' voters and nodes store and send.
//
// The encoding is deterministic: equal values have equal bytes, so that tables can be compared by them. Structures
// are encoded by the field numbers or names in their tags. Packages commands and replicatedlog define the records,
// package transport the messages.
package encoding

import "github.com/fxamacker/cbor/v2"

// Limits of what is decoded; input comes from other processes.
const (
	maxNestedLevels = 16
	maxElements     = 1 << 16 // of an array or a map
)

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode())
)

func must[T any](value T, err error) T {
	if err != nil {
		panic(err) // the options above are constants
	}
	return value
}

// Marshal returns the encoding of a value.
func Marshal(value any) ([]byte, error) { return encoder.Marshal(value) }

// Unmarshal decodes data, which must be one complete value, into the value that into points to.
func Unmarshal(data []byte, into any) error { return decoder.Unmarshal(data, into) }
