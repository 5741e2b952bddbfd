package commands

import (
	"testing"

	"ospreybend/internal/node/zones/encoding"
	"ospreybend/internal/testkit/golden"
)

// valueRow returns a golden row for a value that is stored in the replicated log.
func valueRow[T any](name string, value T) golden.Row {
	return golden.Row{
		Name: name, Value: value,
		Encode: func() ([]byte, error) { return encoding.Marshal(value) },
		Decode: func(encoded []byte) (any, error) {
			var read T
			err := encoding.Unmarshal(encoded, &read)
			return read, err
		},
	}
}

// compatibilityCommands returns rows for commands of each kind. The last one registers a start count a second
// time, as a store restored from an older copy does.
func compatibilityCommands() []golden.Row {
	zones := map[string]ZoneState{
		"north": {Phase: PhaseProbing, Share: 0.5, ProbeFraction: 0.25, Step: 3, Failures: 2, UnreachableFrom: []string{"south"}, Reason: "errors", SinceEpoch: 9},
		"south": {Phase: PhaseEvacuated, Reason: "silent"},
	}
	return []golden.Row{
		valueRow("start", Command{ID: "order-1", Start: &VoterStart{Voter: 2, Store: "store-a", Starts: 5}}),
		valueRow("change", Command{ID: "order-2", Change: &Change{Zones: zones, Admission: map[string]float64{"batch": 0.5}, SetsAdmission: true}}),
		valueRow("word", Command{ID: "order-3", Override: &Override{Zone: "north", Action: OverrideFreeze, Reason: "maintenance", Until: 1790000000000000}}),
		valueRow("restart", Command{ID: "order-4", Start: &VoterStart{Voter: 2, Store: "store-a", Starts: 5}}),
	}
}

// compatibilityRows returns rows for the commands, and for the table and the snapshot after applying them.
func compatibilityRows() []golden.Row {
	machine := NewStateMachine()
	rows := compatibilityCommands()
	for index, row := range rows {
		encoded, err := row.Encode()
		if err != nil {
			panic(err) // the commands are constant and can be encoded
		}
		machine.Apply(uint64(index+1), encoded)
	}
	return append(rows, valueRow("table", *machine.Table()), golden.Row{
		Name: "snapshot", Value: *machine.Table(),
		Encode: machine.Snapshot,
		Decode: func(snapshot []byte) (any, error) {
			restored := NewStateMachine()
			err := restored.Restore(snapshot)
			return *restored.Table(), err
		},
	})
}

// The encodings equal those of version 8782861, and its snapshot can be restored.
func TestCommands_asVersion8782861(t *testing.T) {
	golden.Check(t, compatibilityRows())
	restored := NewStateMachine()
	if err := restored.Restore(golden.Read(t, "snapshot")); err != nil {
		t.Fatal(err)
	}
	if !restored.StoreRolledBack(2, "store-a") {
		t.Error("StoreRolledBack is false after restoring the golden snapshot, want true: it records a start from an older copy of the store")
	}
}
