package registry

import (
	"testing"

	"ospreybend/internal/util/strictavro"
)

func TestStore_Apply_assignedStageSurvivesHeartbeats(t *testing.T) {
	store := NewStore()
	instance := exampleInstance("a", "1.2.3.4:5")
	apply(t, store, EncodePut(instance, 1), Recorded)
	change := apply(t, store, EncodeAssign("a", "prefill"), Recorded)
	decoded, err := DecodeItem(change.Put[0].Value)
	if err != nil || decoded.Assigned != "prefill" || decoded.Stage != "decode" || !decoded.Transitioning() {
		t.Fatalf("decoded item %+v, error %v; want stage decode, assigned prefill", decoded, err)
	}
	apply(t, store, EncodeAssign("a", "prefill"), Unchanged)
	apply(t, store, EncodePut(instance, 2), Unchanged)
	if !SameRecord(*store.Instance("a"), instance) {
		t.Fatal("SameRecord is false for a heartbeat that differs from the record only in the assigned stage")
	}
	instance.Stage = "prefill"
	apply(t, store, EncodePut(instance, 3), Recorded)
	if current := store.Instance("a"); current.Transitioning() || current.Assigned != "prefill" {
		t.Fatalf("record after the worker reported its assigned stage is %+v, want assigned prefill and not transitioning", current)
	}
	apply(t, store, EncodeAssign("a", ""), Recorded)
	apply(t, store, EncodeAssign("b", "prefill"), Gone)
	apply(t, store, EncodeStage("b", "prefill"), Gone)
}

func TestStore_Apply_recordsPolledStage(t *testing.T) {
	store := NewStore()
	instance := exampleInstance("a", "1.2.3.4:5")
	apply(t, store, EncodePut(instance, 4), Recorded)
	apply(t, store, EncodeStage("a", "prefill"), Recorded)
	apply(t, store, EncodePut(instance, 3), Stale)
	if store.Instance("a").Stage != "prefill" {
		t.Fatalf("stage after a late heartbeat is %q, want the polled stage prefill", store.Instance("a").Stage)
	}
	draining := *store.Instance("a")
	draining.State = Draining
	apply(t, store, EncodePut(draining, 5), Recorded)
	apply(t, store, EncodeStage("a", "decode"), Recorded)
	if store.Instance("a").State != Draining {
		t.Fatalf("state after recording a polled stage is %v, want %v", store.Instance("a").State, Draining)
	}
}

func TestStore_Snapshot_includesAssignedStage(t *testing.T) {
	store := NewStore()
	apply(t, store, EncodePut(exampleInstance("a", "1.2.3.4:5"), 1), Recorded)
	apply(t, store, EncodeAssign("a", "prefill"), Recorded)
	restored := NewStore()
	if err := restored.Restore(store.Snapshot()); err != nil || restored.Instance("a").Assigned != "prefill" {
		t.Fatalf("restored instance %+v, error %v; want assigned prefill", restored.Instance("a"), err)
	}
}

func TestStore_Restore_readsFormatV1(t *testing.T) {
	instance := exampleInstance("a", "1.2.3.4:5")
	value := mustMarshal(itemSchemaV1, newInstanceRecord(instance))
	snapshotV1 := mustMarshal(snapshotSchema, snapshotRecord{
		Format: snapshotFormatV1, Instances: []snapshotInstance{{Sequence: 7, Value: value}},
	})
	store := NewStore()
	if err := store.Restore(snapshotV1); err != nil || !SameRecord(*store.Instance("a"), instance) {
		t.Fatalf("instance restored from format 1 is %+v, error %v; want %+v", store.Instance("a"), err, instance)
	}
	var record instanceRecord
	if strictavro.Unmarshal(codec, itemSchema, value, &record) == nil {
		t.Fatal("an item of format 1 was decoded with the schema of the current format")
	}
	var state snapshotRecord
	if err := strictavro.Unmarshal(codec, snapshotSchema, store.Snapshot(), &state); err != nil || state.Format != snapshotFormat {
		t.Fatalf("new snapshot has format %d, error %v; want format %d", state.Format, err, snapshotFormat)
	}
}
