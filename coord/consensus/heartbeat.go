package consensus

import "time"

// heartbeatRound is one round of heartbeats.
type heartbeatRound struct {
	number uint64
	sentAt time.Duration
}

// tickLeader sends heartbeats and gives up a term or a transfer that does not get on.
func (n *Node) tickLeader() {
	n.checkQuorum()
	if n.role != RoleLeader {
		return
	}
	n.tickTransfer()
	if n.now >= n.leaderState.nextHeartbeat {
		n.broadcastHeartbeat()
	}
}

// checkQuorum ends the term of a leader that no majority has answered for an election timeout.
func (n *Node) checkQuorum() {
	if n.role != RoleLeader {
		return
	}
	if n.now-max(n.quorumContactAt(), n.leaderState.electedAt) > n.config.ElectionTimeout {
		n.becomeFollower(n.term)
	}
}

// quorumContactAt returns the time by which a heartbeat was sent that a majority has answered.
func (n *Node) quorumContactAt() time.Duration {
	return time.Duration(quorumValue(n, n.members(), n.contactAt))
}

// contactAt returns when the heartbeat was sent that a member answered last.
func (n *Node) contactAt(id MemberID) uint64 {
	if id == n.config.ID {
		return uint64(n.now)
	}
	if peer := n.peer(id); peer != nil {
		return uint64(peer.contactAt)
	}
	return 0
}

// broadcastHeartbeat sends a heartbeat to all peers. Reads that wait are confirmed by its answers.
func (n *Node) broadcastHeartbeat() {
	leading := &n.leaderState
	leading.lastRound++
	leading.nextHeartbeat = n.now + n.config.HeartbeatInterval
	n.dropExpiredRounds()
	leading.rounds = append(leading.rounds, heartbeatRound{number: leading.lastRound, sentAt: n.now})
	n.assignReads()
	for _, peer := range leading.peers {
		peer.startLossCheck(leading.lastRound)
		peer.sentCommit = n.commitIndex
		n.send(Message{Kind: MessageHeartbeat, To: peer.id, Commit: n.commitIndex, HeartbeatRound: leading.lastRound})
	}
	n.confirmReads()
}

// dropExpiredRounds drops rounds so old that an answer to them is worth nothing.
func (n *Node) dropExpiredRounds() {
	rounds := n.leaderState.rounds
	for len(rounds) > 0 && n.now-rounds[0].sentAt > n.config.ElectionTimeout {
		rounds = rounds[1:]
	}
	n.leaderState.rounds = rounds
}

func (n *Node) roundSentAt(number uint64) (time.Duration, bool) {
	for _, round := range n.leaderState.rounds {
		if round.number == number {
			return round.sentAt, true
		}
	}
	return 0, false
}

// handleHeartbeatReply confirms the leader's term and shows what was lost on the way.
func (n *Node) handleHeartbeatReply(message Message) {
	peer := n.peer(message.From)
	if n.role != RoleLeader || peer == nil {
		return
	}
	if sent, known := n.roundSentAt(message.HeartbeatRound); known {
		peer.answeredRound = max(peer.answeredRound, message.HeartbeatRound)
		peer.contactAt = max(peer.contactAt, sent)
	}
	n.confirmReads()
	n.updateMatch(peer, message.HintIndex, message.LogIndex)
	if n.role == RoleLeader {
		n.resendLost(peer, message)
	}
}

// resendLost goes back to what a peer lacks although it was sent before the heartbeat that it answers.
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
