package consensus

import "time"

// leaderState is what a leader knows in its term.
type leaderState struct {
	peers            []*progress // all other members; removed ones until the change is committed
	electedAt        time.Duration
	nextHeartbeat    time.Duration
	rounds           []heartbeatRound // sent within the last election timeout, oldest first
	lastRound        uint64           // number of the latest round
	uncommittedBytes int              // of this term's entries that are not committed
	reads            readQueue
	transfer         leadershipTransfer
}

// nextTick returns when the leader has something to do by time alone.
func (l *leaderState) nextTick() time.Duration {
	if l.transfer.target != 0 {
		return min(l.nextHeartbeat, l.transfer.deadline)
	}
	return l.nextHeartbeat
}

// becomeLeader starts the term as leader: with a no-op entry, by whose commit all entries of former terms
// are committed (paper 5.4.2), and with a round of heartbeats.
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

// resetLeaderState fails the pending reads and forgets the peers, on stepping down.
func (n *Node) resetLeaderState() {
	n.failReads()
	n.leader = leaderState{}
	n.follower.confirmedAt = 0
}
