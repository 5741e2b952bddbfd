package consensus

import (
	"errors"
	"testing"
	"time"
)

func TestNode_Step_votesAreIgnoredWithinLeaderLease(t *testing.T) {
	for name, test := range map[string]struct {
		sinceContact time.Duration
		transfer     bool
		wantVote     bool
	}{
		"lease valid":         {sinceContact: testElection / 2},
		"lease expired":       {sinceContact: testElection, wantVote: true},
		"leadership transfer": {sinceContact: testElection / 2, transfer: true, wantVote: true},
	} {
		t.Run(name, func(t *testing.T) {
			n := newRuleNode(t, persistedLog())
			n.step(Message{Kind: MessageHeartbeat, From: 2, Term: 3})
			n.persistAll()
			n.now = test.sinceContact
			n.step(Message{Kind: MessageRequestVote, From: 3, Term: 4, LogIndex: 9, LogTerm: 3, LeadershipTransfer: test.transfer})
			if got := containsMessage(n.persistAll().Messages, MessageRequestVoteReply, 3); got != test.wantVote {
				t.Errorf("voted: %t", got)
			}
		})
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
