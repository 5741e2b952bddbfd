package consensus

import "slices"

// peer returns the progress of the peer with an ID, or nil if the leader has no such peer.
func (n *Node) peer(id MemberID) *progress {
	for _, peer := range n.leader.peers {
		if peer.id == id {
			return peer
		}
	}
	return nil
}

// syncPeers updates the leader's peers to the current membership. Removed peers stay until their removal is
// committed.
func (n *Node) syncPeers() {
	for _, member := range n.members() {
		if member.ID == n.config.ID {
			continue
		}
		if peer := n.peer(member.ID); peer != nil {
			peer.removalPending = false
			continue
		}
		n.leader.peers = append(n.leader.peers, &progress{id: member.ID, nextIndex: n.log.lastIndex() + 1})
	}
	for _, peer := range n.leader.peers {
		_, known := findMember(n.members(), peer.id)
		peer.removalPending = !known
	}
}

// dropRemovedPeers sends removed peers the entries up to their committed removal, and stops tracking them.
func (n *Node) dropRemovedPeers() {
	n.leader.peers = slices.DeleteFunc(n.leader.peers, func(peer *progress) bool {
		if peer.removalPending {
			n.sendFinalEntries(peer)
		}
		return peer.removalPending
	})
}

// sendFinalEntries sends a removed peer the entries that it lacks up to the commit index in one message, unless
// there are more than maxPromotionLag or compaction has dropped some.
func (n *Node) sendFinalEntries(peer *progress) {
	prevIndex := peer.matchIndex
	prevTerm, present := n.log.term(prevIndex)
	if !present || n.commitIndex-prevIndex > maxPromotionLag {
		return
	}
	n.send(Message{
		Kind:     MessageAppendEntries,
		To:       peer.id,
		LogIndex: prevIndex,
		LogTerm:  prevTerm,
		Commit:   n.commitIndex,
		Entries:  n.log.slice(prevIndex+1, n.commitIndex),
	})
}

// replicateAll sends peers the entries, snapshots and commit index that they lack. Ready calls it once for all
// events since the previous Ready.
func (n *Node) replicateAll() {
	n.startReadRound()
	for _, peer := range n.leader.peers {
		n.replicateTo(peer)
	}
	n.finishTransfer()
}

// replicateTo sends a peer the entries that it lacks, as far as its state allows, and a new commit index.
func (n *Node) replicateTo(peer *progress) {
	for peer.nextIndex <= n.log.lastIndex() && n.canSend(peer) {
		n.sendEntries(peer)
	}
	if peer.state == stateReplicate && peer.sentCommit < n.commitIndex {
		n.sendCommitIndex(peer)
	}
}

// canSend reports whether the peer's state and the in-flight limits allow another AppendEntries.
func (n *Node) canSend(peer *progress) bool {
	switch peer.state {
	case stateProbe:
		return !peer.probeSent
	case stateReplicate:
		limit := max(1, n.config.MaxInflight)
		return len(peer.inflight) < limit && peer.inflightBytes() < limit*n.config.MaxAppendBytes
	default:
		return false
	}
}

// sendEntries sends a peer one AppendEntries with entries from its next index on, or without entries if it has
// been sent all of them. If compaction has dropped the entry that precedes them, it sends a snapshot instead.
func (n *Node) sendEntries(peer *progress) {
	prevIndex := peer.nextIndex - 1
	prevTerm, present := n.log.term(prevIndex)
	if !present {
		n.sendSnapshot(peer)
		return
	}
	entries := n.log.limitedSlice(peer.nextIndex, n.config.MaxAppendBytes)
	n.send(Message{
		Kind:     MessageAppendEntries,
		To:       peer.id,
		LogIndex: prevIndex,
		LogTerm:  prevTerm,
		Commit:   n.commitIndex,
		Entries:  entries,
	})
	peer.sentCommit = n.commitIndex
	if peer.state == stateProbe {
		peer.probeSent = true
		return
	}
	peer.nextIndex += uint64(len(entries))
	peer.inflight = append(peer.inflight, sentAppend{lastIndex: peer.nextIndex - 1, bytes: entriesSize(entries)})
}

