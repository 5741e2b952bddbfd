package jsonfield

import (
	"errors"
	"testing"

	"github.com/go-faster/jx"
)

// testObject is what a test object's members are read into.
type testObject struct {
	text   string
	flag   bool
	number float64
}

func (r *testObject) member(decoder *jx.Decoder, key string) error {
	switch key {
	case "text":
		return String(decoder, key, &r.text)
	case "flag":
		return Bool(decoder, key, &r.flag)
	case "number":
		return Number(decoder, key, &r.number)
	}
	return decoder.Skip()
}

func TestEachMember_readsEachType(t *testing.T) {
	for raw, want := range map[string]testObject{
		`{"text":"a\u0062","flag":true,"number":-1.5e3,"other":[{}]}`: {"ab", true, -1500},
		`{"text":null,"flag":null,"number":null}`:                     {},
		` {} `: {},
	} {
		got := testObject{text: "before", flag: true, number: 7}
		if raw == ` {} ` {
			got = testObject{}
		}
		if err := EachMember([]byte(raw), got.member); err != nil || got != want {
			t.Errorf("%s: %+v, %v", raw, got, err)
		}
	}
}

func TestEachMember_reportsTypeMismatch(t *testing.T) {
	for raw, want := range map[string]string{
		`{"text":1}`:     "text is not a string",
		`{"flag":"x"}`:   "flag is not true or false",
		`{"number":"1"}`: "number is not a number",
		`{"number":{}}`:  "number is not a number",
	} {
		var got testObject
		var mismatch *TypeMismatchError
		if err := EachMember([]byte(raw), got.member); !errors.As(err, &mismatch) || mismatch.Error() != want {
			t.Errorf("%s: %v", raw, err)
		}
	}
}

func TestEachMember_rejectsInvalidObjects(t *testing.T) {
	for _, raw := range []string{``, `[]`, `{`, `{"text":"a"`, `{"text":"a}`, `nul`, `{"number":1e400}x`} {
		var got testObject
		if err := EachMember([]byte(raw), got.member); err == nil {
			t.Errorf("%s was read", raw)
		}
	}
	for _, raw := range []string{`{}x`, `{}{}`, `{}]`} {
		var got testObject
		if err := EachMember([]byte(raw), got.member); !errors.Is(err, ErrTrailingData) {
			t.Errorf("%s: %v", raw, err)
		}
	}
}

// A string that was read does not change with the memory that it was read from.
func TestString_copiesInput(t *testing.T) {
	raw := []byte(`{"text":"some text"}`)
	var got testObject
	if err := EachMember(raw, got.member); err != nil {
		t.Fatal(err)
	}
	clear(raw)
	if got.text != "some text" {
		t.Fatalf("%q", got.text)
	}
}
