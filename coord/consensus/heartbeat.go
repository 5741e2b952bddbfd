package consensus

import "time"

// heartbeatRound is one round of heartbeats to all peers. Its number comes back in their replies.
type heartbeatRound struct {
	number uint64
	sentAt time.Duration
}

// tickLeader does what is due for a leader: it steps down without a quorum, gives up a leadership transfer
// that takes too long and sends heartbeats.
func (n *Node) tickLeader() {
	n.checkQuorum()
	if n.role != RoleLeader {
		return
	}
	n.tickTransfer()
	if n.now >= n.leader.nextHeartbeat {
		n.broadcastHeartbeat()
	}
}

// checkQuorum has a leader step down that no majority has answered for an election timeout: by then another
// one may be elected. Every call that acts as leader checks this first, so that a process that was
// suspended does not act on its old term.
func (n *Node) checkQuorum() {
	if n.role != RoleLeader {
		return
	}
	if n.now-max(n.quorumContactAt(), n.leader.electedAt) > n.config.ElectionTimeout {
		n.becomeFollower(n.term)
	}
}

// quorumContactAt returns the time by which a heartbeat was sent that a majority has answered. No other
// leader was elected before then.
func (n *Node) quorumContactAt() time.Duration {
	return time.Duration(n.quorumValue(n.members(), n.contactAt))
}

// contactAt returns when the latest heartbeat was sent that a member has answered, in nanoseconds for
// quorumValue; 0 if it has answered none.
func (n *Node) contactAt(id MemberID) uint64 {
	if id == n.config.ID {
		return uint64(n.now)
	}
	if peer := n.peer(id); peer != nil {
		return uint64(peer.contactAt)
	}
	return 0
}

// broadcastHeartbeat starts a round: it sends a heartbeat to all peers. The reads that wait for a round are
// confirmed by the replies.
func (n *Node) broadcastHeartbeat() {
	leader := &n.leader
	leader.lastRound++
	leader.nextHeartbeat = n.now + n.config.HeartbeatInterval
	n.dropExpiredRounds()
	leader.rounds = append(leader.rounds, heartbeatRound{number: leader.lastRound, sentAt: n.now})
	n.assignReads()
	for _, peer := range leader.peers {
		peer.startLossCheck(leader.lastRound)
		peer.sentCommit = n.commitIndex
		n.send(Message{Kind: MessageHeartbeat, To: peer.id, Commit: n.commitIndex, HeartbeatRound: leader.lastRound})
	}
	n.confirmReads()
}

// dropExpiredRounds drops the rounds sent more than an election timeout ago: a reply to them renews
// nothing.
func (n *Node) dropExpiredRounds() {
	rounds := n.leader.rounds
	for len(rounds) > 0 && n.now-rounds[0].sentAt > n.config.ElectionTimeout {
		rounds = rounds[1:]
	}
	n.leader.rounds = rounds
}

// roundSentAt returns when a round was sent, and false if it is unknown or expired.
func (n *Node) roundSentAt(number uint64) (time.Duration, bool) {
	for _, round := range n.leader.rounds {
		if round.number == number {
			return round.sentAt, true
		}
	}
	return 0, false
}

// handleHeartbeatReply renews the leader's contact with a peer, confirms reads, and resends entries that
// were lost on the way.
func (n *Node) handleHeartbeatReply(message Message) {
	peer := n.peer(message.From)
	if n.role != RoleLeader || peer == nil {
		return
	}
	if sent, known := n.roundSentAt(message.HeartbeatRound); known {
		peer.ackedRound = max(peer.ackedRound, message.HeartbeatRound)
		peer.contactAt = max(peer.contactAt, sent)
	}
	n.confirmReads()
	n.updateMatch(peer, message.HintIndex, message.LogIndex)
	if n.role == RoleLeader {
		n.resendLost(peer, message)
	}
}

// resendLost resumes replication to a peer whose reply lacks entries that were sent before the heartbeat
// that it answers.
func (n *Node) resendLost(peer *progress, message Message) {
	switch peer.state {
	case stateProbe:
		peer.probeSent = false
		if peer.nextIndex > n.log.lastIndex() && message.LogIndex < n.log.lastIndex() {
			n.sendEntries(peer)
		}
	case stateSnapshot:
		if n.now >= peer.snapshotRetryAt {
			peer.becomeProbe(peer.matchIndex + 1)
		}
	case stateReplicate:
		if peer.lossCheckRound == 0 || message.HeartbeatRound < peer.lossCheckRound {
			return
		}
		lost := message.LogIndex < peer.lossCheckIndex
		peer.lossCheckRound = 0
		if lost {
			peer.becomeProbe(max(peer.matchIndex, min(message.LogIndex, n.log.lastIndex())) + 1)
		}
	}
}
