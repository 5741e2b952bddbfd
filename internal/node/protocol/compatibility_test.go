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

// compatibilityHandover returns a hand-over with every field set and two sockets.
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

// handoverRow returns the golden row of a hand-over. It compares decoded values, since the bytes begin with the names of
// the types, which a decoder ignores.
func handoverRow(name string, handover *Handover) golden.Row {
	return golden.Row{
		Name: name, Value: handover, SameMeaning: true, Encode: handover.Encode,
		Decode: func(encoded []byte) (any, error) { return DecodeHandover(encoded, len(handover.unread)) },
	}
}

// compatibilityRows returns a row for each kind of hand-over that a process sends to the next.
func compatibilityRows() []golden.Row {
	return []golden.Row{
		handoverRow("connection", compatibilityHandover()),
		handoverRow("learned", &Handover{Learned: []uint64{2, 1 << 63, 0, 7}}),
	}
}

func TestHandover_asVersion8782861(t *testing.T) { golden.Check(t, compatibilityRows()) }

// fieldNames returns the field names that an encoded hand-over lists ahead of its values.
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

// A process of an earlier version drops fields whose names it does not know, so no field may be added or renamed.
func TestHandover_hasTheFieldNamesOfVersion8782861(t *testing.T) {
	encoded := golden.Read(t, "connection")
	for _, name := range fieldNames() {
		if !bytes.Contains(encoded, name) {
			t.Errorf("the encoding of version 8782861 does not have the field name %s", name)
		}
	}
}
