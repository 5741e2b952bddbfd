package consensus

import (
	"errors"
	"testing"
	"time"
)

func TestGroup_replicatesCommandsInOrder(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	g.elect()
	g.propose("a")
	g.propose("b")
	for _, id := range g.order {
		g.wantApplied(id, "a", "b")
	}
}

func TestGroup_continuesWithoutAMinority(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	g.elect()
	g.propose("a")
	first := g.leader()
	g.members[first].stopped = true
	g.elect()
	g.propose("b")
	for _, id := range g.others(first) {
		g.wantApplied(id, "a", "b")
	}
	g.restart(first)
	g.run(2 * testElection)
	g.wantApplied(first, "a", "b")
}

func TestGroup_soleVoterCommitsAndReads(t *testing.T) {
	g := newTestGroup(t, 1)
	node := g.elect()
	g.propose("a")
	g.wantApplied(1, "a")
	if err := node.ReadIndex(g.now, 5); err != nil {
		t.Fatal(err)
	}
	g.deliverAll()
	if len(g.members[1].reads) != 1 || !g.members[1].reads[0].OK {
		t.Fatalf("reads %v", g.members[1].reads)
	}
}

func TestGroup_emptyDiskRejoinsAsLearnerThenVoter(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	g.propose("a")
	lost := g.others(g.leader())[0]
	g.members[lost].stopped = true
	g.add(9, PersistedState{})
	g.run(testElection)
	if status := g.members[9].node.Status(); status.Term != 0 || status.Role != RoleFollower {
		t.Fatalf("a member with an empty disk is active: %+v", status)
	}
	added := Member{ID: 9, Address: "10.0.0.9:1"}
	g.change(MembershipChange{Add: &added})
	g.run(testElection)
	g.wantApplied(9, "a")
	added.Voter = true
	g.change(MembershipChange{Add: &added})
	g.change(MembershipChange{Remove: lost})
	g.propose("b")
	g.wantApplied(9, "a", "b")
	if members := leader.Status().Members; len(members) != 3 {
		t.Fatalf("members %v", members)
	}
}

func TestGroup_learnerReceivesSnapshotThenEntries(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	for range 400 {
		g.propose("x")
	}
	leader.Compact(leader.Status().AppliedIndex, nil, []byte("state"))
	if leader.Status().FirstIndex == 2 {
		t.Fatal("nothing was compacted")
	}
	g.add(9, PersistedState{})
	g.change(MembershipChange{Add: &Member{ID: 9, Address: "10.0.0.9:1"}})
	g.run(testElection)
	g.propose("b")
	g.wantApplied(9, "b")
	if g.members[9].restoredState != "state" {
		t.Fatalf("state %q", g.members[9].restoredState)
	}
	g.restart(9)
	g.run(testElection)
	g.wantApplied(9, "b")
}

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

func TestGroup_idleSendsHeartbeatsOnly(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	g.elect()
	g.run(testElection)
	g.sent = 0
	g.run(10 * testHeartbeat)
	if want := 2 * 2 * 10; g.sent > want {
		t.Fatalf("%d messages in %v, want at most %d", g.sent, 10*testHeartbeat, want)
	}
	for _, id := range g.order {
		if id != g.leader() && g.members[id].node.NextTick() < g.now+testElection/2 {
			t.Fatal("a follower has a tick too early")
		}
	}
}

func TestStatus_ConfirmedAt_isRecentOnConnectedMembers(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	g.elect()
	for _, id := range g.order {
		if age := g.now - g.members[id].node.Status().ConfirmedAt; age > 2*testHeartbeat {
			t.Errorf("member %d: confirmed %v ago", id, age)
		}
	}
	partitioned := g.others(g.leader())[0]
	g.members[partitioned].stopped = true
	g.run(2 * time.Second)
	if age := g.now - g.members[partitioned].node.Status().ConfirmedAt; age < 2*time.Second {
		t.Errorf("partitioned member: confirmed %v ago", age)
	}
}
