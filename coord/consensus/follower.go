package consensus

import (
	"fmt"
	"time"
)

// followerState is a follower's view of its leader and of the leader's log.
type followerState struct {
	leaderContactAt time.Duration // when it last received a message from the leader
	verifiedIndex   uint64        // last entry known to match the leader's log; on a leader, its commit index
	ackedIndex      uint64        // highest index acknowledged to the leader of this term
	confirmedAt     time.Duration // see Status.ConfirmedAt
}

// recordLeaderContact records a message from the leader of the current term, which renews the leader's lease and
// resets the election deadline.
func (n *Node) recordLeaderContact(message Message) {
	if n.role != RoleFollower {
		n.becomeFollower(n.term)
	}
	if n.leaderID != message.From {
		n.leaderID = message.From
		n.election.pendingVote = 0
	}
	n.follower.leaderContactAt = n.now
	n.resetElectionDeadline()
}

// confirmIfUpToDate records the current time as ConfirmedAt if the member has all entries up to leaderCommit, the
// commit index in a message just received from the leader.
func (n *Node) confirmIfUpToDate(leaderCommit uint64) {
	if (leaderCommit <= n.follower.verifiedIndex || !n.enforces(RuleConfirmedUpToDate)) && !n.lacksGroupState() {
		n.follower.confirmedAt = n.now
	}
}

// handleAppendEntries appends the leader's entries if the entry that precedes them matches, and rejects them
// otherwise (paper 5.3). They are acknowledged once they are durable.
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
	n.follower.verifiedIndex = max(n.follower.verifiedIndex, end)
	n.followLeaderCommit(message.Commit)
	n.confirmIfUpToDate(message.Commit)
	if !added || n.ackableIndex() >= end {
		n.acknowledge()
	}
}

// withoutCommittedEntries returns the message without its entries up to the commit index. These are the same in
// all logs, and compaction may have dropped them from this one.
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

// rejectAppendEntries sends the leader the highest index at which the logs may match, so that it lowers its next
// index by a term at a time instead of by a single entry (paper 5.3).
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

// appendMissing appends the entries that the log lacks, and reports whether there were any. If an entry conflicts
// with the log, the log is truncated from that entry on.
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

// truncate drops the entries from index on and restores the membership before them. It panics if one of the
// entries is committed.
func (n *Node) truncate(index uint64) {
	if index <= n.commitIndex {
		panic(fmt.Errorf("%w: entry %d conflicts, commit index is %d", ErrCommittedConflict, index, n.commitIndex))
	}
	n.log.truncate(index)
	n.follower.verifiedIndex = min(n.follower.verifiedIndex, index-1)
	n.persistence.truncate(index)
	if n.enforces(RuleMembershipRollback) {
		n.rollBackMemberships(index)
	}
}

// followLeaderCommit commits the entries that the leader has committed, as far as the logs are known to match.
func (n *Node) followLeaderCommit(leaderCommit uint64) {
	if n.enforces(RuleCommitVerified) {
		leaderCommit = min(leaderCommit, n.follower.verifiedIndex)
	}
	n.commitTo(leaderCommit)
}

// ackableIndex returns the last entry that may be acknowledged: up to it, the log matches the leader's and is
// durable. It returns 0 while the current term is not durable.
func (n *Node) ackableIndex() uint64 {
	if !n.enforces(RuleAppendDurable) {
		return n.follower.verifiedIndex
	}
	if n.persistence.durable.Term != n.term {
		return 0
	}
	return min(n.follower.verifiedIndex, n.persistence.stableIndex)
}

// acknowledge sends the leader the last entry that matches its log and is durable and, as HintIndex, the last
// entry that matches.
func (n *Node) acknowledge() {
	n.follower.ackedIndex = n.ackableIndex()
	n.send(Message{Kind: MessageAppendEntriesReply, To: n.leaderID, LogIndex: n.follower.ackedIndex, HintIndex: n.follower.verifiedIndex})
}

// handleHeartbeat follows the leader's commit index. It replies unless the message only carries that index.
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
		LogIndex:       n.follower.verifiedIndex,
		HintIndex:      n.ackableIndex(),
	})
}

// handleInstallSnapshot replaces the log with the leader's snapshot, unless the log already contains the
// snapshot's last entry.
func (n *Node) handleInstallSnapshot(message Message) {
	if n.role == RoleLeader || message.Snapshot == nil {
		return
	}
	n.recordLeaderContact(message)
	snapshot := message.Snapshot
	switch {
	case snapshot.Index <= n.commitIndex: // the snapshot contains nothing new
	case n.log.matches(snapshot.Index, snapshot.Term):
		n.follower.verifiedIndex = max(n.follower.verifiedIndex, snapshot.Index)
		n.commitTo(snapshot.Index)
	default:
		n.installSnapshot(*snapshot)
		return
	}
	n.acknowledge()
}

// installSnapshot replaces the log, the membership and the state machine's state with a snapshot.
func (n *Node) installSnapshot(snapshot Snapshot) {
	n.persistence.replaceWithSnapshot(n.commitIndex, snapshot.Index)
	n.log = entryLog{baseIndex: snapshot.Index, baseTerm: snapshot.Term}
	n.snapshot = snapshot
	n.memberships = []membership{newMembership(snapshot.Index, snapshot.Members)}
	n.commitIndex = snapshot.Index
	n.appliedIndex = snapshot.Index
	n.follower.verifiedIndex = snapshot.Index
	n.pendingRestore = &snapshot
	n.unpersistedSnapshot = &snapshot
}
