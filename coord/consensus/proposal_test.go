package consensus

import (
	"errors"
	"testing"
)

func TestNode_Propose_uncommittedEntriesAreBounded(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	for range maxUncommittedEntries {
		if _, _, err := leader.Propose(g.now, nil); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := leader.Propose(g.now, nil); !errors.Is(err, ErrTooManyUncommitted) {
		t.Fatalf("propose: %v", err)
	}
	g.deliverAll()
	if _, _, err := leader.Propose(g.now, nil); err != nil {
		t.Fatalf("propose after the commit: %v", err)
	}
}
