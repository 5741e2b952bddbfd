package consensus

import "fmt"

// recordLeaderContact takes note of a message from the leader of the present term.
func (n *Node) recordLeaderContact(message Message) {
	if n.role != RoleFollower {
		n.becomeFollower(n.term)
	}
	if n.leaderID != message.From {
		n.leaderID = message.From
		n.pendingVote = 0
	}
	n.leaderContactAt = n.now
	n.resetElectionDeadline()
}

// confirmIfUpToDate records that the member holds all that its leader had committed.
func (n *Node) confirmIfUpToDate(leaderCommit uint64) {
	if (leaderCommit <= n.verifiedIndex || !n.enforces(RuleConfirmedUpToDate)) && !n.lacksGroupState() {
		n.confirmedAt = n.now
	}
}

// handleAppendEntries takes entries that follow one which the member shares with its leader.
func (n *Node) handleAppendEntries(message Message) {
	if n.role == RoleLeader {
		return
	}
	n.recordLeaderContact(message)
	if message.LogIndex < n.commitIndex && n.enforces(RuleAppendLogMatching) {
		message = n.withoutCommittedEntries(message)
	}
	if message.LogIndex < n.log.baseIndex || message.LogIndex > n.log.lastIndex() {
		n.rejectAppendEntries(message)
		return
	}
	if !n.log.matches(message.LogIndex, message.LogTerm) && n.enforces(RuleAppendLogMatching) {
		n.rejectAppendEntries(message)
		return
	}
	added := n.appendMissing(message.Entries)
	end := message.LogIndex + uint64(len(message.Entries))
	n.verifiedIndex = max(n.verifiedIndex, end)
	n.followLeaderCommit(message.Commit)
	n.confirmIfUpToDate(message.Commit)
	if !added || n.ackableIndex() >= end {
		n.acknowledge()
	}
}

// withoutCommittedEntries cuts off the entries of a message up to the commit index: all logs share those.
func (n *Node) withoutCommittedEntries(message Message) Message {
	end := message.LogIndex + uint64(len(message.Entries))
	if end <= n.commitIndex {
		message.Entries = nil
	} else {
		message.Entries = message.Entries[n.commitIndex-message.LogIndex:]
	}
	message.LogIndex = n.commitIndex
	message.LogTerm, _ = n.log.term(n.commitIndex)
	return message
}

// rejectAppendEntries tells the leader where the logs may still agree.
func (n *Node) rejectAppendEntries(message Message) {
	hintIndex, hintTerm := n.log.findConflictByTerm(message.LogIndex, message.LogTerm)
	if message.LogIndex > n.log.lastIndex() {
		hintIndex, hintTerm = n.log.lastIndex(), n.log.lastTerm()
	}
	n.send(Message{
		Kind:      MessageAppendEntriesReply,
		To:        message.From,
		Reject:    true,
		LogIndex:  message.LogIndex,
		HintIndex: hintIndex,
		HintTerm:  hintTerm,
	})
}

// appendMissing appends the entries that the log does not hold yet, in place of any that conflict.
func (n *Node) appendMissing(entries []Entry) (added bool) {
	for i, entry := range entries {
		if n.log.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= n.log.lastIndex() {
			n.truncate(entry.Index)
		}
		n.log.append(entries[i:]...)
		n.recordMemberships(entries[i:])
		return true
	}
	return false
}

// truncate drops the entries from index on, and the changes of members among them.
func (n *Node) truncate(index uint64) {
	if index <= n.commitIndex {
		panic(fmt.Errorf("%w: entry %d, committed up to %d", ErrCommittedConflict, index, n.commitIndex))
	}
	n.log.truncate(index)
	n.verifiedIndex = min(n.verifiedIndex, index-1)
	n.persistence.truncate(index)
	if n.enforces(RuleMembershipRollback) {
		n.rollBackMemberships(index)
	}
}

// followLeaderCommit commits what the leader has committed and the member shares with it.
func (n *Node) followLeaderCommit(leaderCommit uint64) {
	if n.enforces(RuleCommitVerified) {
		leaderCommit = min(leaderCommit, n.verifiedIndex)
	}
	n.commitTo(leaderCommit)
}

// ackableIndex returns up to where the log is the same as the leader's and durable, in a term that is durable.
func (n *Node) ackableIndex() uint64 {
	if !n.enforces(RuleAppendDurable) {
		return n.verifiedIndex
	}
	if n.persistence.durable.Term != n.term {
		return 0
	}
	return min(n.verifiedIndex, n.persistence.stableIndex)
}

// acknowledge tells the leader what is held durably, and in HintIndex what is held at all.
func (n *Node) acknowledge() {
	n.ackedIndex = n.ackableIndex()
	n.send(Message{Kind: MessageAppendEntriesReply, To: n.leaderID, LogIndex: n.ackedIndex, HintIndex: n.verifiedIndex})
}

// handleHeartbeat follows the leader's commit index. A heartbeat without a Context wants no answer.
func (n *Node) handleHeartbeat(message Message) {
	if n.role == RoleLeader {
		return
	}
	n.recordLeaderContact(message)
	n.followLeaderCommit(message.Commit)
	n.confirmIfUpToDate(message.Commit)
	if message.HeartbeatRound == 0 {
		return
	}
	n.send(Message{
		Kind:           MessageHeartbeatReply,
		To:             message.From,
		HeartbeatRound: message.HeartbeatRound,
		LogIndex:       n.verifiedIndex,
		HintIndex:      n.ackableIndex(),
	})
}

// handleInstallSnapshot takes the group's state in place of the log, unless the log holds it already.
func (n *Node) handleInstallSnapshot(message Message) {
	if n.role == RoleLeader || message.Snapshot == nil {
		return
	}
	n.recordLeaderContact(message)
	snapshot := message.Snapshot
	switch {
	case snapshot.Index <= n.commitIndex:
	case n.log.matches(snapshot.Index, snapshot.Term):
		n.verifiedIndex = max(n.verifiedIndex, snapshot.Index)
		n.commitTo(snapshot.Index)
	default:
		n.installSnapshot(*snapshot)
		return
	}
	n.acknowledge()
}

// installSnapshot replaces the log by a snapshot.
func (n *Node) installSnapshot(snapshot Snapshot) {
	n.persistence.replace(n.commitIndex, snapshot.Index)
	n.log = entryLog{baseIndex: snapshot.Index, baseTerm: snapshot.Term}
	n.snapshot = snapshot
	n.memberships = []membership{newMembership(snapshot.Index, snapshot.Members)}
	n.commitIndex = snapshot.Index
	n.appliedIndex = snapshot.Index
	n.verifiedIndex = snapshot.Index
	n.pendingRestore = &snapshot
	n.unpersistedSnapshot = &snapshot
}
