package consensus

import "time"

// readQueue is a leader's pending reads. A round of heartbeats confirms reads that were asked for before it
// started, so that at most one round is in progress for all of them.
type readQueue struct {
	pending []uint64 // IDs that wait for the next round
	inRound []roundRead
}

// roundRead is a read that the replies to a round of heartbeats confirm.
type roundRead struct {
	id, index, round uint64
}

// ReadIndex asks for an index that covers everything acknowledged before the call (dissertation 6.4). The
// answer comes in Ready.Reads: with OK once a majority has answered a round of heartbeats that started
// after the call, or without if the member no longer leads. ID is the caller's, to tell answers apart.
//
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
	n.leader.reads.pending = append(n.leader.reads.pending, id)
	return nil
}

// canServeReads reports whether the leader's commit index covers everything that former terms committed: it
// does once an entry of its own term is committed.
func (n *Node) canServeReads() bool {
	return n.currentTermCommitted() || !n.enforces(RuleReadCurrentTerm)
}

// startReads starts a round of heartbeats for the pending reads, unless one is in progress for others.
func (n *Node) startReads() {
	reads := &n.leader.reads
	if len(reads.pending) == 0 || len(reads.inRound) > 0 || !n.canServeReads() {
		return
	}
	n.broadcastHeartbeat()
}

// assignReads assigns the pending reads to the round that starts.
func (n *Node) assignReads() {
	reads := &n.leader.reads
	if !n.canServeReads() {
		return
	}
	for _, id := range reads.pending {
		reads.inRound = append(reads.inRound, roundRead{id: id, index: n.commitIndex, round: n.leader.lastRound})
	}
	reads.pending = nil
}

// confirmReads answers the reads whose round a majority has answered.
func (n *Node) confirmReads() {
	reads := &n.leader.reads
	if len(reads.inRound) == 0 {
		return
	}
	confirmed := n.quorumValue(n.members(), n.ackedRoundOf)
	done := 0
	for done < len(reads.inRound) && reads.inRound[done].round <= confirmed {
		read := reads.inRound[done]
		n.readResults = append(n.readResults, ReadResult{ID: read.id, Index: read.index, OK: true})
		done++
	}
	reads.inRound = reads.inRound[done:]
}

// ackedRoundOf returns the latest round that a member has answered.
func (n *Node) ackedRoundOf(id MemberID) uint64 {
	if id == n.config.ID {
		return n.leader.lastRound
	}
	if peer := n.peer(id); peer != nil {
		return peer.ackedRound
	}
	return 0
}

// failReads answers all pending reads of a leader that steps down, without OK.
func (n *Node) failReads() {
	reads := &n.leader.reads
	for _, read := range reads.inRound {
		n.readResults = append(n.readResults, ReadResult{ID: read.id})
	}
	for _, id := range reads.pending {
		n.readResults = append(n.readResults, ReadResult{ID: id})
	}
	*reads = readQueue{}
}
