package consensus

import "time"

// leaderState is what a leader knows of its term.
type leaderState struct {
	peers            []*progress
	electedAt        time.Duration
	nextHeartbeat    time.Duration
	rounds           []heartbeatRound // sent and not too long ago
	lastRound        uint64
	uncommittedBytes int // of own entries that are not committed
	reads            readQueue
	transfer         leadershipTransfer
}

// heartbeatRound is one round of heartbeats.
type heartbeatRound struct {
	number uint64
	sentAt time.Duration
}

// Bounds of the entries that may wait for a majority.
const (
	maxUncommittedEntries = 4096
	maxUncommittedBytes   = 16 << 20
)

func (l *leaderState) nextTick() time.Duration {
	if l.transfer.target != 0 {
		return min(l.nextHeartbeat, l.transfer.deadline)
	}
	return l.nextHeartbeat
}

// becomeLeader starts a term as leader with an entry of its own.
func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leaderID = n.config.ID
	n.grantedVotes = nil
	n.leaderState = leaderState{electedAt: n.now}
	n.syncPeers()
	n.appendEntry(Entry{Kind: EntryNoop})
	n.broadcastHeartbeat()
	n.advanceCommit()
}

// resetLeaderState answers what waits for the leader, and forgets its peers.
func (n *Node) resetLeaderState() {
	n.failReads()
	n.leaderState = leaderState{}
	n.confirmedAt = 0
}

// appendEntry appends an entry of the present term.
func (n *Node) appendEntry(entry Entry) Entry {
	entry.Term = n.term
	entry.Index = n.log.lastIndex() + 1
	n.log.append(entry)
	n.recordMemberships([]Entry{entry})
	n.leaderState.uncommittedBytes += entrySize(&entry)
	return entry
}

// checkProposable reports why the member cannot take a proposal.
func (n *Node) checkProposable() error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if n.leaderState.transfer.target != 0 {
		return ErrTransferInProgress
	}
	return nil
}

// Propose appends a command to the leader's log. It is committed once Take hands out an entry of this term and
// index; it is lost if an entry of another term takes its place.
// Errors: ErrNotLeader, ErrTransferring, ErrBusy.
func (n *Node) Propose(now time.Duration, data []byte) (term, index uint64, err error) {
	n.advanceClock(now)
	n.checkQuorum()
	if err := n.checkProposable(); err != nil {
		return 0, 0, err
	}
	uncommitted := n.log.lastIndex() - n.commitIndex
	if uncommitted >= maxUncommittedEntries || (n.leaderState.uncommittedBytes >= maxUncommittedBytes && uncommitted > 0) {
		return 0, 0, ErrTooManyUncommitted
	}
	entry := n.appendEntry(Entry{Kind: EntryCommand, Data: data})
	if !n.enforces(RuleLeaderEntriesDurable) {
		n.advanceCommit()
	}
	return entry.Term, entry.Index, nil
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

// releaseUncommitted counts off the entries that become committed.
func (n *Node) releaseUncommitted(quorumIndex uint64) {
	for _, entry := range n.log.span(n.commitIndex+1, quorumIndex) {
		if entry.Term == n.term {
			n.leaderState.uncommittedBytes -= entrySize(&entry)
		}
	}
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
