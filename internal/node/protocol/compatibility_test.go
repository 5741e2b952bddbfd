package protocol

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/routing"
	"ospreybend/internal/testkit/golden"
)

// compatibilityHandover has every field set, and two sockets.
func compatibilityHandover() *Handover {
	return &Handover{
		Rest: []byte("GET"), Asked: true, Began: time.Second, Since: 2 * time.Second, Size: 77,
		Call: &CallState{
			Last: true, Old: true,
			Carried: routing.OperationState{
				Operation: routing.Operation{
					Work:  routing.Work{ID: "id-1", Target: "/prepare?x=1", Idempotent: "key-1", Body: []byte("body"), Once: true},
					Class: 1, Tenant: 2, Key: 1 << 63, Cost: 3 * time.Second, HasCost: true, Repeat: true, Slots: 1.5, Memory: 2.5,
					Deadline: time.Hour,
				},
				Arrived: time.Minute,
				Tries: []balance.PriorAttempt{
					{Worker: 4, SentAt: 5, Started: 6, MayHave: true},
					{Worker: 1 << 31, SentAt: 8, Started: 9, Out: true, MayHave: true},
				},
				Until: []time.Duration{0, 11},
			},
			Steps: []StepState{{
				Try: 1, Name: "worker-1", Address: "192.0.2.20:8000", Rest: []byte("HTTP"), Head: true, Status: 200, Declined: true,
				Load: []byte("load"), Line: []byte("line"), Last: true, Kept: true, Left: 12, Chunked: true, ToEnd: true, Over: true,
			}},
		},
		unread: [][]byte{[]byte("GET"), []byte("HTTP")},
	}
}

// handoverRow is a row of a hand-over. The bytes begin with the names of the types, which a reader ignores, so the
// meaning is compared.
func handoverRow(name string, handover *Handover) golden.Row {
	return golden.Row{
		Name: name, Value: handover, SameMeaning: true, Encode: handover.Encode,
		Decode: func(encoded []byte) (any, error) { return DecodeHandover(encoded, len(handover.unread)) },
	}
}

// compatibilityRows are both kinds of hand-over that a process sends to the next.
func compatibilityRows() []golden.Row {
	return []golden.Row{
		handoverRow("connection", compatibilityHandover()),
		handoverRow("learned", &Handover{Learned: []uint64{2, 1 << 63, 0, 7}}),
	}
}

func TestHandover_asVersion8782861(t *testing.T) { golden.Check(t, compatibilityRows()) }

// memberNames returns the names of the members that an encoded hand-over lists ahead of its values.
func fieldNames() [][]byte {
	var names [][]byte
	for _, value := range []any{
		Handover{}, CallState{}, StepState{}, routing.OperationState{}, routing.Operation{}, routing.Work{}, balance.PriorAttempt{},
	} {
		fields := reflect.VisibleFields(reflect.TypeOf(value))
		for _, field := range fields {
			if field.IsExported() {
				names = append(names, []byte(field.Name))
			}
		}
	}
	return names
}

// An earlier process drops members that it does not know by name, so none may be added or have another name.
func TestHandover_hasTheFieldNamesOfVersion8782861(t *testing.T) {
	encoded := golden.Read(t, "connection")
	for _, name := range fieldNames() {
		if !bytes.Contains(encoded, name) {
			t.Errorf("member %s is not in the fixture", name)
		}
	}
}
