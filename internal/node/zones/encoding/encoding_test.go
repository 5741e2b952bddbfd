package encoding

import (
	"bytes"
	"testing"
)

// Equal values have equal encodings, whatever the iteration order of a map.
func TestMarshal_isDeterministic(t *testing.T) {
	value := map[string]int{"c": 3, "a": 1, "b": 2}
	first, err := Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		if again, err := Marshal(value); err != nil || !bytes.Equal(again, first) {
			t.Fatalf("encoded again: %x, error %v; want %x as the first time", again, err, first)
		}
	}
}

// Malformed, ambiguous and too deeply nested input is rejected.
func TestUnmarshal_rejectsInvalid(t *testing.T) {
	for name, data := range map[string][]byte{
		"empty":             {},
		"truncated":         {0xa1, 0x01},
		"trailing data":     {0x01, 0x01},
		"duplicate key":     {0xa2, 0x01, 0x01, 0x01, 0x02},
		"indefinite length": {0x9f, 0x01, 0xff},
		"too many levels":   bytes.Repeat([]byte{0x81}, maxNestedLevels+1),
	} {
		var into any
		if err := Unmarshal(data, &into); err == nil {
			t.Errorf("%s: decoded %x as %v, want an error", name, data, into)
		}
	}
}
