package strictavro

import (
	"errors"
	"testing"

	"github.com/hamba/avro/v2"
)

var schema = avro.MustParse(`{"type":"record","name":"r","fields":[{"name":"text","type":"string"},{"name":"list","type":{"type":"array","items":"long"}}]}`)

type record struct {
	Text string  `avro:"text"`
	List []int64 `avro:"list"`
}

// TestUnmarshal_acceptsOnlyACompleteRecord decodes a complete record, each truncation of it, and the record with one more byte.
func TestUnmarshal_acceptsOnlyACompleteRecord(t *testing.T) {
	api := avro.Config{}.Freeze()
	encoded, err := api.Marshal(schema, record{"some text", []int64{1, 2, 300}})
	if err != nil {
		t.Fatal(err)
	}
	var read record
	if err := Unmarshal(api, schema, encoded, &read); err != nil || read.Text != "some text" || len(read.List) != 3 {
		t.Fatalf("Unmarshal of a complete record: got %+v, error %v", read, err)
	}
	for cut := range encoded {
		if err := Unmarshal(api, schema, encoded[:cut], &read); err == nil {
			t.Errorf("Unmarshal of the first %d of %d bytes: got no error", cut, len(encoded))
		}
	}
	if err := Unmarshal(api, schema, append(encoded, 0), &read); !errors.Is(err, ErrTrailingBytes) {
		t.Errorf("Unmarshal of a record and one more byte: got error %v, want ErrTrailingBytes", err)
	}
}
