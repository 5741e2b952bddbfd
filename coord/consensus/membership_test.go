package consensus

import (
	"errors"
	"slices"
	"testing"
)

func TestNode_ChangeMembers_retiredMemberNeverReturns(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	g.run(testElection)
	replaced := g.others(g.leader())[0]
	g.change(MembershipChange{Remove: replaced, Retire: true})
	if members := leader.Status().Members; len(members) != 2 {
		t.Fatalf("members %v", members)
	}
	if err := leader.ChangeMembers(g.now, MembershipChange{Add: &Member{ID: replaced}}); !errors.Is(err, ErrMembershipChange) {
		t.Fatalf("the retired member is added again: %v", err)
	}
	if err := leader.ChangeMembers(g.now, MembershipChange{Add: &Member{ID: 9, Retired: true}}); !errors.Is(err, ErrMembershipChange) {
		t.Fatalf("a tombstone is added as a member: %v", err)
	}
	tombstone := Member{ID: replaced, Retired: true}
	for _, id := range []MemberID{g.leader(), g.others(g.leader())[1]} {
		status := g.members[id].node.Status()
		snapshot, known := g.members[id].node.SnapshotAt(status.AppliedIndex, nil)
		if !known || !slices.Contains(snapshot.Members, tombstone) {
			t.Fatalf("the snapshot of member %d has no tombstone: %v", id, snapshot.Members)
		}
		restarted := New(testConfig(id), PersistedState{HardState: HardState{Term: status.Term}, Snapshot: snapshot}, g.now)
		if !slices.Contains(restarted.recorded(), tombstone) || len(restarted.Status().Members) != 2 {
			t.Fatalf("member %d lost the tombstone in a restart: %v", id, restarted.recorded())
		}
	}
}

func TestNode_Step_truncationUndoesRetirement(t *testing.T) {
	stored := persistedLog(2)
	stored.Entries[0].Kind = EntryMembership
	stored.Entries[0].Members = append(testVoters(1, 2), Member{ID: 3, Retired: true})
	n := newRuleNode(t, stored)
	n.step(Message{Kind: MessageAppendEntries, From: 2, Term: 5, LogIndex: 1, LogTerm: 1, Entries: []Entry{{Term: 5, Index: 2}}})
	if recorded := n.recorded(); !slices.Equal(recorded, testVoters(1, 2, 3)) {
		t.Fatalf("recorded %v", recorded)
	}
}

func TestApplyChange_retiredMembersAreBounded(t *testing.T) {
	recorded := testVoters(1)
	for id := MemberID(100); id < 100+2*maxRetiredMembers; id++ {
		added := append(recorded, Member{ID: id})
		recorded, _ = applyChange(added, MembershipChange{Remove: id, Retire: true})
	}
	if len(recorded) != 1+maxRetiredMembers || recorded[1].ID != 100+maxRetiredMembers || !recorded[0].Voter {
		t.Fatalf("%d recorded, the oldest %+v", len(recorded), recorded[1])
	}
}

func TestNode_CanPromote_requiresDurableLogAndContact(t *testing.T) {
	stored := persistedLog()
	stored.Snapshot.Members = append(stored.Snapshot.Members, Member{ID: 4})
	n := newRuleNode(t, stored)
	n.becomeLeader()
	n.persistAll()
	n.ackAppend(2, 2)
	n.ackHeartbeat(2)
	promotion := MembershipChange{Add: &Member{ID: 4, Voter: true}}
	if n.CanPromote(4) || n.ChangeMembers(n.now, promotion) == nil {
		t.Fatal("promoted before it answered a heartbeat")
	}
	n.ackHeartbeat(4)
	if n.CanPromote(4) {
		t.Fatal("promoted before it acknowledged entries")
	}
	n.ackAppend(4, 2)
	if !n.CanPromote(4) || n.CanPromote(9) {
		t.Fatal("cannot be promoted, or an unknown member can")
	}
	n.now += testElection - testHeartbeat
	n.ackHeartbeat(2) // member 2 keeps answering, member 4 does not
	n.Tick(n.now)
	n.persistAll()
	n.ackHeartbeat(2)
	n.now += 2 * testHeartbeat
	n.Tick(n.now)
	if n.Status().Role != RoleLeader || n.CanPromote(4) {
		t.Fatal("promoted without recent contact, or not the leader")
	}
	if err := n.ChangeMembers(n.now, promotion); !errors.Is(err, ErrMembershipChange) {
		t.Fatalf("promotion of a learner without contact: %v", err)
	}
}

func TestNode_ChangeMembers_removedLeaderStepsDownAfterCommit(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	first := g.leader()
	g.run(testElection)
	g.change(MembershipChange{Remove: first})
	if leader.Status().Role == RoleLeader || leader.NextTick() != NoTick {
		t.Fatalf("the removed leader is still active: %+v", leader.Status())
	}
	if g.leader() == 0 {
		t.Fatal("no new leader")
	}
	g.propose("a")
	for _, id := range g.others(first) {
		g.wantApplied(id, "a")
	}
}

func TestNode_ChangeMembers_removedMemberLearnsOfItsRemoval(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	g.elect()
	g.run(testElection)
	removed := g.others(g.leader())[0]
	g.change(MembershipChange{Remove: removed})
	if members := g.members[removed].node.Status().Members; len(members) != 2 {
		t.Fatalf("members %v", members)
	}
	g.run(4 * testElection)
	if status := g.members[removed].node.Status(); status.Role != RoleFollower {
		t.Fatalf("the removed member starts an election: %+v", status)
	}
}

func TestNode_Tick_memberWithUncommittedRemovalMayCampaign(t *testing.T) {
	stored := persistedLog(2)
	stored.Entries[0].Kind, stored.Entries[0].Members = EntryMembership, testVoters(2, 3)
	n := newRuleNode(t, stored)
	if n.NextTick() == NoTick {
		t.Fatal("never starts an election")
	}
	n.now = n.NextTick()
	n.Tick(n.now)
	if !containsMessage(n.Ready().Messages, MessagePreVote, 2) {
		t.Fatal("sends no pre-vote")
	}
}

func TestNode_ChangeMembers_rejectsInvalidChanges(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	g.run(testElection)
	follower := g.others(g.leader())[0]
	for name, change := range map[string]MembershipChange{
		"new member as a voter": {Add: &Member{ID: 9, Voter: true}},
		"no ID":                 {Add: &Member{}},
		"two changes":           {Add: &Member{ID: 9}, Remove: follower},
	} {
		t.Run(name, func(t *testing.T) {
			if err := leader.ChangeMembers(g.now, change); !errors.Is(err, ErrMembershipChange) {
				t.Error(err)
			}
			g.run(2 * testHeartbeat)
		})
	}
}

// TestNode_ChangeMembers_requiresResponsiveMajority has a leader, which still leads, remove the only voter that
// answers: itself.
func TestNode_ChangeMembers_requiresResponsiveMajority(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	g.run(testElection)
	for _, id := range g.others(g.leader()) {
		g.members[id].stopped = true
	}
	g.now += testElection * 9 / 10
	leader.leader.electedAt = g.now // as if it had just been elected, so that it does not step down yet
	g.now += testElection / 2
	if err := leader.ChangeMembers(g.now, MembershipChange{Remove: g.leader()}); !errors.Is(err, ErrMembershipChange) {
		t.Error(err)
	}
}
