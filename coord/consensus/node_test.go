package consensus

import (
	"errors"
	"testing"
)

func TestPersistedState_Check_rejectsInvalidState(t *testing.T) {
	gap := persistedLog(2, 2)
	gap.Entries = gap.Entries[1:]
	falling := persistedLog(3, 2)
	for name, stored := range map[string]PersistedState{
		"gap":              gap,
		"falling terms":    falling,
		"without snapshot": {Entries: []Entry{{Term: 1, Index: 1}}},
	} {
		if err := stored.Check(); !errors.Is(err, ErrInvalidState) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, stored := range map[string]PersistedState{"empty": {}, "founding": persistedLog(), "entries": persistedLog(2, 3)} {
		if err := stored.Check(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestNew_termIsAtLeastThatOfTheLastEntry(t *testing.T) {
	stored := persistedLog(2, 7)
	stored.HardState = HardState{Term: 6, Vote: 3}
	n := newRuleNode(t, stored)
	if term := n.Status().Term; term != 7 {
		t.Fatalf("term %d", term)
	}
	ready := n.Ready()
	if ready.Persist == nil || ready.Persist.HardState.Term != 7 || ready.Persist.HardState.Vote != 0 {
		t.Fatalf("persist %+v", ready.Persist)
	}
}
