package consensus

import "testing"

func TestGroup_replicatesCommandsInOrder(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	g.elect()
	g.propose("a")
	g.propose("b")
	for _, id := range g.ids {
		g.wantApplied(id, "a", "b")
	}
}

func TestGroup_continuesWithoutAMinority(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	g.elect()
	g.propose("a")
	oldLeader := g.leader()
	g.members[oldLeader].stopped = true
	g.elect()
	g.propose("b")
	for _, id := range g.others(oldLeader) {
		g.wantApplied(id, "a", "b")
	}
	g.restart(oldLeader)
	g.run(2 * testElectionTimeout)
	g.wantApplied(oldLeader, "a", "b")
}

func TestGroup_soleVoterCommitsAndReads(t *testing.T) {
	g := newTestGroup(t, 1)
	node := g.elect()
	g.propose("a")
	g.wantApplied(1, "a")
	if err := node.ReadIndex(g.now, 5); err != nil {
		t.Fatalf("ReadIndex at the only voter: %v", err)
	}
	g.deliverAll()
	if len(g.members[1].reads) != 1 || !g.members[1].reads[0].OK {
		t.Fatalf("reads of the only voter: %+v, want one with OK", g.members[1].reads)
	}
}

func TestGroup_emptyDiskRejoinsAsLearnerThenVoter(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	g.propose("a")
	replaced := g.others(g.leader())[0]
	g.members[replaced].stopped = true
	g.add(9, PersistedState{})
	g.run(testElectionTimeout)
	if status := g.members[9].node.Status(); status.Term != 0 || status.Role != RoleFollower {
		t.Fatalf("member with an empty disk: status %+v, want a follower of term 0", status)
	}
	added := Member{ID: 9, Address: "10.0.0.9:1"}
	g.changeMembers(MembershipChange{Add: &added})
	g.run(testElectionTimeout)
	g.wantApplied(9, "a")
	added.Voter = true
	g.changeMembers(MembershipChange{Add: &added})
	g.changeMembers(MembershipChange{Remove: replaced})
	g.propose("b")
	g.wantApplied(9, "a", "b")
	if members := leader.Status().Members; len(members) != 3 {
		t.Fatalf("after one voter was replaced: members %+v, want 3", members)
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
		t.Fatal("first index is 2 after Compact, want a higher one")
	}
	g.add(9, PersistedState{})
	g.changeMembers(MembershipChange{Add: &Member{ID: 9, Address: "10.0.0.9:1"}})
	g.run(testElectionTimeout)
	g.propose("b")
	g.wantApplied(9, "b")
	if g.members[9].restoredState != "state" {
		t.Fatalf("new learner restored the state %q, want %q", g.members[9].restoredState, "state")
	}
	g.restart(9)
	g.run(testElectionTimeout)
	g.wantApplied(9, "b")
}
