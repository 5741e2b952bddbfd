package consensus

import (
	"testing"
	"time"
)

// ruleNode is the member with ID 1, to which a test passes the messages of all other members.
type ruleNode struct {
	*Node
	t   *testing.T
	now time.Duration
}

// persistedLog returns the state of a member of the group of voters 1 to 3. After the bootstrap snapshot, its log
// has commands of the given terms.
func persistedLog(terms ...uint64) PersistedState {
	stored := Bootstrap(testVoters(1, 2, 3), nil)
	for i, term := range terms {
		stored.Entries = append(stored.Entries, Entry{Term: term, Index: uint64(i) + 2, Data: []byte("x")})
		stored.HardState.Term = term
	}
	return stored
}

// newRuleNode starts member 1 from a stored state, without enforcing the omitted rules.
func newRuleNode(t *testing.T, stored PersistedState, omitted ...Rule) *ruleNode {
	config := testConfig(1)
	config.OmitRules = omitted
	return &ruleNode{Node: New(config, stored, 0), t: t}
}

// persistAll reports the member's pending writes durable. It returns its Ready together with the messages, entries
// and reads that this released.
func (n *ruleNode) persistAll() Ready {
	ready := n.Ready()
	if ready.Persist != nil {
		n.Persisted(n.now, ready.Persist.Sequence)
	}
	released := n.Ready()
	ready.Messages = append(ready.Messages, released.Messages...)
	ready.Committed = append(ready.Committed, released.Committed...)
	ready.Reads = append(ready.Reads, released.Reads...)
	return ready
}

// step passes a message with the member as receiver.
func (n *ruleNode) step(message Message) {
	message.To = 1
	n.Step(n.now, message)
}

// becomeLeader makes the member leader of the next term with member 2's vote.
func (n *ruleNode) becomeLeader() {
	n.t.Helper()
	n.now = n.NextTick()
	n.Tick(n.now)
	n.step(Message{Kind: MessagePreVoteReply, From: 2, Term: n.Status().Term + 1})
	n.persistAll()
	n.step(Message{Kind: MessageRequestVoteReply, From: 2, Term: n.Status().Term})
	if n.Status().Role != RoleLeader {
		n.t.Fatalf("after member 2's vote: status %+v, want the leader", n.Status())
	}
}

// ackAppend passes a peer's acknowledgement of the log up to an index.
func (n *ruleNode) ackAppend(peer MemberID, index uint64) {
	n.step(Message{Kind: MessageAppendEntriesReply, From: peer, Term: n.Status().Term, LogIndex: index, HintIndex: index})
}

// ackHeartbeat passes a peer's reply to the latest round of heartbeats.
func (n *ruleNode) ackHeartbeat(peer MemberID) {
	n.step(Message{Kind: MessageHeartbeatReply, From: peer, Term: n.Status().Term, HeartbeatRound: n.leader.lastRound})
}

// readIndex starts a read and fails the test if the member rejects it.
func (n *ruleNode) readIndex(id uint64) {
	n.t.Helper()
	if err := n.ReadIndex(n.now, id); err != nil {
		n.t.Fatalf("ReadIndex %d: %v", id, err)
	}
}

// containsMessage reports whether messages contain one of a kind to a member that is not a rejection.
func containsMessage(messages []Message, kind MessageKind, to MemberID) bool {
	for _, message := range messages {
		if message.Kind == kind && message.To == to && !message.Reject {
			return true
		}
	}
	return false
}

