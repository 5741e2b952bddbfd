package orders

import (
	"testing"

	"ospreybend/internal/testkit/golden"
)

// valueRow is a row of a value of the replicated log.
func valueRow[T any](name string, value T) golden.Row {
	return golden.Row{
		Name: name, Value: value,
		Encode: func() ([]byte, error) { return Encode(value) },
		Decode: func(encoded []byte) (any, error) {
			var read T
			err := Decode(encoded, &read)
			return read, err
		},
	}
}

// compatibilityOrders are one entry of each kind, in an order that a machine accepts.
func compatibilityOrders() []golden.Row {
	zones := map[string]Zone{
		"north": {Phase: Trying, Share: 0.5, Chosen: 0.25, Step: 3, Failures: 2, Cut: []string{"south"}, Reason: "errors", Since: 9},
		"south": {Phase: Left, Reason: "silent"},
	}
	return []golden.Row{
		valueRow("start", Order{ID: "order-1", Start: &Start{Voter: 2, Store: "store-a", Runs: 5}}),
		valueRow("change", Order{ID: "order-2", Change: &Change{Zones: zones, Admit: map[string]float64{"batch": 0.5}, Admits: true}}),
		valueRow("word", Order{ID: "order-3", Word: &Word{Zone: "north", Do: DoHold, Reason: "maintenance", Until: 1790000000000000}}),
		valueRow("restart", Order{ID: "order-4", Start: &Start{Voter: 2, Store: "store-a", Runs: 5}}),
	}
}

// compatibilityRows are the entries, the table and the snapshot that they lead to.
func compatibilityRows() []golden.Row {
	machine := NewMachine()
	rows := compatibilityOrders()
	for index, row := range rows {
		encoded, err := row.Encode()
		if err != nil {
			panic(err) // the rows are constant
		}
		machine.Apply(uint64(index+1), encoded)
	}
	return append(rows, valueRow("table", *machine.Table()), golden.Row{
		Name: "snapshot", Value: *machine.Table(),
		Encode: machine.Snapshot,
		Decode: func(snapshot []byte) (any, error) {
			restored := NewMachine()
			err := restored.Restore(snapshot)
			return *restored.Table(), err
		},
	})
}

func TestOrders_asVersion8782861(t *testing.T) {
	golden.Check(t, compatibilityRows())
	restored := NewMachine()
	if err := restored.Restore(golden.Read(t, "snapshot")); err != nil {
		t.Fatal(err)
	}
	if !restored.OldStore(2, "store-a") {
		t.Error("the start from an older copy of the store is not in the snapshot")
	}
}
