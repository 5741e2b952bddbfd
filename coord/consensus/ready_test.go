package consensus

import (
	"testing"
)

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
