package consensus

import "time"

// leaderState is what a leader knows of its term.
type leaderState struct {
	peers            []*progress
	electedAt        time.Duration
	nextHeartbeat    time.Duration
	rounds           []heartbeatRound // sent and not too long ago
	lastRound        uint64
	uncommittedBytes int // of own entries that are not committed
	reads            readQueue
	transfer         leadershipTransfer
}

func (l *leaderState) nextTick() time.Duration {
	if l.transfer.target != 0 {
		return min(l.nextHeartbeat, l.transfer.deadline)
	}
	return l.nextHeartbeat
}

// becomeLeader starts a term as leader with an entry of its own.
func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leaderID = n.config.ID
	n.grantedVotes = nil
	n.leaderState = leaderState{electedAt: n.now}
	n.syncPeers()
	n.appendEntry(Entry{Kind: EntryNoop})
	n.broadcastHeartbeat()
	n.advanceCommit()
}

// resetLeaderState answers what waits for the leader, and forgets its peers.
func (n *Node) resetLeaderState() {
	n.failReads()
	n.leaderState = leaderState{}
	n.confirmedAt = 0
}
