package consensus

import (
	"errors"
	"slices"
	"testing"
)

func TestNode_ChangeMembers_retiredMemberNeverReturns(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	g.run(testElectionTimeout)
	replaced := g.others(g.leader())[0]
	g.changeMembers(MembershipChange{Remove: replaced, Retire: true})
	if members := leader.Status().Members; len(members) != 2 {
		t.Fatalf("leader's members after member %d was retired: %+v, want 2", replaced, members)
	}
	if err := leader.ChangeMembers(g.now, MembershipChange{Add: &Member{ID: replaced}}); !errors.Is(err, ErrMembershipChange) {
		t.Fatalf("adding the retired member %d: %v, want %v", replaced, err, ErrMembershipChange)
	}
	if err := leader.ChangeMembers(g.now, MembershipChange{Add: &Member{ID: 9, Retired: true}}); !errors.Is(err, ErrMembershipChange) {
		t.Fatalf("adding a tombstone as a member: %v, want %v", err, ErrMembershipChange)
	}
	tombstone := Member{ID: replaced, Retired: true}
	for _, id := range []MemberID{g.leader(), g.others(g.leader())[1]} {
		status := g.members[id].node.Status()
		snapshot, known := g.members[id].node.SnapshotAt(status.AppliedIndex, nil)
		if !known || !slices.Contains(snapshot.Members, tombstone) {
			t.Fatalf("snapshot of member %d: taken %t, members %+v, want the tombstone of member %d", id, known, snapshot.Members, replaced)
		}
		restarted := New(testConfig(id), PersistedState{HardState: HardState{Term: status.Term}, Snapshot: snapshot}, g.now)
		if !slices.Contains(restarted.membersWithTombstones(), tombstone) || len(restarted.Status().Members) != 2 {
			t.Fatalf("member %d after a restart: %+v, want 2 members and the tombstone of member %d", id, restarted.membersWithTombstones(), replaced)
		}
	}
}

func TestNode_Step_truncationUndoesRetirement(t *testing.T) {
	stored := persistedLog(2)
	stored.Entries[0].Kind = EntryMembership
	stored.Entries[0].Members = append(testVoters(1, 2), Member{ID: 3, Retired: true})
	n := newRuleNode(t, stored)
	n.step(Message{Kind: MessageAppendEntries, From: 2, Term: 5, LogIndex: 1, LogTerm: 1, Entries: []Entry{{Term: 5, Index: 2}}})
	if got := n.membersWithTombstones(); !slices.Equal(got, testVoters(1, 2, 3)) {
		t.Fatalf("members after the retirement was truncated: %+v, want %+v", got, testVoters(1, 2, 3))
	}
}

func TestApplyChange_retiredMembersAreBounded(t *testing.T) {
	members := testVoters(1)
	for id := MemberID(100); id < 100+2*maxTombstones; id++ {
		added := append(members, Member{ID: id})
		members, _ = applyMembershipChange(added, MembershipChange{Remove: id, Retire: true})
	}
	if len(members) != 1+maxTombstones || members[1].ID != 100+maxTombstones || !members[0].Voter {
		t.Fatalf("%d members and tombstones, the first two %+v, want %d, the first a voter, the oldest tombstone of member %d", len(members), members[:2], 1+maxTombstones, 100+maxTombstones)
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
		t.Fatal("learner 4 can be promoted before it answered a heartbeat")
	}
	n.ackHeartbeat(4)
	if n.CanPromote(4) {
		t.Fatal("learner 4 can be promoted before it acknowledged entries")
	}
	n.ackAppend(4, 2)
	if !n.CanPromote(4) || n.CanPromote(9) {
		t.Fatalf("CanPromote: learner 4 %t, unknown member 9 %t, want true and false", n.CanPromote(4), n.CanPromote(9))
	}
	n.now += testElectionTimeout - testHeartbeatInterval
	n.ackHeartbeat(2) // member 2 keeps answering, member 4 does not
	n.Tick(n.now)
	n.persistAll()
	n.ackHeartbeat(2)
	n.now += 2 * testHeartbeatInterval
	n.Tick(n.now)
	if n.Status().Role != RoleLeader || n.CanPromote(4) {
		t.Fatalf("role %v, CanPromote(4) %t without recent contact, want %v and false", n.Status().Role, n.CanPromote(4), RoleLeader)
	}
	if err := n.ChangeMembers(n.now, promotion); !errors.Is(err, ErrMembershipChange) {
		t.Fatalf("promoting a learner without recent contact: %v, want %v", err, ErrMembershipChange)
	}
}

