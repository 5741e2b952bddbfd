package consensus

import (
	"slices"
	"time"
)

// leadershipTransfer is a transfer of leadership to another voter. The leader rejects proposals while one is in
// progress.
type leadershipTransfer struct {
	target         MemberID      // 0: no transfer is in progress
	deadline       time.Duration // when the transfer is aborted
	timeoutNowSent bool
	retryAt        time.Duration // earliest next attempt of a leader whose disk takes no writes
}

// TransferLeadership starts a transfer of leadership to another voter or, if target is 0, to the responsive one
// with the most complete log that is not excluded. Proposals are rejected until the member steps down or an election timeout has
// passed.
//
// Errors: ErrNotLeader, ErrTransferInProgress, ErrNoTransferTarget.
func (n *Node) TransferLeadership(now time.Duration, target MemberID, excluded ...MemberID) error {
	n.advanceClock(now)
	n.checkQuorum()
	if err := n.checkProposable(); err != nil {
		return err
	}
	if target == 0 {
		best := n.bestTransferTarget(excluded)
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

// bestTransferTarget returns the responsive peer that is a voter, is not excluded and has the most complete durable log, or nil.
func (n *Node) bestTransferTarget(excluded []MemberID) *progress {
	var best *progress
	for _, peer := range n.leader.peers {
		if !n.isResponsive(peer) || !n.isVoter(peer.id) || slices.Contains(excluded, peer.id) {
			continue
		}
		if best == nil || peer.matchIndex > best.matchIndex {
			best = peer
		}
	}
	return best
}

// startTransferToBestPeer starts a transfer from a leader whose disk takes no writes to the best target, unless the
// previous attempt started less than two election timeouts ago.
func (n *Node) startTransferToBestPeer() {
	transfer := &n.leader.transfer
	if transfer.target != 0 || n.now < transfer.retryAt {
		return
	}
	best := n.bestTransferTarget(nil)
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

// tickTransfer aborts a transfer whose deadline has passed, and starts one if the leader's disk takes no writes.
func (n *Node) tickTransfer() {
	transfer := &n.leader.transfer
	if transfer.target != 0 && n.now >= transfer.deadline {
		*transfer = leadershipTransfer{retryAt: transfer.retryAt}
	}
	if !n.diskWritable {
		n.startTransferToBestPeer()
	}
}

// finishTransfer asks the target to start an election once its durable log is complete.
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

// handleTimeoutNow starts an election without a pre-vote, because the leader itself requested it.
func (n *Node) handleTimeoutNow(message Message) {
	if message.From != n.leaderID || !n.canCampaign() {
		return
	}
	n.startElection(true)
}
