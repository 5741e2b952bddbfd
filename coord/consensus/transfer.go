package consensus

import "time"

// leadershipTransfer is a planned transfer of leadership.
type leadershipTransfer struct {
	target         MemberID // 0: none under way
	deadline       time.Duration
	timeoutNowSent bool          // the successor was told to campaign
	retryAt        time.Duration // when a leader whose disk takes no writes may try again
}

// TransferLeadership hands leadership over to another voter, or to the most current one if to is 0. Until it is
// done, or an election timeout has passed, proposals are refused.
// Errors: ErrNotLeader, ErrTransferring, ErrNoSuccessor.
func (n *Node) TransferLeadership(now time.Duration, target MemberID) error {
	n.advanceClock(now)
	n.checkQuorum()
	if err := n.checkProposable(); err != nil {
		return err
	}
	if target == 0 {
		best := n.bestTransferTarget()
		if best == nil {
			return ErrNoTransferTarget
		}
		target = best.id
	}
	if target == n.config.ID || n.peer(target) == nil || !n.isVoter(target) {
		return ErrNoTransferTarget
	}
	n.leaderState.transfer = leadershipTransfer{target: target, deadline: n.now + n.config.ElectionTimeout}
	return nil
}

// bestTransferTarget returns the reachable voter that holds most of the log, or nil.
func (n *Node) bestTransferTarget() *progress {
	var best *progress
	for _, peer := range n.leaderState.peers {
		reachable := peer.answeredRound > 0 && n.now-peer.contactAt <= n.config.ElectionTimeout
		if !reachable || !n.isVoter(peer.id) {
			continue
		}
		if best == nil || peer.matchIndex > best.matchIndex {
			best = peer
		}
	}
	return best
}

// startTransferToBestPeer starts a transfer if the last one was not too long ago.
func (n *Node) startTransferToBestPeer() {
	transfer := &n.leaderState.transfer
	if transfer.target != 0 || n.now < transfer.retryAt {
		return
	}
	best := n.bestTransferTarget()
	if best == nil {
		return
	}
	pause := 2 * n.config.ElectionTimeout
	n.leaderState.transfer = leadershipTransfer{target: best.id, deadline: n.now + n.config.ElectionTimeout, retryAt: n.now + pause}
}

// tickTransfer gives up a transfer that takes too long, and starts one if the leader's disk takes no writes.
func (n *Node) tickTransfer() {
	transfer := &n.leaderState.transfer
	if transfer.target != 0 && n.now >= transfer.deadline {
		*transfer = leadershipTransfer{retryAt: transfer.retryAt}
	}
	if !n.diskWritable {
		n.startTransferToBestPeer()
	}
}

// finishTransfer tells the successor to campaign once it holds the whole log.
func (n *Node) finishTransfer() {
	transfer := &n.leaderState.transfer
	if transfer.target == 0 || transfer.timeoutNowSent {
		return
	}
	peer := n.peer(transfer.target)
	if peer == nil || peer.matchIndex < n.log.lastIndex() {
		return
	}
	transfer.timeoutNowSent = true
	n.send(Message{Kind: MessageTimeoutNow, To: transfer.target})
}

// handleTimeoutNow campaigns at once, without asking first who would vote.
func (n *Node) handleTimeoutNow(message Message) {
	if message.From != n.leaderID || !n.canCampaign() {
		return
	}
	n.startElection(true)
}
