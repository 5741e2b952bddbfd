package commands

import (
	"errors"
	"testing"

	"ospreybend/internal/node/zones/encoding"
)

// applyEncoded applies the encoded command as a log entry and returns the error passed to OnApplied.
func applyEncoded(t *testing.T, m *StateMachine, command Command) (got error) {
	t.Helper()
	data, err := encoding.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	m.OnApplied = func(_ Command, err error) { got = err }
	m.Apply(1, data)
	return got
}

func evacuateZoneB(expectedEpoch uint64) *Change {
	return &Change{ExpectedEpoch: expectedEpoch, Zones: map[string]ZoneState{"b": {Phase: PhaseEvacuated, Failures: 1}}}
}

// A change computed for an earlier epoch is rejected, and so is a command with an ID applied before.
func TestStateMachine_Apply_rejectsStaleAndDuplicate(t *testing.T) {
	m := NewStateMachine()
	if err := applyEncoded(t, m, Command{ID: "1", Change: evacuateZoneB(0)}); err != nil || m.Table().Epoch != 1 || m.Table().Zone("b").SinceEpoch != 1 {
		t.Fatalf("the first change: error %v, table %+v; want no error, epoch 1 and zone b changed in it", err, m.Table())
	}
	reactivation := &Change{ExpectedEpoch: 0, Zones: map[string]ZoneState{"b": {Phase: PhaseActive, Share: 1}}}
	if err := applyEncoded(t, m, Command{ID: "2", Change: reactivation}); !errors.Is(err, ErrStale) || m.Table().Zone("b").Phase != PhaseEvacuated {
		t.Errorf("a stale change: error %v, table %+v; want ErrStale and zone b still evacuated", err, m.Table())
	}
	if err := applyEncoded(t, m, Command{ID: "1", Change: evacuateZoneB(1)}); err == nil || m.Table().Epoch != 1 {
		t.Errorf("a duplicate ID: error %v, epoch %d; want an error and epoch 1", err, m.Table().Epoch)
	}
	m.DisabledCheck = "expect"
	if err := applyEncoded(t, m, Command{ID: "3", Change: reactivation}); err != nil || m.Table().Zone("b").Phase != PhaseActive {
		t.Errorf("a stale change without the epoch check: error %v, table %+v; want no error and zone b active", err, m.Table())
	}
}

// Invalid commands are rejected and leave the epoch unchanged.
func TestStateMachine_Apply_rejectsInvalid(t *testing.T) {
	m := NewStateMachine()
	for name, command := range map[string]Command{
		"no ID":                   {Change: evacuateZoneB(0)},
		"no content":              {ID: "1"},
		"share above 1":           {ID: "2", Change: &Change{Zones: map[string]ZoneState{"b": {Share: 2}}}},
		"unknown phase":           {ID: "3", Change: &Change{Zones: map[string]ZoneState{"b": {Phase: 9}}}},
		"override without zone":   {ID: "4", Override: &Override{Action: OverrideEvacuate, Reason: "r", Until: 1}},
		"override without action": {ID: "5", Override: &Override{Zone: "b", Reason: "r", Until: 1}},
		"override without end":    {ID: "6", Override: &Override{Zone: "b", Action: OverrideFreeze, Reason: "r"}},
		"override without reason": {ID: "7", Override: &Override{Zone: "b", Action: OverrideFreeze, Until: 1}},
	} {
		if err := applyEncoded(t, m, command); err == nil || m.Table().Epoch != 0 {
			t.Errorf("%s: error %v, epoch %d; want an error and epoch 0", name, err, m.Table().Epoch)
		}
	}
	var got error
	m.OnApplied = func(_ Command, err error) { got = err }
	if m.Apply(1, []byte("not a command")); got == nil {
		t.Error("an undecodable command is applied without error")
	}
	if err := m.Restore([]byte{1, 2}); err == nil {
		t.Error("an undecodable snapshot is restored without error")
	}
}

// A store whose start count does not grow was restored from an older copy. A new store with another ID may
// begin at 1.
func TestStateMachine_Apply_detectsRolledBackStore(t *testing.T) {
	m := NewStateMachine()
	for i, start := range []VoterStart{{2, "x", 1}, {2, "x", 2}, {2, "y", 1}} {
		if err := applyEncoded(t, m, Command{ID: string(rune('a' + i)), Start: &start}); err != nil {
			t.Fatalf("start %+v: %v", start, err)
		}
	}
	if err := applyEncoded(t, m, Command{ID: "z", Start: &VoterStart{2, "y", 1}}); !errors.Is(err, ErrStoreRolledBack) || !m.StoreRolledBack(2, "y") || m.StoreRolledBack(2, "x") {
		t.Errorf("a start count that does not grow: error %v, rolled back: y %v, x %v; want ErrStoreRolledBack and only y",
			err, m.StoreRolledBack(2, "y"), m.StoreRolledBack(2, "x"))
	}
	// The state survives a snapshot.
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewStateMachine()
	if err := restored.Restore(data); err != nil || !restored.StoreRolledBack(2, "y") {
		t.Errorf("after Restore: error %v, store y rolled back %v; want no error and true", err, restored.StoreRolledBack(2, "y"))
	}
}
