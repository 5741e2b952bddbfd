package registry_test

import (
	"testing"

	"ospreybend/internal/controlplane/registry"
	"ospreybend/internal/testkit/golden"
)

func compatibilityInstance(id string) registry.Instance {
	return registry.Instance{
		ID: id, Service: "chat", Address: "192.0.2.20:8000", Zone: "zone-a", Generation: "v1", Slots: 64, State: registry.Draining,
		Stage: "decode", Models: []registry.Model{{Name: "m", Generation: 2, Adapters: []string{"a", "b"}}}, Assigned: "prefill",
	}
}

// commandRow returns a row for a command of the log. Its value is the code of applying the command to a store with one
// instance.
func commandRow(name string, command []byte, want registry.Code) golden.Row {
	return golden.Row{
		Name: name, Value: want,
		Encode: func() ([]byte, error) { return command, nil },
		Decode: func(encoded []byte) (any, error) {
			store := registry.NewStore()
			store.Apply(1, registry.EncodePut(compatibilityInstance("worker-2"), 1))
			outcome, _ := store.Apply(2, encoded)
			return outcome.Code, nil
		},
	}
}

// compatibilityRows returns rows for a command of each kind, an item of the feed, and a snapshot.
func compatibilityRows() []golden.Row {
	instance := compatibilityInstance("worker-1")
	put, remove := registry.EncodePut(instance, 1<<40), registry.EncodeRemove("worker-2", registry.Expired, 7)
	assign, stage := registry.EncodeAssign("worker-1", "prefill"), registry.EncodeStage("worker-1", "prefill")
	store := registry.NewStore()
	for index, command := range [][]byte{put, assign, registry.EncodePut(compatibilityInstance("worker-2"), 7), remove,
		registry.EncodeRemove("worker-3", registry.NeverRegistered, 0)} {
		store.Apply(uint64(index+1), command)
	}
	return []golden.Row{
		commandRow("put", put, registry.Recorded),
		commandRow("remove", remove, registry.Removed),
		commandRow("assign", registry.EncodeAssign("worker-2", "prefill"), registry.Recorded),
		commandRow("stage", registry.EncodeStage("worker-2", "prefill"), registry.Recorded),
		commandRow("stage-of-another", stage, registry.Gone),
		{
			Name: "item", Value: instance,
			Encode: func() ([]byte, error) { return registry.EncodeItem(instance), nil },
			Decode: func(value []byte) (any, error) { return registry.DecodeItem(value) },
		},
		{
			Name: "snapshot", Value: string(store.Snapshot()),
			Encode: func() ([]byte, error) { return store.Snapshot(), nil },
			Decode: func(snapshot []byte) (any, error) {
				restored := registry.NewStore()
				err := restored.Restore(snapshot)
				return string(restored.Snapshot()), err
			},
		},
	}
}

func TestForms_asVersion8782861(t *testing.T) { golden.Check(t, compatibilityRows()) }
