package jsonfield

import (
	"errors"
	"testing"

	"github.com/go-faster/jx"
)

// read is what a test object's members are read into.
type read struct {
	text   string
	flag   bool
	number float64
}

func (r *read) member(decoder *jx.Decoder, key string) error {
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

func TestMembersAreRead(t *testing.T) {
	for raw, want := range map[string]read{
		`{"text":"a\u0062","flag":true,"number":-1.5e3,"other":[{}]}`: {"ab", true, -1500},
		`{"text":null,"flag":null,"number":null}`:                     {},
		` {} `: {},
	} {
		got := read{text: "before", flag: true, number: 7}
		if raw == ` {} ` {
			got = read{}
		}
		if err := EachMember([]byte(raw), got.member); err != nil || got != want {
			t.Errorf("%s: %+v, %v", raw, got, err)
		}
	}
}

func TestOtherKindsAreTold(t *testing.T) {
	for raw, want := range map[string]string{
		`{"text":1}`:     "text is not a string",
		`{"flag":"x"}`:   "flag is not true or false",
		`{"number":"1"}`: "number is not a number",
		`{"number":{}}`:  "number is not a number",
	} {
		var got read
		var mismatch *MismatchError
		if err := EachMember([]byte(raw), got.member); !errors.As(err, &mismatch) || mismatch.Error() != want {
			t.Errorf("%s: %v", raw, err)
		}
	}
}

func TestWhatIsNoObjectIsRefused(t *testing.T) {
	for _, raw := range []string{``, `[]`, `{`, `{"text":"a"`, `{"text":"a}`, `nul`, `{"number":1e400}x`} {
		var got read
		if err := EachMember([]byte(raw), got.member); err == nil {
			t.Errorf("%s was read", raw)
		}
	}
	for _, raw := range []string{`{}x`, `{}{}`, `{}]`} {
		var got read
		if err := EachMember([]byte(raw), got.member); !errors.Is(err, ErrTrailing) {
			t.Errorf("%s: %v", raw, err)
		}
	}
}

// A string that was read does not change with the memory that it was read from.
func TestStringsAreCopies(t *testing.T) {
	raw := []byte(`{"text":"some text"}`)
	var got read
	if err := EachMember(raw, got.member); err != nil {
		t.Fatal(err)
	}
	clear(raw)
	if got.text != "some text" {
		t.Fatalf("%q", got.text)
	}
}