func TestNode_ChangeMembers_removedLeaderStepsDownAfterCommit(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	oldLeader := g.leader()
	g.run(testElectionTimeout)
	g.changeMembers(MembershipChange{Remove: oldLeader})
	if leader.Status().Role == RoleLeader || leader.NextTick() != NoTick {
		t.Fatalf("removed leader: status %+v, next tick %v, want another role and no tick", leader.Status(), leader.NextTick())
	}
	if g.leader() == 0 {
		t.Fatalf("no new leader after leader %d was removed", oldLeader)
	}
	g.propose("a")
	for _, id := range g.others(oldLeader) {
		g.wantApplied(id, "a")
	}
}

func TestNode_ChangeMembers_removedMemberLearnsOfItsRemoval(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	g.elect()
	g.run(testElectionTimeout)
	removed := g.others(g.leader())[0]
	g.changeMembers(MembershipChange{Remove: removed})
	if members := g.members[removed].node.Status().Members; len(members) != 2 {
		t.Fatalf("removed member %d: members %+v, want the 2 others", removed, members)
	}
	g.run(4 * testElectionTimeout)
	if status := g.members[removed].node.Status(); status.Role != RoleFollower {
		t.Fatalf("removed member %d after four election timeouts: status %+v, want a follower", removed, status)
	}
}

func TestNode_Tick_memberWithUncommittedRemovalMayCampaign(t *testing.T) {
	stored := persistedLog(2)
	stored.Entries[0].Kind, stored.Entries[0].Members = EntryMembership, testVoters(2, 3)
	n := newRuleNode(t, stored)
	if n.NextTick() == NoTick {
		t.Fatal("NextTick is NoTick on a member whose removal is not committed, want an election deadline")
	}
	n.now = n.NextTick()
	n.Tick(n.now)
	if !containsMessage(n.Ready().Messages, MessagePreVote, 2) {
		t.Fatal("no pre-vote sent to member 2 at the election deadline")
	}
}

func TestNode_ChangeMembers_rejectsInvalidChanges(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	g.run(testElectionTimeout)
	follower := g.others(g.leader())[0]
	for name, change := range map[string]MembershipChange{
		"new member as a voter": {Add: &Member{ID: 9, Voter: true}},
		"no ID":                 {Add: &Member{}},
		"two changes":           {Add: &Member{ID: 9}, Remove: follower},
	} {
		t.Run(name, func(t *testing.T) {
			if err := leader.ChangeMembers(g.now, change); !errors.Is(err, ErrMembershipChange) {
				t.Errorf("change %+v: %v, want %v", change, err, ErrMembershipChange)
			}
			g.run(2 * testHeartbeatInterval)
		})
	}
}

// TestNode_ChangeMembers_requiresResponsiveMajority verifies that a leader which has not stepped down yet cannot
// remove itself when it is the only responsive voter.
func TestNode_ChangeMembers_requiresResponsiveMajority(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	g.run(testElectionTimeout)
	for _, id := range g.others(g.leader()) {
		g.members[id].stopped = true
	}
	g.now += testElectionTimeout * 9 / 10
	leader.leader.electedAt = g.now // as if it had just been elected, so that it does not step down yet
	g.now += testElectionTimeout / 2
	if err := leader.ChangeMembers(g.now, MembershipChange{Remove: g.leader()}); !errors.Is(err, ErrMembershipChange) {
		t.Errorf("removing the only responsive voter: %v, want %v", err, ErrMembershipChange)
	}
}
