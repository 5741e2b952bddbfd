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
		"lease valid":         {sinceContact: testElectionTimeout / 2},
		"lease expired":       {sinceContact: testElectionTimeout, wantVote: true},
		"leadership transfer": {sinceContact: testElectionTimeout / 2, transfer: true, wantVote: true},
	} {
		t.Run(name, func(t *testing.T) {
			n := newRuleNode(t, persistedLog())
			n.step(Message{Kind: MessageHeartbeat, From: 2, Term: 3})
			n.persistAll()
			n.now = test.sinceContact
			n.step(Message{Kind: MessageRequestVote, From: 3, Term: 4, LogIndex: 9, LogTerm: 3, LeadershipTransfer: test.transfer})
			if got := containsMessage(n.persistAll().Messages, MessageRequestVoteReply, 3); got != test.wantVote {
				t.Errorf("%v after contact with the leader, transfer %t: voted %t, want %t", test.sinceContact, test.transfer, got, test.wantVote)
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
		t.Fatalf("after two pre-votes for term 9: persist request %+v, term %d, want none and term 2", ready.Persist, n.Status().Term)
	}
	if !containsMessage(ready.Messages, MessagePreVoteReply, 2) || !containsMessage(ready.Messages, MessagePreVoteReply, 3) {
		t.Fatalf("after two pre-votes: messages %+v, want pre-votes granted to members 2 and 3", ready.Messages)
	}
}

func TestNode_Tick_leaderWithoutQuorumStepsDown(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	oldLeader := g.leader()
	if err := leader.ReadIndex(g.now, 1); err != nil {
		t.Fatalf("ReadIndex at the leader: %v", err)
	}
	for _, id := range g.others(oldLeader) {
		g.members[id].stopped = true
	}
	g.run(testElectionTimeout + 2*testHeartbeatInterval)
	if leader.Status().Role == RoleLeader {
		t.Fatalf("leader still leads %v after all other voters stopped", testElectionTimeout+2*testHeartbeatInterval)
	}
	if reads := g.members[oldLeader].reads; len(reads) != 1 || reads[0].OK {
		t.Fatalf("reads after the leader stepped down: %+v, want one without OK", reads)
	}
}

func TestNode_Propose_suspendedLeaderStepsDownFirst(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	leader := g.elect()
	late := g.now + 2*testElectionTimeout
	if err := leader.ReadIndex(late, 1); !errors.Is(err, ErrNotLeader) {
		t.Fatalf("ReadIndex after a pause of two election timeouts: %v, want %v", err, ErrNotLeader)
	}
	if _, _, err := leader.Propose(late, nil); !errors.Is(err, ErrNotLeader) {
		t.Fatalf("Propose after a pause of two election timeouts: %v, want %v", err, ErrNotLeader)
	}
}

func TestNew_firstElectionTimeoutIsShorter(t *testing.T) {
	const timeout = 500 * time.Millisecond
	members := []Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}
	for seed := range uint64(200) {
		node := New(Config{ID: 1, ElectionTimeout: timeout, HeartbeatInterval: timeout / 4, Seed: seed}, Bootstrap(members, nil), 0)
		if due := node.NextTick(); due < timeout/initialElectionDivisor || due > timeout/initialElectionDivisor+timeout/2 {
			t.Fatalf("seed %d: first election due at %v, want %v to %v", seed, due, timeout/initialElectionDivisor, timeout/initialElectionDivisor+timeout/2)
		}
		node.Step(time.Millisecond, Message{Kind: MessageHeartbeat, From: 2, To: 1, Term: 1})
		if due := node.NextTick(); due < timeout {
			t.Fatalf("seed %d: election due at %v after a heartbeat, want at least %v", seed, due, timeout)
		}
	}
}
