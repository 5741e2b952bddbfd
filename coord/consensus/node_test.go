package consensus

import (
	"errors"
	"testing"
)

func TestPersistedState_Check(t *testing.T) {
	gap := persistedLog(2, 2)
	gap.Entries = gap.Entries[1:]
	for name, test := range map[string]struct {
		state PersistedState
		want  error
	}{
		"empty disk":       {},
		"bootstrap":        {state: persistedLog()},
		"entries":          {state: persistedLog(2, 3)},
		"gap":              {state: gap, want: ErrInvalidState},
		"decreasing terms": {state: persistedLog(3, 2), want: ErrInvalidState},
		"without snapshot": {state: PersistedState{Entries: []Entry{{Term: 1, Index: 1}}}, want: ErrInvalidState},
	} {
		t.Run(name, func(t *testing.T) {
			if err := test.state.Check(); !errors.Is(err, test.want) {
				t.Errorf("Check of %+v: %v, want %v", test.state, err, test.want)
			}
		})
	}
}

func TestNew_termIsAtLeastThatOfTheLastEntry(t *testing.T) {
	stored := persistedLog(2, 7)
	stored.HardState = HardState{Term: 6, Vote: 3}
	n := newRuleNode(t, stored)
	if term := n.Status().Term; term != 7 {
		t.Fatalf("term %d with a stored term 6 and a last entry of term 7, want 7", term)
	}
	ready := n.Ready()
	if ready.Persist == nil || ready.Persist.HardState.Term != 7 || ready.Persist.HardState.Vote != 0 {
		t.Fatalf("persist request %+v, want term 7 without a vote", ready.Persist)
	}
}
