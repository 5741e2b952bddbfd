package consensus

import (
	"errors"
	"testing"
)

func TestNode_TransferLeadership_electsTheTarget(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	target := g.others(g.leader())[1]
	before := g.now
	if err := leader.TransferLeadership(g.now, target); err != nil {
		t.Fatalf("TransferLeadership to member %d: %v", target, err)
	}
	if _, _, err := leader.Propose(g.now, nil); !errors.Is(err, ErrTransferInProgress) {
		t.Fatalf("Propose during a transfer: %v, want %v", err, ErrTransferInProgress)
	}
	g.deliverAll()
	if g.leader() != target || g.now != before {
		t.Fatalf("after the transfer: leader %d at %v, want %d at %v", g.leader(), g.now, target, before)
	}
}

func TestNode_SetWritable_stalledDiskTransfersLeadership(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	oldLeader := g.leader()
	g.run(testElectionTimeout)
	g.members[oldLeader].diskStalled = true
	g.propose("a")
	g.wantApplied(oldLeader, "a")
	leader.SetWritable(g.now, false)
	g.deliverAll()
	if g.leader() == oldLeader || g.leader() == 0 {
		t.Fatalf("leader %d after the disk of leader %d stalled, want another member", g.leader(), oldLeader)
	}
	g.run(4 * testElectionTimeout)
	if g.leader() == oldLeader {
		t.Fatalf("member %d leads again while its disk takes no writes", oldLeader)
	}
}
