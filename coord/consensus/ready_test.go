package consensus

import "testing"

func TestNode_Persisted_leaderCommitsWhileItsDiskStalls(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	g.elect()
	leaderID := g.leader()
	g.members[leaderID].diskStalled = true
	g.propose("a")
	g.propose("b")
	for _, id := range g.ids {
		g.wantApplied(id, "a", "b")
	}
	if pending := len(g.members[leaderID].pendingWrites); pending < 2 {
		t.Fatalf("leader with a stalled disk: %d pending writes, want at least 2", pending)
	}
	last := g.members[leaderID].pendingWrites[len(g.members[leaderID].pendingWrites)-1]
	leader := g.members[leaderID].node
	leader.Persisted(g.now, last.Sequence)
	if durable, _ := leader.MatchIndex(leaderID); durable != leader.Status().LastIndex {
		t.Fatalf("leader after all writes are durable: match index %d, want %d", durable, leader.Status().LastIndex)
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
		t.Fatalf("acknowledgeable index %d after the write from before the truncation, want at most 1", got)
	}
	n.Persisted(0, second.Persist.Sequence)
	if got := n.ackableIndex(); got != 3 {
		t.Fatalf("acknowledgeable index %d after the write from after the truncation, want 3", got)
	}
}
