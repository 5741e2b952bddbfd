package jsonfield

import (
	"errors"
	"testing"

	"github.com/go-faster/jx"
)

// testObject receives the members of the objects in these tests.
type testObject struct {
	text   string
	flag   bool
	number float64
}

// readMember is a visit function for EachMember. It skips unknown members.
func (o *testObject) readMember(decoder *jx.Decoder, key string) error {
	switch key {
	case "text":
		return String(decoder, key, &o.text)
	case "flag":
		return Bool(decoder, key, &o.flag)
	case "number":
		return Number(decoder, key, &o.number)
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
		if err := EachMember([]byte(raw), got.readMember); err != nil || got != want {
			t.Errorf("%s: got %+v, error %v; want %+v, no error", raw, got, err, want)
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
		if err := EachMember([]byte(raw), got.readMember); !errors.As(err, &mismatch) || mismatch.Error() != want {
			t.Errorf("%s: got error %v, want a *TypeMismatchError with text %q", raw, err, want)
		}
	}
}

func TestEachMember_rejectsInvalidObjects(t *testing.T) {
	for _, raw := range []string{``, `[]`, `{`, `{"text":"a"`, `{"text":"a}`, `nul`, `{"number":1e400}x`} {
		var got testObject
		if err := EachMember([]byte(raw), got.readMember); err == nil {
			t.Errorf("%q: got no error", raw)
		}
	}
	for _, raw := range []string{`{}x`, `{}{}`, `{}]`} {
		var got testObject
		if err := EachMember([]byte(raw), got.readMember); !errors.Is(err, ErrTrailingData) {
			t.Errorf("%s: got error %v, want ErrTrailingData", raw, err)
		}
	}
}

// TestString_copiesInput checks that a string that was read does not change when its input is overwritten.
func TestString_copiesInput(t *testing.T) {
	raw := []byte(`{"text":"some text"}`)
	var got testObject
	if err := EachMember(raw, got.readMember); err != nil {
		t.Fatal(err)
	}
	clear(raw)
	if got.text != "some text" {
		t.Fatalf("string after its input was cleared: got %q, want \"some text\"", got.text)
	}
}