// sendSnapshot sends the latest snapshot to a peer that has answered a heartbeat, unless the previous one was sent
// too recently. If none can be sent, the peer stays in stateProbe.
func (n *Node) sendSnapshot(peer *progress) {
	peer.becomeProbe(peer.nextIndex)
	peer.probeSent = true
	if peer.ackedRound == 0 || n.now < peer.snapshotRetryAt {
		return
	}
	backoff := max(n.config.ElectionTimeout, peer.snapshotBackoff)
	peer.snapshotRetryAt = n.now + backoff
	peer.snapshotBackoff = min(2*backoff, maxSnapshotBackoff*n.config.ElectionTimeout)
	peer.state = stateSnapshot
	peer.nextIndex = n.snapshot.Index + 1
	snapshot := n.snapshot
	n.send(Message{Kind: MessageInstallSnapshot, To: peer.id, Commit: n.commitIndex, Snapshot: &snapshot})
}

// sendCommitIndex sends a peer a heartbeat that only carries the commit index and requests no reply.
func (n *Node) sendCommitIndex(peer *progress) {
	peer.sentCommit = n.commitIndex
	n.send(Message{Kind: MessageHeartbeat, To: peer.id, Commit: n.commitIndex})
}

// handleAppendEntriesReply records the entries that a peer acknowledged, or lowers its next index after a
// rejection.
func (n *Node) handleAppendEntriesReply(message Message) {
	peer := n.peer(message.From)
	if n.role != RoleLeader || peer == nil {
		return
	}
	if message.Reject {
		n.backtrack(peer, message)
		return
	}
	n.updateMatch(peer, message.LogIndex, message.HintIndex)
}

// backtrack lowers a peer's next index to where the logs may match. It ignores rejections of entries that the peer
// has acknowledged: such a peer lost its disk without a new ID, and is only sent the probes that follow heartbeat
// replies.
func (n *Node) backtrack(peer *progress, message Message) {
	stale := message.LogIndex <= peer.matchIndex || message.LogIndex >= peer.nextIndex
	if peer.state == stateProbe {
		stale = message.LogIndex != peer.nextIndex-1 || message.LogIndex <= peer.matchIndex
	}
	if stale || peer.state == stateSnapshot {
		return
	}
	peer.becomeProbe(max(peer.matchIndex, n.highestPossibleMatch(message.HintIndex, message.HintTerm)) + 1)
}

// highestPossibleMatch returns the highest index at which a peer's log may match, given the term of the peer's
// entry at index. The result is before baseIndex if the peer needs a snapshot.
func (n *Node) highestPossibleMatch(index, term uint64) uint64 {
	if index < n.log.baseIndex {
		return index
	}
	found, foundTerm := n.log.findConflictByTerm(index, term)
	if foundTerm > term {
		return found - 1
	}
	return found
}

// updateMatch records that a peer's log matches up to matchingIndex and is durable up to durableIndex. Once the
// entry before the peer's next index matches, replication continues with several messages in flight.
func (n *Node) updateMatch(peer *progress, durableIndex, matchingIndex uint64) {
	matchingIndex = min(max(matchingIndex, durableIndex), n.log.lastIndex())
	peer.matchIndex = max(peer.matchIndex, min(durableIndex, n.log.lastIndex()))
	for len(peer.inflight) > 0 && peer.inflight[0].lastIndex <= peer.matchIndex {
		peer.inflight = peer.inflight[1:]
	}
	if peer.state != stateReplicate && matchingIndex >= peer.nextIndex-1 {
		peer.state = stateReplicate
		peer.nextIndex = matchingIndex + 1
		peer.inflight = nil
		peer.lossCheckRound = 0
		peer.snapshotRetryAt, peer.snapshotBackoff = 0, 0
	}
	n.advanceCommit()
}