// ruleScenarios has a sequence of events for each rule that leads to a violation if the rule is omitted. The
// functions report whether the violation occurred.
var ruleScenarios = map[Rule]func(t *testing.T, omitted ...Rule) (violated bool){
	RuleVoteOnce: func(t *testing.T, omitted ...Rule) bool {
		n := newRuleNode(t, persistedLog(), omitted...)
		n.step(Message{Kind: MessageRequestVote, From: 2, Term: 5, LogIndex: 9, LogTerm: 4})
		n.persistAll()
		n.step(Message{Kind: MessageRequestVote, From: 3, Term: 5, LogIndex: 9, LogTerm: 4})
		return containsMessage(n.persistAll().Messages, MessageRequestVoteReply, 3)
	},
	RuleVoteUpToDateLog: func(t *testing.T, omitted ...Rule) bool {
		n := newRuleNode(t, persistedLog(2), omitted...)
		n.step(Message{Kind: MessageRequestVote, From: 2, Term: 5, LogIndex: 9, LogTerm: 1})
		return containsMessage(n.persistAll().Messages, MessageRequestVoteReply, 2)
	},
	RuleVoteDurable: func(t *testing.T, omitted ...Rule) bool {
		n := newRuleNode(t, persistedLog(), omitted...)
		n.step(Message{Kind: MessageRequestVote, From: 2, Term: 5, LogIndex: 9, LogTerm: 4})
		return containsMessage(n.Ready().Messages, MessageRequestVoteReply, 2)
	},
	RuleCandidateTermDurable: func(t *testing.T, omitted ...Rule) bool {
		n := newRuleNode(t, persistedLog(), omitted...)
		n.now = n.NextTick()
		n.Tick(n.now)
		n.step(Message{Kind: MessagePreVoteReply, From: 2, Term: 2})
		return containsMessage(n.Ready().Messages, MessageRequestVote, 2)
	},
	RuleAppendCurrentTerm: func(t *testing.T, omitted ...Rule) bool {
		n := newRuleNode(t, persistedLog(4), omitted...)
		n.step(Message{Kind: MessageAppendEntries, From: 2, Term: 3, LogIndex: 1, LogTerm: 1,
			Entries: []Entry{{Term: 3, Index: 2}, {Term: 3, Index: 3}}})
		return n.Status().LastIndex == 3
	},
	RuleAppendLogMatching: func(t *testing.T, omitted ...Rule) bool {
		n := newRuleNode(t, persistedLog(4), omitted...)
		n.step(Message{Kind: MessageAppendEntries, From: 2, Term: 5, LogIndex: 2, LogTerm: 5, Entries: []Entry{{Term: 5, Index: 3}}})
		return n.Status().LastIndex == 3
	},
	RuleAppendDurable: func(t *testing.T, omitted ...Rule) bool {
		n := newRuleNode(t, persistedLog(), omitted...)
		n.step(Message{Kind: MessageAppendEntries, From: 2, Term: 5, LogIndex: 1, LogTerm: 1, Entries: []Entry{{Term: 5, Index: 2}}})
		for _, message := range n.Ready().Messages {
			if message.Kind == MessageAppendEntriesReply && message.LogIndex >= 2 {
				return true
			}
		}
		return false
	},
	RuleLeaderEntriesDurable: func(t *testing.T, omitted ...Rule) bool {
		n := newRuleNode(t, persistedLog(), omitted...)
		n.becomeLeader()
		n.Ready()
		n.ackAppend(2, 2)
		return n.Status().CommitIndex == 2
	},
	RuleCommitMajority: func(t *testing.T, omitted ...Rule) bool {
		n := newRuleNode(t, persistedLog(), omitted...)
		n.becomeLeader()
		n.persistAll()
		return n.Status().CommitIndex == 2
	},
	RuleCommitCurrentTerm: func(t *testing.T, omitted ...Rule) bool {
		n := newRuleNode(t, persistedLog(2), omitted...)
		n.becomeLeader()
		n.persistAll()
		n.ackAppend(2, 2)
		return n.Status().CommitIndex == 2
	},
	RuleCommitVerified: func(t *testing.T, omitted ...Rule) bool {
		n := newRuleNode(t, persistedLog(2), omitted...)
		n.step(Message{Kind: MessageHeartbeat, From: 2, Term: 5, Commit: 2})
		return n.Status().CommitIndex == 2
	},
	RuleReadQuorumConfirmed: func(t *testing.T, omitted ...Rule) bool {
		n := newRuleNode(t, persistedLog(), omitted...)
		n.becomeLeader()
		n.persistAll()
		n.ackAppend(2, 2)
		n.readIndex(7)
		return len(n.Ready().Reads) > 0
	},
	RuleReadCurrentTerm: func(t *testing.T, omitted ...Rule) bool {
		n := newRuleNode(t, persistedLog(2), omitted...)
		n.becomeLeader()
		n.readIndex(7)
		n.persistAll()
		n.ackHeartbeat(2)
		return len(n.Ready().Reads) > 0
	},
	RuleMembershipSingleChange: func(t *testing.T, omitted ...Rule) bool {
		n := newRuleNode(t, persistedLog(), omitted...)
		n.becomeLeader()
		n.persistAll()
		n.ackAppend(2, 2)
		n.ackHeartbeat(2)
		if err := n.ChangeMembers(n.now, MembershipChange{Add: &Member{ID: 4}}); err != nil {
			t.Fatalf("adding learner 4: %v", err)
		}
		return n.ChangeMembers(n.now, MembershipChange{Add: &Member{ID: 5}}) == nil
	},
	RuleMembershipCurrentTerm: func(t *testing.T, omitted ...Rule) bool {
		n := newRuleNode(t, persistedLog(2), omitted...)
		n.becomeLeader()
		n.persistAll()
		n.ackHeartbeat(2)
		return n.ChangeMembers(n.now, MembershipChange{Add: &Member{ID: 4}}) == nil
	},
	RuleMembershipRollback: func(t *testing.T, omitted ...Rule) bool {
		stored := persistedLog(2)
		stored.Entries[0].Kind, stored.Entries[0].Members = EntryMembership, testVoters(1, 2, 3, 4)
		n := newRuleNode(t, stored, omitted...)
		n.step(Message{Kind: MessageAppendEntries, From: 2, Term: 5, LogIndex: 1, LogTerm: 1, Entries: []Entry{{Term: 5, Index: 2}}})
		return len(n.Status().Members) == 4
	},
	RuleLearnerNoQuorum: func(t *testing.T, omitted ...Rule) bool {
		stored := persistedLog()
		stored.Snapshot.Members = append(stored.Snapshot.Members, Member{ID: 4}, Member{ID: 5})
		n := newRuleNode(t, stored)
		n.becomeLeader()
		for _, rule := range omitted {
			n.omittedRules[rule] = true
		}
		n.persistAll()
		n.ackAppend(4, 2)
		n.ackAppend(5, 2)
		return n.Status().CommitIndex == 2
	},
	RuleRetiredNeverReturns: func(t *testing.T, omitted ...Rule) bool {
		stored := persistedLog()
		stored.Snapshot.Members = append(stored.Snapshot.Members, Member{ID: 4, Retired: true})
		n := newRuleNode(t, stored, omitted...)
		n.becomeLeader()
		n.persistAll()
		n.ackAppend(2, 2)
		n.ackHeartbeat(2)
		return n.ChangeMembers(n.now, MembershipChange{Add: &Member{ID: 4}}) == nil
	},
	RuleConfirmedUpToDate: func(t *testing.T, omitted ...Rule) bool {
		n := newRuleNode(t, persistedLog(), omitted...)
		n.now = time.Second
		n.step(Message{Kind: MessageHeartbeat, From: 2, Term: 5, Commit: 9, HeartbeatRound: 1})
		return n.Status().ConfirmedAt > 0
	},
	RuleCatchUpRetention: func(t *testing.T, omitted ...Rule) bool {
		n := newRuleNode(t, persistedLog(), omitted...)
		n.config.TrailingEntries = -1
		n.becomeLeader()
		n.persistAll()
		n.ackAppend(2, 2)
		n.ackHeartbeat(2)
		n.persistAll()
		n.Compact(2, nil, nil)
		n.ackHeartbeat(3)
		n.step(Message{Kind: MessageAppendEntriesReply, From: 3, Term: n.Status().Term, Reject: true, LogIndex: 1})
		n.ackHeartbeat(3)
		if !containsMessage(n.persistAll().Messages, MessageInstallSnapshot, 3) {
			t.Fatal("no snapshot sent to member 3, which needs compacted entries")
		}
		if _, index, err := n.Propose(n.now, []byte("x")); err != nil || index != 3 {
			t.Fatalf("Propose: index %d, error %v, want index 3 and no error", index, err)
		}
		n.persistAll()
		n.ackAppend(2, 3)
		n.persistAll()
		n.Compact(3, nil, nil)
		n.ackAppend(3, 2)
		return containsMessage(n.persistAll().Messages, MessageInstallSnapshot, 3)
	},
	RuleEmptyDiskNoVote: func(t *testing.T, omitted ...Rule) bool {
		n := newRuleNode(t, PersistedState{}, omitted...)
		n.step(Message{Kind: MessageRequestVote, From: 2, Term: 5, LogIndex: 9, LogTerm: 4})
		return containsMessage(n.persistAll().Messages, MessageRequestVoteReply, 2)
	},
}

func TestRules_eachPreventsAViolation(t *testing.T) {
	for _, rule := range Rules() {
		if ruleScenarios[rule] == nil {
			t.Errorf("rule %s has no scenario", rule)
		}
	}
	for rule, scenario := range ruleScenarios {
		t.Run(string(rule), func(t *testing.T) {
			if scenario(t) {
				t.Errorf("scenario of rule %s with all rules enforced: got a violation, want none", rule)
			}
			if !scenario(t, rule) {
				t.Errorf("no violation with rule %s omitted, want one", rule)
			}
		})
	}
}
