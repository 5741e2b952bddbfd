package consensus

// advanceCommit commits the entries that a majority holds, if the last of them is of the own term.
func (n *Node) advanceCommit() {
	if n.role != RoleLeader {
		return
	}
	quorumIndex := quorumValue(n, n.members(), n.matchIndexOf)
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
	n.releaseUncommitted(quorumIndex)
	n.commitTo(quorumIndex)
	n.verifiedIndex = n.commitIndex
	n.finishMembershipChange()
}

// matchIndexOf returns the last entry that a member holds durably.
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

// finishMembershipChange acts on a committed change of members: removed peers get a last word, and a
// leader that is no voter any more steps down.
func (n *Node) finishMembershipChange() {
	if n.memberships[len(n.memberships)-1].index > n.commitIndex {
		return
	}
	n.dropRemovedPeers()
	if n.isVoter(n.config.ID) {
		return
	}
	for _, peer := range n.leaderState.peers {
		n.sendCommitIndex(peer)
	}
	if best := n.bestTransferTarget(); best != nil && best.matchIndex == n.log.lastIndex() {
		n.send(Message{Kind: MessageTimeoutNow, To: best.id})
	}
	n.becomeFollower(n.term)
}
