package consensus

import "time"

// heartbeatRound is one round of heartbeats to all peers. Their replies carry its number.
type heartbeatRound struct {
	number uint64
	sentAt time.Duration
}

// tickLeader handles a leader's expired timeouts: it steps down without a quorum, aborts a leadership transfer
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

// checkQuorum makes a leader step down if no majority has answered it for an election timeout, because another
// leader may have been elected by then. Every call that acts as leader checks this first, so that a process that
// was suspended does not act on an outdated term.
func (n *Node) checkQuorum() {
	if n.role != RoleLeader {
		return
	}
	if n.now-max(n.quorumContactAt(), n.leader.electedAt) > n.config.ElectionTimeout {
		n.becomeFollower(n.term)
	}
}

// quorumContactAt returns the latest time such that a majority has answered a heartbeat sent at that time or
// later. No other leader was elected before that time.
func (n *Node) quorumContactAt() time.Duration {
	return time.Duration(n.quorumValue(n.members(), n.contactAt))
}

// contactAt returns when the latest heartbeat that a member has answered was sent, in nanoseconds for
// quorumValue. It returns 0 if the member has answered none.
func (n *Node) contactAt(id MemberID) uint64 {
	if id == n.config.ID {
		return uint64(n.now)
	}
	if peer := n.peer(id); peer != nil {
		return uint64(peer.contactAt)
	}
	return 0
}

// broadcastHeartbeat starts a round of heartbeats to all peers. The replies also confirm the pending reads.
func (n *Node) broadcastHeartbeat() {
	leader := &n.leader
	leader.lastRound++
	leader.nextHeartbeat = n.now + n.config.HeartbeatInterval
	n.dropExpiredRounds()
	leader.rounds = append(leader.rounds, heartbeatRound{number: leader.lastRound, sentAt: n.now})
	n.assignReadsToRound()
	for _, peer := range leader.peers {
		peer.startLossCheck(leader.lastRound)
		peer.sentCommit = n.commitIndex
		n.send(Message{Kind: MessageHeartbeat, To: peer.id, Commit: n.commitIndex, HeartbeatRound: leader.lastRound})
	}
	n.confirmReads()
}

// dropExpiredRounds drops the rounds sent more than an election timeout ago. A reply to one of them does not renew
// the contact with a peer.
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

// handleHeartbeatReply records the contact with a peer, confirms reads and resends entries lost in transit.
func (n *Node) handleHeartbeatReply(message Message) {
	peer := n.peer(message.From)
	if n.role != RoleLeader || peer == nil {
		return
	}
	if sentAt, known := n.roundSentAt(message.HeartbeatRound); known {
		peer.ackedRound = max(peer.ackedRound, message.HeartbeatRound)
		peer.contactAt = max(peer.contactAt, sentAt)
	}
	n.confirmReads()
	n.updateMatch(peer, message.HintIndex, message.LogIndex)
	if n.role == RoleLeader {
		n.resendLostEntries(peer, message)
	}
}

// resendLostEntries resumes replication to a peer whose reply shows that it lacks entries sent before the
// heartbeat. It also allows the next probe, and ends the wait for a snapshot whose retry pause has passed.
func (n *Node) resendLostEntries(peer *progress, message Message) {
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
