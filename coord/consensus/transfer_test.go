package consensus

import (
	"errors"
	"testing"
)

func TestNode_TransferLeadership_electsTheTarget(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	to := g.others(g.leader())[1]
	before := g.now
	if err := leader.TransferLeadership(g.now, to); err != nil {
		t.Fatal(err)
	}
	if _, _, err := leader.Propose(g.now, nil); !errors.Is(err, ErrTransferInProgress) {
		t.Fatalf("propose during a transfer: %v", err)
	}
	g.deliverAll()
	if g.leader() != to || g.now != before {
		t.Fatalf("leader %d at %v, want %d at %v", g.leader(), g.now, to, before)
	}
}

func TestNode_SetWritable_stalledDiskTransfersLeadership(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	first := g.leader()
	g.run(testElection)
	g.members[first].stalled = true
	g.propose("a")
	g.wantApplied(first, "a")
	leader.SetWritable(g.now, false)
	g.deliverAll()
	if g.leader() == first || g.leader() == 0 {
		t.Fatalf("leader %d, was %d", g.leader(), first)
	}
	g.run(4 * testElection)
	if g.leader() == first {
		t.Fatal("a member whose disk takes no writes leads again")
	}
}
