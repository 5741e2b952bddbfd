package consensus

import "time"

// leadershipTransfer is a transfer of leadership to another voter. Proposals are rejected meanwhile.
type leadershipTransfer struct {
	target         MemberID      // 0: no transfer is in progress
	deadline       time.Duration // when it is given up
	timeoutNowSent bool
	retryAt        time.Duration // when a leader whose disk takes no writes may start another
}

// TransferLeadership starts a transfer of leadership to another voter, or to the one with the most complete
// log if target is 0. Until another leader is known, or an election timeout has passed, proposals are
// rejected.
//
// Errors: ErrNotLeader, ErrTransferInProgress, ErrNoTransferTarget.
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
	n.leader.transfer = leadershipTransfer{target: target, deadline: n.now + n.config.ElectionTimeout}
	return nil
}

// bestTransferTarget returns the responsive voter with the most complete durable log, or nil.
func (n *Node) bestTransferTarget() *progress {
	var best *progress
	for _, peer := range n.leader.peers {
		if !n.responsive(peer) || !n.isVoter(peer.id) {
			continue
		}
		if best == nil || peer.matchIndex > best.matchIndex {
			best = peer
		}
	}
	return best
}

// startTransferToBestPeer starts a transfer away from a leader whose disk takes no writes, unless the last
// attempt was less than two election timeouts ago.
func (n *Node) startTransferToBestPeer() {
	transfer := &n.leader.transfer
	if transfer.target != 0 || n.now < transfer.retryAt {
		return
	}
	best := n.bestTransferTarget()
	if best == nil {
		return
	}
	backoff := 2 * n.config.ElectionTimeout
	n.leader.transfer = leadershipTransfer{
		target:   best.id,
		deadline: n.now + n.config.ElectionTimeout,
		retryAt:  n.now + backoff,
	}
}

// tickTransfer gives up a transfer that takes too long, and starts one if the leader's disk takes no
// writes.
func (n *Node) tickTransfer() {
	transfer := &n.leader.transfer
	if transfer.target != 0 && n.now >= transfer.deadline {
		*transfer = leadershipTransfer{retryAt: transfer.retryAt}
	}
	if !n.diskWritable {
		n.startTransferToBestPeer()
	}
}

// finishTransfer asks the target to start an election once its log is complete and durable.
func (n *Node) finishTransfer() {
	transfer := &n.leader.transfer
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

// handleTimeoutNow starts an election at once, without a pre-vote: the leader itself asked for it.
func (n *Node) handleTimeoutNow(message Message) {
	if message.From != n.leaderID || !n.canCampaign() {
		return
	}
	n.startElection(true)
}
