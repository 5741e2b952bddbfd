package consensus

import "testing"

// TestNode_Step_ignoresMessagesForOthers passes a member messages with another receiver, such as a former member at its address. It
// must not vote, append entries or reply.
func TestNode_Step_ignoresMessagesForOthers(t *testing.T) {
	g := newTestGroup(t, 1, 2, 3)
	g.elect()
	follower := MemberID(1)
	if g.leader() == follower {
		follower = 2
	}
	node := g.members[follower].node
	before := node.Status()
	for _, message := range []Message{
		{Kind: MessageRequestVote, Term: before.Term + 5, LogIndex: before.LastIndex + 9, LogTerm: before.Term + 4},
		{Kind: MessageAppendEntries, Term: before.Term + 5, LogIndex: before.LastIndex, LogTerm: before.Term, Entries: []Entry{{Term: before.Term + 5, Index: before.LastIndex + 1}}},
		{Kind: MessageHeartbeat, Term: before.Term + 5, HeartbeatRound: 1},
	} {
		message.From, message.To = g.leader(), 99
		node.Step(g.now, message)
		if ready := node.Ready(); len(ready.Messages) > 0 || ready.Persist != nil {
			t.Errorf("after %v for member 99: messages %+v, persist %+v, want none", message.Kind, ready.Messages, ready.Persist)
		}
	}
	if after := node.Status(); after.Term != before.Term || after.LastIndex != before.LastIndex {
		t.Errorf("after messages for member 99: term %d, last index %d, want %d and %d as before", after.Term, after.LastIndex, before.Term, before.LastIndex)
	}
}
