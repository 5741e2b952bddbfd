package consensus

import (
	"testing"
)

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
