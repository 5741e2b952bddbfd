package consensus

import (
	"errors"
	"testing"
	"time"
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

func TestNode_Step_votesAreIgnoredWithinLeaderLease(t *testing.T) {
	for name, test := range map[string]struct {
		pause  time.Duration
		forced bool
		want   bool
	}{
		"lease valid":      {pause: testElection / 2},
		"lease expired":    {pause: testElection, want: true},
		"planned transfer": {pause: testElection / 2, forced: true, want: true},
	} {
		n := newRuleNode(t, persistedLog())
		n.step(Message{Kind: MessageHeartbeat, From: 2, Term: 3})
		n.persistAll()
		n.now = test.pause
		n.step(Message{Kind: MessageRequestVote, From: 3, Term: 4, LogIndex: 9, LogTerm: 3, LeadershipTransfer: test.forced})
		if got := containsMessage(n.persistAll().Messages, MessageRequestVoteReply, 3); got != test.want {
			t.Errorf("%s: voted %v", name, got)
		}
	}
}

func TestNode_Step_preVoteChangesNoTerm(t *testing.T) {
	n := newRuleNode(t, persistedLog(2))
	for _, request := range []Message{
		{Kind: MessagePreVote, From: 2, Term: 9, LogIndex: 2, LogTerm: 2},
		{Kind: MessagePreVote, From: 3, Term: 9, LogIndex: 2, LogTerm: 2},
	} {
		n.step(request)
	}
	ready := n.Ready()
	if ready.Persist != nil || n.Status().Term != 2 {
		t.Fatalf("persist %+v, term %d", ready.Persist, n.Status().Term)
	}
	if !containsMessage(ready.Messages, MessagePreVoteReply, 2) || !containsMessage(ready.Messages, MessagePreVoteReply, 3) {
		t.Fatalf("messages %+v", ready.Messages)
	}
}

func TestNode_Tick_leaderWithoutQuorumStepsDown(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	first := g.leader()
	if err := leader.ReadIndex(g.now, 1); err != nil {
		t.Fatal(err)
	}
	for _, id := range g.others(first) {
		g.members[id].stopped = true
	}
	g.run(testElection + 2*testHeartbeat)
	if leader.Status().Role == RoleLeader {
		t.Fatal("still leads without a majority")
	}
	if reads := g.members[first].reads; len(reads) != 1 || reads[0].OK {
		t.Fatalf("reads %v", reads)
	}
}

func TestNode_Propose_frozenLeaderStepsDownFirst(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	late := g.now + 2*testElection
	if err := leader.ReadIndex(late, 1); !errors.Is(err, ErrNotLeader) {
		t.Fatalf("read: %v", err)
	}
	if _, _, err := leader.Propose(late, nil); !errors.Is(err, ErrNotLeader) {
		t.Fatalf("propose: %v", err)
	}
}

func TestNode_Persisted_leaderCommitsWhileItsDiskStalls(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	g.elect()
	first := g.leader()
	g.members[first].stalled = true
	g.propose("a")
	g.propose("b")
	for _, id := range g.order {
		g.wantApplied(id, "a", "b")
	}
	if pending := len(g.members[first].pendingWrites); pending < 2 {
		t.Fatalf("%d pending writes", pending)
	}
	last := g.members[first].pendingWrites[len(g.members[first].pendingWrites)-1]
	leader := g.members[first].node
	leader.Persisted(g.now, last.Sequence)
	if stable, _ := leader.MatchIndex(first); stable != leader.Status().LastIndex {
		t.Fatalf("durable up to %d of %d", stable, leader.Status().LastIndex)
	}
}

func TestNode_Persisted_truncatedEntriesAreNotAcknowledged(t *testing.T) {
	n := newRuleNode(t, persistedLog())
	old := []Entry{{Term: 2, Index: 2}, {Term: 2, Index: 3}, {Term: 2, Index: 4}}
	n.step(Message{Kind: MessageAppendEntries, From: 2, Term: 2, LogIndex: 1, LogTerm: 1, Entries: old})
	first := n.Ready()
	n.step(Message{Kind: MessageAppendEntries, From: 3, Term: 3, LogIndex: 1, LogTerm: 1, Entries: []Entry{{Term: 3, Index: 2}, {Term: 3, Index: 3}}})
	second := n.Ready()
	n.Persisted(0, first.Persist.Sequence)
	if got := n.ackableIndex(); got > 1 {
		t.Fatalf("acknowledges %d by the write before the truncation", got)
	}
	n.Persisted(0, second.Persist.Sequence)
	if got := n.ackableIndex(); got != 3 {
		t.Fatalf("acknowledges %d, want 3", got)
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
	first := g.leader()
	others := g.others(first)
	for name, change := range map[string]MembershipChange{
		"voter at once":        {Add: &Member{ID: 9, Voter: true}},
		"no ID":                {Add: &Member{}},
		"two changes":          {Add: &Member{ID: 9}, Remove: others[0]},
		"last reachable voter": {Remove: first},
	} {
		if name == "last reachable voter" {
			g.members[others[0]].stopped, g.members[others[1]].stopped = true, true
			g.now += testElection * 9 / 10
			leader.leader.electedAt = g.now
			g.now += testElection / 2
		}
		if err := leader.ChangeMembers(g.now, change); !errors.Is(err, ErrMembershipChange) {
			t.Errorf("%s: %v", name, err)
		}
		g.members[others[0]].stopped, g.members[others[1]].stopped = false, false
		g.run(2 * testHeartbeat)
	}
}

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

func TestGroup_lostMessagesAreResent(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	g.elect()
	g.run(testElection)
	lost := 0
	g.dropMessage = func(message Message) bool {
		drop := (message.Kind == MessageAppendEntries || message.Kind == MessageAppendEntriesReply) && lost < 6
		if drop {
			lost++
		}
		return drop
	}
	g.propose("a")
	g.run(10 * testHeartbeat)
	for _, id := range g.order {
		g.wantApplied(id, "a")
	}
}

func TestNode_Step_repeatedRejectionsCauseOneResend(t *testing.T) {
	n := newRuleNode(t, persistedLog())
	n.becomeLeader()
	n.persistAll()
	n.ackAppend(2, 2)
	n.persistAll()
	for range 5 {
		n.step(Message{Kind: MessageAppendEntriesReply, From: 2, Term: 2, Reject: true, LogIndex: 2})
	}
	if sent := n.Ready().Messages; len(sent) > 1 {
		t.Fatalf("%d messages", len(sent))
	}
}

func TestNode_ReadIndex_readsShareAHeartbeatRound(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	g.sent = 0
	for id := range uint64(50) {
		if err := leader.ReadIndex(g.now, id); err != nil {
			t.Fatal(err)
		}
	}
	g.deliverAll()
	if got := len(g.members[g.leader()].reads); got != 50 || g.sent > 4 {
		t.Fatalf("%d reads by %d messages", got, g.sent)
	}
}

func TestNew_firstElectionTimeoutIsShorter(t *testing.T) {
	const timeout = 500 * time.Millisecond
	members := []Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}
	for seed := range uint64(200) {
		node := New(Config{ID: 1, ElectionTimeout: timeout, HeartbeatInterval: timeout / 4, Seed: seed}, Bootstrap(members, nil), 0)
		if due := node.NextTick(); due < timeout/initialElectionDivisor || due > timeout/initialElectionDivisor+timeout/2 {
			t.Fatalf("seed %d: the first election is due at %s", seed, due)
		}
		node.Step(time.Millisecond, Message{Kind: MessageHeartbeat, From: 2, To: 1, Term: 1})
		if due := node.NextTick(); due < timeout {
			t.Fatalf("seed %d: after a heartbeat, the election is due at %s", seed, due)
		}
	}
}
