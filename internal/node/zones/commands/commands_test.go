package commands

import (
	"errors"
	"testing"

	"ospreybend/internal/node/zones/encoding"
)

func applyTo(t *testing.T, m *StateMachine, o Command) (got error) {
	t.Helper()
	data, err := encoding.Marshal(o)
	if err != nil {
		t.Fatal(err)
	}
	m.OnApplied = func(_ Command, err error) { got = err }
	m.Apply(1, data)
	return got
}

func evacuation(expect uint64) *Change {
	return &Change{ExpectedEpoch: expect, Zones: map[string]ZoneState{"b": {Phase: PhaseEvacuated, Failures: 1}}}
}

// A change for an earlier epoch is rejected, and so is a duplicate.
func TestStateMachine_Apply_rejectsStaleAndDuplicate(t *testing.T) {
	m := NewStateMachine()
	if err := applyTo(t, m, Command{ID: "1", Change: evacuation(0)}); err != nil || m.Table().Epoch != 1 || m.Table().Zone("b").SinceEpoch != 1 {
		t.Fatalf("%v, %+v", err, m.Table())
	}
	back := &Change{ExpectedEpoch: 0, Zones: map[string]ZoneState{"b": {Phase: PhaseActive, Share: 1}}}
	if err := applyTo(t, m, Command{ID: "2", Change: back}); !errors.Is(err, ErrStale) || m.Table().Zone("b").Phase != PhaseEvacuated {
		t.Errorf("a stale change: %v, %+v", err, m.Table())
	}
	if err := applyTo(t, m, Command{ID: "1", Change: evacuation(1)}); err == nil || m.Table().Epoch != 1 {
		t.Errorf("a duplicate: %v, epoch %d", err, m.Table().Epoch)
	}
	m.DisabledCheck = "expect"
	if err := applyTo(t, m, Command{ID: "3", Change: back}); err != nil || m.Table().Zone("b").Phase != PhaseActive {
		t.Error("without the check a stale change is still rejected")
	}
}

// Invalid commands are rejected and change nothing.
func TestStateMachine_Apply_rejectsInvalid(t *testing.T) {
	m := NewStateMachine()
	for name, o := range map[string]Command{
		"no id":    {Change: evacuation(0)},
		"nothing":  {ID: "1"},
		"share":    {ID: "2", Change: &Change{Zones: map[string]ZoneState{"b": {Share: 2}}}},
		"phase":    {ID: "3", Change: &Change{Zones: map[string]ZoneState{"b": {Phase: 9}}}},
		"no zone":  {ID: "4", Override: &Override{Action: OverrideEvacuate, Reason: "r", Until: 1}},
		"no do":    {ID: "5", Override: &Override{Zone: "b", Reason: "r", Until: 1}},
		"no end":   {ID: "6", Override: &Override{Zone: "b", Action: OverrideFreeze, Reason: "r"}},
		"no cause": {ID: "7", Override: &Override{Zone: "b", Action: OverrideFreeze, Until: 1}},
	} {
		if err := applyTo(t, m, o); err == nil || m.Table().Epoch != 0 {
			t.Errorf("%s: %v, epoch %d", name, err, m.Table().Epoch)
		}
	}
	var got error
	m.OnApplied = func(_ Command, err error) { got = err }
	if m.Apply(1, []byte("no order")); got == nil {
		t.Error("an undecodable command is accepted")
	}
	if err := m.Restore([]byte{1, 2}); err == nil {
		t.Error("an undecodable snapshot is accepted")
	}
}

// A store whose start count falls was restored from an older copy; a new store with another ID was not.
func TestStateMachine_Apply_detectsRolledBackStore(t *testing.T) {
	m := NewStateMachine()
	for i, s := range []VoterStart{{2, "x", 1}, {2, "x", 2}, {2, "y", 1}} {
		if err := applyTo(t, m, Command{ID: string(rune('a' + i)), Start: &s}); err != nil {
			t.Fatal(err)
		}
	}
	if err := applyTo(t, m, Command{ID: "z", Start: &VoterStart{2, "y", 1}}); !errors.Is(err, ErrStoreRolledBack) || !m.StoreRolledBack(2, "y") || m.StoreRolledBack(2, "x") {
		t.Errorf("%v", err)
	}
	// The state survives a snapshot.
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	other := NewStateMachine()
	if err := other.Restore(data); err != nil || !other.StoreRolledBack(2, "y") {
		t.Errorf("restored: %v", err)
	}
}
