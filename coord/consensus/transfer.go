package consensus

import "time"

// handover is a planned transfer of leadership.
type handover struct {
	to       MemberID // 0: none under way
	deadline time.Duration
	asked    bool          // the successor was told to campaign
	next     time.Duration // when a leader whose disk takes no writes may try again
}

// Transfer hands leadership over to another voter, or to the most current one if to is 0. Until it is
// done, or an election timeout has passed, proposals are refused.
// Errors: ErrNotLeader, ErrTransferring, ErrNoSuccessor.
func (n *Node) Transfer(now time.Duration, to MemberID) error {
	n.advance(now)
	n.checkQuorum()
	if err := n.mayPropose(); err != nil {
		return err
	}
	if to == 0 {
		successor := n.successor()
		if successor == nil {
			return ErrNoSuccessor
		}
		to = successor.id
	}
	if to == n.config.ID || n.peer(to) == nil || !n.isVoter(to) {
		return ErrNoSuccessor
	}
	n.leading.transfer = handover{to: to, deadline: n.now + n.config.ElectionTimeout}
	return nil
}

// successor returns the reachable voter that holds most of the log, or nil.
func (n *Node) successor() *progress {
	var best *progress
	for _, peer := range n.leading.peers {
		reachable := peer.round > 0 && n.now-peer.answered <= n.config.ElectionTimeout
		if !reachable || !n.isVoter(peer.id) {
			continue
		}
		if best == nil || peer.match > best.match {
			best = peer
		}
	}
	return best
}

// handOver starts a transfer if the last one was not too long ago.
func (n *Node) handOver() {
	transfer := &n.leading.transfer
	if transfer.to != 0 || n.now < transfer.next {
		return
	}
	successor := n.successor()
	if successor == nil {
		return
	}
	pause := 2 * n.config.ElectionTimeout
	n.leading.transfer = handover{to: successor.id, deadline: n.now + n.config.ElectionTimeout, next: n.now + pause}
}

// checkTransfer gives up a transfer that takes too long, and starts one if the leader's disk takes no writes.
func (n *Node) checkTransfer() {
	transfer := &n.leading.transfer
	if transfer.to != 0 && n.now >= transfer.deadline {
		*transfer = handover{next: transfer.next}
	}
	if !n.writable {
		n.handOver()
	}
}

// finishTransfer tells the successor to campaign once it holds the whole log.
func (n *Node) finishTransfer() {
	transfer := &n.leading.transfer
	if transfer.to == 0 || transfer.asked {
		return
	}
	peer := n.peer(transfer.to)
	if peer == nil || peer.match < n.log.last() {
		return
	}
	transfer.asked = true
	n.send(Message{Kind: MessageTransferNow, To: transfer.to})
}

// onTransferNow campaigns at once, without asking first who would vote.
func (n *Node) onTransferNow(message Message) {
	if message.From != n.leader || !n.mayCampaign() {
		return
	}
	n.campaign(true)
}
