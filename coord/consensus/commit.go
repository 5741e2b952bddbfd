package consensus

// advanceCommit commits the entries that are durable at a majority of voters, provided that the last of them is
// of the current term. Entries of former terms are committed only together with a later entry of the current
// term (paper 5.4.2).
func (n *Node) advanceCommit() {
	if n.role != RoleLeader {
		return
	}
	quorumIndex := n.quorumValue(n.members(), n.matchIndexOf)
	if !n.enforces(RuleCommitMajority) {
		quorumIndex = n.matchIndexOf(n.config.ID)
	}
	if quorumIndex <= n.commitIndex {
		return
	}
	term, _ := n.log.term(quorumIndex)
	if term != n.term && n.enforces(RuleCommitCurrentTerm) {
		return
	}
	n.reduceUncommittedBytes(quorumIndex)
	n.commitTo(quorumIndex)
	n.follower.verifiedIndex = n.commitIndex
	n.finishMembershipChange()
}

// matchIndexOf returns the last entry known to be durable at a member.
func (n *Node) matchIndexOf(id MemberID) uint64 {
	if id == n.config.ID {
		if !n.enforces(RuleLeaderEntriesDurable) {
			return n.log.lastIndex()
		}
		return n.persistence.stableIndex
	}
	if peer := n.peer(id); peer != nil {
		return peer.matchIndex
	}
	return 0
}

// finishMembershipChange completes a committed membership change. It sends the change to removed peers, so that
// they stop campaigning. A leader that is no longer a voter asks the peer with the most complete log to start an
// election, and steps down.
func (n *Node) finishMembershipChange() {
	if n.currentMembership().index > n.commitIndex {
		return
	}
	n.dropRemovedPeers()
	if n.isVoter(n.config.ID) {
		return
	}
	for _, peer := range n.leader.peers {
		n.sendCommitIndex(peer)
	}
	if best := n.bestTransferTarget(nil); best != nil && best.matchIndex == n.log.lastIndex() {
		n.send(Message{Kind: MessageTimeoutNow, To: best.id})
	}
	n.becomeFollower(n.term)
}
