package consensus

import "testing"

func TestGroup_lostMessagesAreResent(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	g.elect()
	g.run(testElectionTimeout)
	lost := 0
	g.dropMessage = func(message Message) bool {
		drop := (message.Kind == MessageAppendEntries || message.Kind == MessageAppendEntriesReply) && lost < 6
		if drop {
			lost++
		}
		return drop
	}
	g.propose("a")
	g.run(10 * testHeartbeatInterval)
	for _, id := range g.ids {
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
		t.Fatalf("%d messages after 5 equal rejections, want at most 1: %+v", len(sent), sent)
	}
}

func TestGroup_idleSendsHeartbeatsOnly(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	g.elect()
	g.run(testElectionTimeout)
	g.sentMessages = 0
	g.run(10 * testHeartbeatInterval)
	if want := 2 * 2 * 10; g.sentMessages > want {
		t.Fatalf("idle group sent %d messages in %v, want at most %d", g.sentMessages, 10*testHeartbeatInterval, want)
	}
	for _, id := range g.ids {
		if id != g.leader() && g.members[id].node.NextTick() < g.now+testElectionTimeout/2 {
			t.Fatalf("idle follower %d: next tick in %v, want at least %v", id, g.members[id].node.NextTick()-g.now, testElectionTimeout/2)
		}
	}
}
