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
	want := Heartbeat{Instance: exampleInstance("i-1", "10.128.0.9:8080"), WarmUpRemainingMs: 120, Sequence: 4}
	if err != nil || !reflect.DeepEqual(heartbeat, want) {
		t.Fatalf("parsed heartbeat %+v, error %v; want %+v", heartbeat, err, want)
	}
}

func TestParseHeartbeat_defaults(t *testing.T) {
	heartbeat, err := ParseHeartbeat("i-1", []byte(`{"service":"s","address":"1.2.3.4:5","models":null,"stage":null,"coldRemainingMs":-4}`))
	if err != nil || heartbeat.Slots != 1 || heartbeat.State != Ready || heartbeat.Models != nil || heartbeat.WarmUpRemainingMs != 0 {
		t.Fatalf("heartbeat without optional values parsed as %+v, error %v; want 1 slot, ready, no models, no warm-up", heartbeat, err)
	}
	for state, want := range map[string]State{"ready": Ready, "draining": Draining, "unknown": Draining} {
		heartbeat, err := ParseHeartbeat("i-1", []byte(fmt.Sprintf(`{"service":"s","address":"1.2.3.4:5","state":%q}`, state)))
		if err != nil || heartbeat.State != want {
			t.Errorf("state %q parsed as %v, error %v; want %v", state, heartbeat.State, err, want)
		}
	}
}

func TestParseHeartbeat_rejectsInvalidBodies(t *testing.T) {
	large := strings.Repeat("x", maxNameBytes+1)
	withMember := func(member string) string { return `{"service":"s","address":"1.2.3.4:5",` + member + `}` }
	for body, want := range map[string]Code{
		``:                                    Malformed,
		`[]`:                                  Malformed,
		`{"service":"s"`:                      Malformed,
		exampleHeartbeat + `{}`:               Malformed,
		`{"address":"1.2.3.4:5"}`:             MissingField,
		`{"service":"s"}`:                     MissingField,
		`{"service":"s","address":"host:80"}`: InvalidField,
		`{"service":"s","address":"1.2.3.4"}`: InvalidField,
		`{"service":"@nodes","address":"1.2.3.4:5"}`:                        InvalidField,
		withMember(`"slots":"4"`):                                           InvalidField,
		withMember(`"slots":1e300`):                                         InvalidField,
		withMember(`"sequence":-1`):                                         InvalidField,
		withMember(`"sequence":1.5`):                                        InvalidField,
		withMember(`"models":{}`):                                           InvalidField,
		withMember(`"models":["m"]`):                                        InvalidField,
		withMember(`"zone":"` + large + `"`):                                TooLarge,
		withMember(`"models":[` + strings.Repeat(`{},`, maxModels) + `{}]`): TooLarge,
		strings.Repeat(" ", maxBodyBytes+1):                                 TooLarge,
	} {
		_, err := ParseHeartbeat("i-1", []byte(body))
		var rejection *Rejection
		if !errors.As(err, &rejection) || rejection.Code != want {
			t.Errorf("body %.80s: error %v, want code %v", body, err, want)
		}
	}
	if _, err := ParseHeartbeat("", []byte(exampleHeartbeat)); err == nil {
		t.Error("a heartbeat without an ID was accepted")
	}
	if _, err := ParseHeartbeat(large, []byte(exampleHeartbeat)); err == nil {
		t.Errorf("a heartbeat with an ID of %d bytes was accepted, the limit is %d", len(large), maxNameBytes)
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
			t.Fatalf("encoded item of %+v decoded as %+v, error %v", heartbeat.Instance, decoded, err)
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
			t.Fatalf("restore the snapshot after entry %x: %v", entry, err)
		}
	})
}

func TestCodes_distinctAndAscending(t *testing.T) {
	entries := Codes()
	names := map[string]bool{}
	for position, entry := range entries {
		if position > 0 && entry.Code <= entries[position-1].Code || names[entry.Name] || entry.Text == "" {
			t.Errorf("entry %d is %+v, want an ascending code, a unique name and a text", position, entry)
		}
		names[entry.Name] = true
	}
}
