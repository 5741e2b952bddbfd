package consensus

import "time"

// leaderState is the state of a leader in its term.
type leaderState struct {
	peers            []*progress // all other members, and removed ones until their removal is committed
	electedAt        time.Duration
	nextHeartbeat    time.Duration
	rounds           []heartbeatRound // rounds sent within the last election timeout, oldest first
	lastRound        uint64           // number of the latest round
	uncommittedBytes int              // estimated size of this term's uncommitted entries
	reads            readQueue
	transfer         leadershipTransfer
}

// nextTick returns the time of the leader's next timeout.
func (l *leaderState) nextTick() time.Duration {
	if l.transfer.target != 0 {
		return min(l.nextHeartbeat, l.transfer.deadline)
	}
	return l.nextHeartbeat
}

// becomeLeader makes a candidate the leader of its term. It appends a no-op entry, whose commit also commits all
// entries of former terms (paper 5.4.2), and sends a round of heartbeats.
func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leaderID = n.config.ID
	n.election.grantedVotes = nil
	n.leader = leaderState{electedAt: n.now}
	n.syncPeers()
	n.appendEntry(Entry{Kind: EntryNoop})
	n.broadcastHeartbeat()
	n.advanceCommit()
}

// resetLeaderState fails the pending reads and clears the leader's state when it steps down.
func (n *Node) resetLeaderState() {
	n.failReads()
	n.leader = leaderState{}
	n.follower.confirmedAt = 0
}
