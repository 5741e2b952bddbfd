package consensus

import "fmt"

// heardLeader takes note of a message from the leader of the present term.
func (n *Node) heardLeader(message Message) {
	if n.role != RoleFollower {
		n.becomeFollower(n.term)
	}
	if n.leader != message.From {
		n.leader = message.From
		n.grantTo = 0
	}
	n.lastHeard = n.now
	n.resetDeadline()
}

// noteCurrent records that the member holds all that its leader had committed.
func (n *Node) noteCurrent(leaderCommit uint64) {
	if (leaderCommit <= n.verified || !n.holds(RuleCurrentHeld)) && !n.silent() {
		n.current = n.now
	}
}

// onAppend takes entries that follow one which the member shares with its leader.
func (n *Node) onAppend(message Message) {
	if n.role == RoleLeader {
		return
	}
	n.heardLeader(message)
	if message.LogIndex < n.commit && n.holds(RuleAppendMatch) {
		message = n.skipCommitted(message)
	}
	if message.LogIndex < n.log.base || message.LogIndex > n.log.last() {
		n.refuseAppend(message)
		return
	}
	if !n.log.matches(message.LogIndex, message.LogTerm) && n.holds(RuleAppendMatch) {
		n.refuseAppend(message)
		return
	}
	added := n.takeEntries(message.Entries)
	end := message.LogIndex + uint64(len(message.Entries))
	n.verified = max(n.verified, end)
	n.followCommit(message.Commit)
	n.noteCurrent(message.Commit)
	if !added || n.ackable() >= end {
		n.acknowledge()
	}
}

// skipCommitted cuts off the entries of a message up to the commit index: all logs share those.
func (n *Node) skipCommitted(message Message) Message {
	end := message.LogIndex + uint64(len(message.Entries))
	if end <= n.commit {
		message.Entries = nil
	} else {
		message.Entries = message.Entries[n.commit-message.LogIndex:]
	}
	message.LogIndex = n.commit
	message.LogTerm, _ = n.log.term(n.commit)
	return message
}

// refuseAppend tells the leader where the logs may still agree.
func (n *Node) refuseAppend(message Message) {
	hint, term := n.log.findAtMost(message.LogIndex, message.LogTerm)
	if message.LogIndex > n.log.last() {
		hint, term = n.log.last(), n.log.lastTerm()
	}
	n.send(Message{
		Kind:      MessageAppendReply,
		To:        message.From,
		Reject:    true,
		LogIndex:  message.LogIndex,
		HintIndex: hint,
		HintTerm:  term,
	})
}

// takeEntries appends the entries that the log does not hold yet, in place of any that conflict.
func (n *Node) takeEntries(entries []Entry) (added bool) {
	for at, entry := range entries {
		if n.log.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= n.log.last() {
			n.truncate(entry.Index)
		}
		n.log.append(entries[at:]...)
		n.noteMembers(entries[at:])
		return true
	}
	return false
}

// truncate drops the entries from index on, and the changes of members among them.
func (n *Node) truncate(index uint64) {
	if index <= n.commit {
		panic(fmt.Errorf("%w: entry %d, committed up to %d", ErrCommittedConflict, index, n.commit))
	}
	n.log.truncate(index)
	n.verified = min(n.verified, index-1)
	n.disk.truncate(index)
	if n.holds(RuleMembersRollBack) {
		n.rollBackMembers(index)
	}
}

// followCommit commits what the leader has committed and the member shares with it.
func (n *Node) followCommit(leaderCommit uint64) {
	if n.holds(RuleCommitVerified) {
		leaderCommit = min(leaderCommit, n.verified)
	}
	n.setCommit(leaderCommit)
}

// ackable returns up to where the log is the same as the leader's and durable, in a term that is durable.
func (n *Node) ackable() uint64 {
	if !n.holds(RuleAppendDurable) {
		return n.verified
	}
	if n.disk.durable.Term != n.term {
		return 0
	}
	return min(n.verified, n.disk.stable)
}

// acknowledge tells the leader what is held durably, and in HintIndex what is held at all.
func (n *Node) acknowledge() {
	n.acked = n.ackable()
	n.send(Message{Kind: MessageAppendReply, To: n.leader, LogIndex: n.acked, HintIndex: n.verified})
}

// onHeartbeat follows the leader's commit index. A heartbeat without a Context wants no answer.
func (n *Node) onHeartbeat(message Message) {
	if n.role == RoleLeader {
		return
	}
	n.heardLeader(message)
	n.followCommit(message.Commit)
	n.noteCurrent(message.Commit)
	if message.Context == 0 {
		return
	}
	n.send(Message{
		Kind:      MessageHeartbeatReply,
		To:        message.From,
		Context:   message.Context,
		LogIndex:  n.verified,
		HintIndex: n.ackable(),
	})
}

// onSnapshot takes the group's state in place of the log, unless the log holds it already.
func (n *Node) onSnapshot(message Message) {
	if n.role == RoleLeader || message.Snapshot == nil {
		return
	}
	n.heardLeader(message)
	snapshot := message.Snapshot
	switch {
	case snapshot.Index <= n.commit:
	case n.log.matches(snapshot.Index, snapshot.Term):
		n.verified = max(n.verified, snapshot.Index)
		n.setCommit(snapshot.Index)
	default:
		n.install(*snapshot)
		return
	}
	n.acknowledge()
}

// install replaces the log by a snapshot.
func (n *Node) install(snapshot Snapshot) {
	n.disk.replace(n.commit, snapshot.Index)
	n.log = entryLog{base: snapshot.Index, baseTerm: snapshot.Term}
	n.snapshot = snapshot
	n.memberships = []membership{newMembership(snapshot.Index, snapshot.Members)}
	n.commit = snapshot.Index
	n.applied = snapshot.Index
	n.verified = snapshot.Index
	n.restorePoint = &snapshot
	n.pendingInsert = &snapshot
}
