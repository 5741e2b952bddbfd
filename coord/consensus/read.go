package consensus

import "time"

// readQueue holds a leader's reads.
type readQueue struct {
	pending []uint64 // IDs that no round confirms yet
	inRound []roundRead
}

// roundRead is a read that the answers to a round confirm.
type roundRead struct {
	id, index, round uint64
}

// ReadIndex asks for an index that covers all that was acknowledged before the call. The answer comes in Ready.Reads once
// a majority has confirmed the leader, or with OK false once it leads no more.
// Errors: ErrNotLeader.
func (n *Node) ReadIndex(now time.Duration, id uint64) error {
	n.advanceClock(now)
	n.checkQuorum()
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if !n.enforces(RuleReadQuorumConfirmed) {
		n.readResults = append(n.readResults, ReadResult{ID: id, Index: n.commitIndex, OK: true})
		return nil
	}
	n.leaderState.reads.pending = append(n.leaderState.reads.pending, id)
	return nil
}

// canServeReads reports whether the leader knows of all that former terms committed.
func (n *Node) canServeReads() bool {
	return n.currentTermCommitted() || !n.enforces(RuleReadCurrentTerm)
}

// startReads starts a round for the reads that wait, unless one is under way for others.
func (n *Node) startReads() {
	reads := &n.leaderState.reads
	if len(reads.pending) == 0 || len(reads.inRound) > 0 || !n.canServeReads() {
		return
	}
	n.broadcastHeartbeat()
}

// assignReads has the round that starts confirm the reads that wait.
func (n *Node) assignReads() {
	reads := &n.leaderState.reads
	if !n.canServeReads() {
		return
	}
	for _, id := range reads.pending {
		reads.inRound = append(reads.inRound, roundRead{id: id, index: n.commitIndex, round: n.leaderState.lastRound})
	}
	reads.pending = nil
}

// confirmReads answers the reads whose round a majority has answered.
func (n *Node) confirmReads() {
	reads := &n.leaderState.reads
	if len(reads.inRound) == 0 {
		return
	}
	confirmed := quorumValue(n, n.members(), n.answeredRoundOf)
	done := 0
	for done < len(reads.inRound) && reads.inRound[done].round <= confirmed {
		read := reads.inRound[done]
		n.readResults = append(n.readResults, ReadResult{ID: read.id, Index: read.index, OK: true})
		done++
	}
	reads.inRound = reads.inRound[done:]
}

// answeredRoundOf returns the last round that a member has answered.
func (n *Node) answeredRoundOf(id MemberID) uint64 {
	if id == n.config.ID {
		return n.leaderState.lastRound
	}
	if peer := n.peer(id); peer != nil {
		return peer.answeredRound
	}
	return 0
}

// failReads answers all reads of a leader that leads no more.
func (n *Node) failReads() {
	reads := &n.leaderState.reads
	for _, read := range reads.inRound {
		n.readResults = append(n.readResults, ReadResult{ID: read.id})
	}
	for _, id := range reads.pending {
		n.readResults = append(n.readResults, ReadResult{ID: id})
	}
	*reads = readQueue{}
}
