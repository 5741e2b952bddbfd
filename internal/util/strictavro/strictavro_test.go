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

func TestUnmarshal_acceptsOnlyACompleteRecord(t *testing.T) {
	api := avro.Config{}.Freeze()
	encoded, err := api.Marshal(schema, record{"some text", []int64{1, 2, 300}})
	if err != nil {
		t.Fatal(err)
	}
	var read record
	if err := Unmarshal(api, schema, encoded, &read); err != nil || read.Text != "some text" || len(read.List) != 3 {
		t.Fatalf("%v, %+v", err, read)
	}
	for cut := range encoded {
		if err := Unmarshal(api, schema, encoded[:cut], &read); err == nil {
			t.Errorf("cut at %d of %d: accepted as complete", cut, len(encoded))
		}
	}
	if err := Unmarshal(api, schema, append(encoded, 0), &read); !errors.Is(err, ErrTrailingBytes) {
		t.Errorf("a byte more: %v", err)
	}
}
