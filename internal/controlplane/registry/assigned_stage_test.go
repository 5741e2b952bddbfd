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
		t.Fatalf("%+v %v", decoded, err)
	}
	apply(t, store, EncodeAssign("a", "prefill"), Unchanged)
	apply(t, store, EncodePut(instance, 2), Unchanged)
	if !SameRecord(*store.Instance("a"), instance) {
		t.Fatal("a heartbeat that agrees with the record counts as a change")
	}
	instance.Stage = "prefill"
	apply(t, store, EncodePut(instance, 3), Recorded)
	if current := store.Instance("a"); current.Transitioning() || current.Assigned != "prefill" {
		t.Fatalf("%+v", current)
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
		t.Fatal("a late heartbeat reverted it")
	}
	draining := *store.Instance("a")
	draining.State = Draining
	apply(t, store, EncodePut(draining, 5), Recorded)
	apply(t, store, EncodeStage("a", "decode"), Recorded)
	if store.Instance("a").State != Draining {
		t.Fatal("a drain was revoked")
	}
}

func TestStore_Snapshot_includesAssignedStage(t *testing.T) {
	store := NewStore()
	apply(t, store, EncodePut(exampleInstance("a", "1.2.3.4:5"), 1), Recorded)
	apply(t, store, EncodeAssign("a", "prefill"), Recorded)
	restored := NewStore()
	if err := restored.Restore(store.Snapshot()); err != nil || restored.Instance("a").Assigned != "prefill" {
		t.Fatalf("%+v %v", restored.Instance("a"), err)
	}
}

func TestStore_Restore_readsFormatV1(t *testing.T) {
	instance := exampleInstance("a", "1.2.3.4:5")
	value := mustMarshal(itemSchemaV1, recordOf(instance))
	earlier := mustMarshal(snapshotSchema, snapshotRecord{
		Format: snapshotFormatV1, Instances: []snapshotInstance{{Sequence: 7, Value: value}},
	})
	store := NewStore()
	if err := store.Restore(earlier); err != nil || !SameRecord(*store.Instance("a"), instance) {
		t.Fatalf("%+v %v", store.Instance("a"), err)
	}
	var record instanceRecord
	if strictavro.Unmarshal(codec, itemSchema, value, &record) == nil {
		t.Fatal("an item of format 1 was decoded as one of the present format")
	}
	var state snapshotRecord
	if err := strictavro.Unmarshal(codec, snapshotSchema, store.Snapshot(), &state); err != nil || state.Format != snapshotFormat {
		t.Fatal(state.Format, err)
	}
}
