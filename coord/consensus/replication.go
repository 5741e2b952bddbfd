package consensus

import (
	"slices"
)

func (n *Node) peer(id MemberID) *progress {
	for _, peer := range n.leaderState.peers {
		if peer.id == id {
			return peer
		}
	}
	return nil
}

// syncPeers makes the peers those of the membership in force. Removed ones stay until the change is committed.
func (n *Node) syncPeers() {
	for _, member := range n.members() {
		if member.ID == n.config.ID {
			continue
		}
		if peer := n.peer(member.ID); peer != nil {
			peer.removing = false
			continue
		}
		n.leaderState.peers = append(n.leaderState.peers, &progress{id: member.ID, nextIndex: n.log.lastIndex() + 1})
	}
	for _, peer := range n.leaderState.peers {
		_, known := findMember(n.members(), peer.id)
		peer.removing = !known
	}
}

// dropRemovedPeers tells removed peers that their removal is committed, and forgets them.
func (n *Node) dropRemovedPeers() {
	n.leaderState.peers = slices.DeleteFunc(n.leaderState.peers, func(peer *progress) bool {
		if peer.removing {
			n.sendFinalEntries(peer)
		}
		return peer.removing
	})
}

// sendFinalEntries sends a removed peer what it lacks up to the commit index, in one message.
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
		Entries:  n.log.span(prevIndex+1, n.commitIndex),
	})
}

// replicateAll sends what peers lack. It is called once for all that came in between two Takes.
func (n *Node) replicateAll() {
	n.startReads()
	for _, peer := range n.leaderState.peers {
		n.replicateTo(peer)
	}
	n.finishTransfer()
}

// replicateTo sends a peer the entries that it lacks, as far as its flow allows, and the commit index.
func (n *Node) replicateTo(peer *progress) {
	for peer.nextIndex <= n.log.lastIndex() && n.canSend(peer) {
		n.sendEntries(peer)
	}
	if peer.state == stateReplicate && peer.sentCommit < n.commitIndex {
		n.sendCommitIndex(peer)
	}
}

func (n *Node) canSend(peer *progress) bool {
	switch peer.state {
	case stateProbe:
		return !peer.probeSent
	case stateReplicate:
		return len(peer.inflight) < max(1, n.config.MaxInflight)
	default:
		return false
	}
}

// sendEntries sends one message of entries, none if the peer has all, or a snapshot if they are not held any more.
func (n *Node) sendEntries(peer *progress) {
	prevIndex := peer.nextIndex - 1
	prevTerm, present := n.log.term(prevIndex)
	if !present {
		n.sendSnapshot(peer)
		return
	}
	entries := n.log.sizeLimited(peer.nextIndex, n.config.MaxAppendBytes)
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
	peer.inflight = append(peer.inflight, peer.nextIndex-1)
}

// sendSnapshot sends the last snapshot to a peer that is reachable.
func (n *Node) sendSnapshot(peer *progress) {
	peer.becomeProbe(peer.nextIndex)
	peer.probeSent = true
	if peer.answeredRound == 0 || n.now < peer.snapshotRetryAt {
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

// sendCommitIndex sends the commit index alone.
func (n *Node) sendCommitIndex(peer *progress) {
	peer.sentCommit = n.commitIndex
	n.send(Message{Kind: MessageHeartbeat, To: peer.id, Commit: n.commitIndex})
}

// handleAppendEntriesReply takes what a peer says it holds, or where to go on.
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

// backtrack lowers a peer's next entry to where the logs may agree. A peer that refuses what it acknowledged lost its
// disk without a new ID: it gets no more than the probes with heartbeats.
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

// highestPossibleMatch returns the highest index at which a log may agree whose entry at index is of the given term. It is
// before the leader's first entries if only a snapshot helps.
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

// updateMatch takes note that a peer holds entries durably up to one index and shares the log up to another.
func (n *Node) updateMatch(peer *progress, durableIndex, matchingIndex uint64) {
	matchingIndex = min(max(matchingIndex, durableIndex), n.log.lastIndex())
	peer.matchIndex = max(peer.matchIndex, min(durableIndex, n.log.lastIndex()))
	for len(peer.inflight) > 0 && peer.inflight[0] <= peer.matchIndex {
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
