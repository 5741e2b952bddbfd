// Package encoding encodes, as CBOR, the data that the zones' voters and nodes store and send.
//
// The encoding is deterministic: equal values have equal encodings, so that tables can be compared by their bytes.
// The keys of structures are the field numbers or names in their tags. Packages commands and replicatedlog define the
// records, package transport the messages.
package encoding

import "github.com/fxamacker/cbor/v2"

// Limits of the decoder, as the input comes from other processes.
const (
	maxNestedLevels = 16
	maxElements     = 1 << 16 // elements of an array, or pairs of a map
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
		panic(err) // unreachable: the options are constant and valid
	}
	return value
}

// Marshal returns the encoding of a value.
func Marshal(value any) ([]byte, error) { return encoder.Marshal(value) }

// Unmarshal decodes data into the value that into points to. The data must be exactly one value.
func Unmarshal(data []byte, into any) error { return decoder.Unmarshal(data, into) }
