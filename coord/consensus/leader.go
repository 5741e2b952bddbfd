package consensus

import "time"

// leadership is what a leader knows of its term.
type leadership struct {
	peers         []*progress
	since         time.Duration
	nextHeartbeat time.Duration
	rounds        []round // sent and not too long ago
	lastRound     uint64
	waitingBytes  int // of own entries that are not committed
	reads         readQueue
	transfer      handover
}

// round is one round of heartbeats.
type round struct {
	number uint64
	sent   time.Duration
}

// Bounds of the entries that may wait for a majority.
const (
	maxWaitingEntries = 4096
	maxWaitingBytes   = 16 << 20
)

func (l *leadership) nextTick() time.Duration {
	if l.transfer.to != 0 {
		return min(l.nextHeartbeat, l.transfer.deadline)
	}
	return l.nextHeartbeat
}

// becomeLeader starts a term as leader with an entry of its own.
func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.config.ID
	n.ballots = nil
	n.leading = leadership{since: n.now}
	n.matchPeers()
	n.appendOwn(Entry{Kind: EntryNoop})
	n.startRound()
	n.advanceCommit()
}

// stopLeading answers what waits for the leader, and forgets its peers.
func (n *Node) stopLeading() {
	n.failReads()
	n.leading = leadership{}
	n.current = 0
}

// appendOwn appends an entry of the present term.
func (n *Node) appendOwn(entry Entry) Entry {
	entry.Term = n.term
	entry.Index = n.log.last() + 1
	n.log.append(entry)
	n.noteMembers([]Entry{entry})
	n.leading.waitingBytes += entrySize(&entry)
	return entry
}

// mayPropose reports why the member cannot take a proposal.
func (n *Node) mayPropose() error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if n.leading.transfer.to != 0 {
		return ErrTransferring
	}
	return nil
}

// Propose appends a command to the leader's log. It is committed once Take hands out an entry of this term and
// index; it is lost if an entry of another term takes its place.
// Errors: ErrNotLeader, ErrTransferring, ErrBusy.
func (n *Node) Propose(now time.Duration, data []byte) (term, index uint64, err error) {
	n.advance(now)
	n.checkQuorum()
	if err := n.mayPropose(); err != nil {
		return 0, 0, err
	}
	waiting := n.log.last() - n.commit
	if waiting >= maxWaitingEntries || (n.leading.waitingBytes >= maxWaitingBytes && waiting > 0) {
		return 0, 0, ErrBusy
	}
	entry := n.appendOwn(Entry{Kind: EntryCommand, Data: data})
	if !n.holds(RuleLeaderDurable) {
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
	n.checkTransfer()
	if n.now >= n.leading.nextHeartbeat {
		n.startRound()
	}
}

// checkQuorum ends the term of a leader that no majority has answered for an election timeout.
func (n *Node) checkQuorum() {
	if n.role != RoleLeader {
		return
	}
	if n.now-max(n.quorumAnswered(), n.leading.since) > n.config.ElectionTimeout {
		n.becomeFollower(n.term)
	}
}

// quorumAnswered returns the time by which a heartbeat was sent that a majority has answered.
func (n *Node) quorumAnswered() time.Duration {
	return time.Duration(reachedByMajority(n, n.members(), n.answeredBy))
}

// answeredBy returns when the heartbeat was sent that a member answered last.
func (n *Node) answeredBy(id MemberID) uint64 {
	if id == n.config.ID {
		return uint64(n.now)
	}
	if peer := n.peer(id); peer != nil {
		return uint64(peer.answered)
	}
	return 0
}

// startRound sends a heartbeat to all peers. Reads that wait are confirmed by its answers.
func (n *Node) startRound() {
	leading := &n.leading
	leading.lastRound++
	leading.nextHeartbeat = n.now + n.config.Heartbeat
	n.forgetRounds()
	leading.rounds = append(leading.rounds, round{number: leading.lastRound, sent: n.now})
	n.assignReads()
	for _, peer := range leading.peers {
		peer.heartbeatSent(leading.lastRound)
		peer.told = n.commit
		n.send(Message{Kind: MessageHeartbeat, To: peer.id, Commit: n.commit, Context: leading.lastRound})
	}
	n.confirmReads()
}

// forgetRounds drops rounds so old that an answer to them is worth nothing.
func (n *Node) forgetRounds() {
	rounds := n.leading.rounds
	for len(rounds) > 0 && n.now-rounds[0].sent > n.config.ElectionTimeout {
		rounds = rounds[1:]
	}
	n.leading.rounds = rounds
}

func (n *Node) roundSent(number uint64) (time.Duration, bool) {
	for _, sent := range n.leading.rounds {
		if sent.number == number {
			return sent.sent, true
		}
	}
	return 0, false
}

// advanceCommit commits the entries that a majority holds, if the last of them is of the own term.
func (n *Node) advanceCommit() {
	if n.role != RoleLeader {
		return
	}
	held := reachedByMajority(n, n.members(), n.heldBy)
	if !n.holds(RuleCommitMajority) {
		held = n.heldBy(n.config.ID)
	}
	if held <= n.commit {
		return
	}
	term, _ := n.log.term(held)
	if term != n.term && n.holds(RuleCommitOwnTerm) {
		return
	}
	n.settleWaiting(held)
	n.setCommit(held)
	n.verified = n.commit
	n.finishChange()
}

// settleWaiting counts off the entries that become committed.
func (n *Node) settleWaiting(held uint64) {
	for _, entry := range n.log.span(n.commit+1, held) {
		if entry.Term == n.term {
			n.leading.waitingBytes -= entrySize(&entry)
		}
	}
}

// heldBy returns the last entry that a member holds durably.
func (n *Node) heldBy(id MemberID) uint64 {
	if id == n.config.ID {
		if !n.holds(RuleLeaderDurable) {
			return n.log.last()
		}
		return n.disk.stable
	}
	if peer := n.peer(id); peer != nil {
		return peer.match
	}
	return 0
}

// finishChange acts on a committed change of members: removed peers get a last word, and a
// leader that is no voter any more steps down.
func (n *Node) finishChange() {
	if n.memberships[len(n.memberships)-1].index > n.commit {
		return
	}
	n.dismissPeers()
	if n.isVoter(n.config.ID) {
		return
	}
	for _, peer := range n.leading.peers {
		n.tellCommit(peer)
	}
	if successor := n.successor(); successor != nil && successor.match == n.log.last() {
		n.send(Message{Kind: MessageTransferNow, To: successor.id})
	}
	n.becomeFollower(n.term)
}
