package registry

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

const exampleHeartbeat = `{"service":"huvo11a","address":"10.128.0.9:8080","zone":"halle-a","generation":"v1","slots":64,"state":"ready","coldRemainingMs":120,"stage":"decode","models":[{"name":"m","generation":1,"adapters":["a"]}],"sequence":4,"later":[{"x":1}]}`

func exampleInstance(id, address string) Instance {
	return Instance{
		ID: id, Service: "huvo11a", Address: address, Zone: "halle-a", Generation: "v1", Slots: 64,
		Stage: "decode", Models: []Model{{Name: "m", Generation: 1, Adapters: []string{"a"}}},
	}
}

func TestParseHeartbeat(t *testing.T) {
	heartbeat, err := ParseHeartbeat("i-1", []byte(exampleHeartbeat))
	expected := Heartbeat{Instance: exampleInstance("i-1", "10.128.0.9:8080"), WarmUpRemainingMs: 120, Sequence: 4}
	if err != nil || !reflect.DeepEqual(heartbeat, expected) {
		t.Fatalf("%+v %v", heartbeat, err)
	}
}

func TestParseHeartbeat_defaults(t *testing.T) {
	heartbeat, err := ParseHeartbeat("i-1", []byte(`{"service":"s","address":"1.2.3.4:5","models":null,"stage":null,"coldRemainingMs":-4}`))
	if err != nil || heartbeat.Slots != 1 || heartbeat.State != Ready || heartbeat.Models != nil || heartbeat.WarmUpRemainingMs != 0 {
		t.Fatalf("%+v %v", heartbeat, err)
	}
	for state, expected := range map[string]State{"ready": Ready, "draining": Draining, "of_a_later_day": Draining} {
		heartbeat, err := ParseHeartbeat("i-1", []byte(fmt.Sprintf(`{"service":"s","address":"1.2.3.4:5","state":%q}`, state)))
		if err != nil || heartbeat.State != expected {
			t.Errorf("%s: %+v %v", state, heartbeat, err)
		}
	}
}

func TestParseHeartbeat_rejectsInvalidBodies(t *testing.T) {
	large := strings.Repeat("x", maxNameBytes+1)
	fields := func(more string) string { return `{"service":"s","address":"1.2.3.4:5",` + more + `}` }
	for body, code := range map[string]Code{
		``:                                    Malformed,
		`[]`:                                  Malformed,
		`{"service":"s"`:                      Malformed,
		exampleHeartbeat + `{}`:               Malformed,
		`{"address":"1.2.3.4:5"}`:             MissingField,
		`{"service":"s"}`:                     MissingField,
		`{"service":"s","address":"host:80"}`: InvalidField,
		`{"service":"s","address":"1.2.3.4"}`: InvalidField,
		`{"service":"@nodes","address":"1.2.3.4:5"}`:                    InvalidField,
		fields(`"slots":"4"`):                                           InvalidField,
		fields(`"slots":1e300`):                                         InvalidField,
		fields(`"sequence":-1`):                                         InvalidField,
		fields(`"sequence":1.5`):                                        InvalidField,
		fields(`"models":{}`):                                           InvalidField,
		fields(`"models":["m"]`):                                        InvalidField,
		fields(`"zone":"` + large + `"`):                                TooLarge,
		fields(`"models":[` + strings.Repeat(`{},`, maxModels) + `{}]`): TooLarge,
		strings.Repeat(" ", maxBodyBytes+1):                             TooLarge,
	} {
		_, err := ParseHeartbeat("i-1", []byte(body))
		var rejection *Rejection
		if !errors.As(err, &rejection) || rejection.Code != code {
			t.Errorf("%.80s: %v, not %v", body, err, code)
		}
	}
	if _, err := ParseHeartbeat("", []byte(exampleHeartbeat)); err == nil {
		t.Error("no ID")
	}
	if _, err := ParseHeartbeat(large, []byte(exampleHeartbeat)); err == nil {
		t.Error("a large ID")
	}
}

func FuzzParseHeartbeat(f *testing.F) {
	f.Add([]byte(exampleHeartbeat))
	f.Add([]byte(`{"service":"s","address":"[::1]:5","models":[{"adapters":null}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		heartbeat, err := ParseHeartbeat("i", body)
		if err != nil {
			return
		}
		decoded, err := DecodeItem(EncodeItem(heartbeat.Instance))
		if err != nil || !SameRecord(decoded, heartbeat.Instance) {
			t.Fatalf("%+v %+v %v", heartbeat.Instance, decoded, err)
		}
	})
}

func FuzzStore_Apply(f *testing.F) {
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

func TestCodes_distinctAndAscending(t *testing.T) {
	table := Codes()
	names := map[string]bool{}
	for position, entry := range table {
		if position > 0 && entry.Code <= table[position-1].Code || names[entry.Name] || entry.Text == "" {
			t.Errorf("%+v", entry)
		}
		names[entry.Name] = true
	}
}
