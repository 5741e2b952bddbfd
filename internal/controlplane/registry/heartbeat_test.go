package registry

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

const exampleBeat = `{"service":"huvo11a","address":"10.128.0.9:8080","zone":"halle-a","generation":"v1","slots":64,"state":"ready","coldRemainingMs":120,"stage":"decode","models":[{"name":"m","generation":1,"adapters":["a"]}],"sequence":4,"later":[{"x":1}]}`

func exampleInstance(id, address string) Instance {
	return Instance{
		ID: id, Service: "huvo11a", Address: address, Zone: "halle-a", Generation: "v1", Slots: 64,
		Stage: "decode", Models: []Model{{Name: "m", Generation: 1, Adapters: []string{"a"}}},
	}
}

func TestParseBeat(t *testing.T) {
	beat, err := ParseBeat("i-1", []byte(exampleBeat))
	expected := Beat{Instance: exampleInstance("i-1", "10.128.0.9:8080"), ColdRemainingMs: 120, Sequence: 4}
	if err != nil || !reflect.DeepEqual(beat, expected) {
		t.Fatalf("%+v %v", beat, err)
	}
}

func TestParseBeatDefaults(t *testing.T) {
	beat, err := ParseBeat("i-1", []byte(`{"service":"s","address":"1.2.3.4:5","models":null,"stage":null,"coldRemainingMs":-4}`))
	if err != nil || beat.Slots != 1 || beat.State != Ready || beat.Models != nil || beat.ColdRemainingMs != 0 {
		t.Fatalf("%+v %v", beat, err)
	}
	for state, expected := range map[string]State{"ready": Ready, "draining": Draining, "of_a_later_day": Draining} {
		beat, err := ParseBeat("i-1", []byte(fmt.Sprintf(`{"service":"s","address":"1.2.3.4:5","state":%q}`, state)))
		if err != nil || beat.State != expected {
			t.Errorf("%s: %+v %v", state, beat, err)
		}
	}
}

func TestParseBeatRefuses(t *testing.T) {
	large := strings.Repeat("x", longestText+1)
	fields := func(more string) string { return `{"service":"s","address":"1.2.3.4:5",` + more + `}` }
	for body, code := range map[string]Code{
		``:                                    Unreadable,
		`[]`:                                  Unreadable,
		`{"service":"s"`:                      Unreadable,
		exampleBeat + `{}`:                    Unreadable,
		`{"address":"1.2.3.4:5"}`:             MissingField,
		`{"service":"s"}`:                     MissingField,
		`{"service":"s","address":"host:80"}`: BadField,
		`{"service":"s","address":"1.2.3.4"}`: BadField,
		`{"service":"@nodes","address":"1.2.3.4:5"}`:                     BadField,
		fields(`"slots":"4"`):                                            BadField,
		fields(`"slots":1e300`):                                          BadField,
		fields(`"sequence":-1`):                                          BadField,
		fields(`"sequence":1.5`):                                         BadField,
		fields(`"models":{}`):                                            BadField,
		fields(`"models":["m"]`):                                         BadField,
		fields(`"zone":"` + large + `"`):                                 TooLarge,
		fields(`"models":[` + strings.Repeat(`{},`, mostModels) + `{}]`): TooLarge,
		strings.Repeat(" ", largestBody+1):                               TooLarge,
	} {
		_, err := ParseBeat("i-1", []byte(body))
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.Code != code {
			t.Errorf("%.80s: %v, not %v", body, err, code)
		}
	}
	if _, err := ParseBeat("", []byte(exampleBeat)); err == nil {
		t.Error("no ID")
	}
	if _, err := ParseBeat(large, []byte(exampleBeat)); err == nil {
		t.Error("a large ID")
	}
}

func FuzzParseBeat(f *testing.F) {
	f.Add([]byte(exampleBeat))
	f.Add([]byte(`{"service":"s","address":"[::1]:5","models":[{"adapters":null}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		beat, err := ParseBeat("i", body)
		if err != nil {
			return
		}
		decoded, err := DecodeItem(EncodeItem(beat.Instance))
		if err != nil || !SameRecord(decoded, beat.Instance) {
			t.Fatalf("%+v %+v %v", beat.Instance, decoded, err)
		}
	})
}

func FuzzApply(f *testing.F) {
	f.Add(EncodePut(exampleInstance("a", "1.2.3.4:5"), 3))
	f.Add(EncodeRemove("a", Expired, 3))
	f.Fuzz(func(t *testing.T, entry []byte) {
		store := NewStore()
		store.Apply(1, EncodePut(exampleInstance("b", "1.2.3.4:5"), 1))
		store.Apply(2, entry)
		if err := NewStore().Restore(store.Snapshot()); err != nil {
			t.Fatal(err)
		}
	})
}

func TestCodesAreDistinctAndRise(t *testing.T) {
	table := Codes()
	names := map[string]bool{}
	for position, entry := range table {
		if position > 0 && entry.Code <= table[position-1].Code || names[entry.Name] || entry.Text == "" {
			t.Errorf("%+v", entry)
		}
		names[entry.Name] = true
	}
}
