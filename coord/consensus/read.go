package consensus

import "time"

// readQueue holds a leader's pending reads. A round of heartbeats confirms the reads requested before the round
// started. Later reads wait for the next round, so that one round serves any number of reads.
type readQueue struct {
	pending []uint64    // IDs of the reads that wait for the next round
	inRound []roundRead // reads of rounds in progress, oldest first
}

// roundRead is a read that is confirmed by a majority's replies to a round of heartbeats.
type roundRead struct {
	id, index, round uint64
}

// ReadIndex requests an index at which the state machine reflects every command acknowledged before the call
// (dissertation 6.4). Ready.Reads returns the result under the caller's id: with OK once a majority has answered
// a round of heartbeats that started after the call, or without OK if the member has lost leadership.
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

// canServeReads reports whether the leader's commit index is known to cover all entries committed in former
// terms, which is so once an entry of the leader's own term is committed.
func (n *Node) canServeReads() bool {
	return n.currentTermCommitted() || !n.enforces(RuleReadCurrentTerm)
}

// startReadRound starts a round of heartbeats for the pending reads, unless other reads wait for a round in
// progress.
func (n *Node) startReadRound() {
	reads := &n.leader.reads
	if len(reads.pending) == 0 || len(reads.inRound) > 0 || !n.canServeReads() {
		return
	}
	n.broadcastHeartbeat()
}

// assignReadsToRound assigns the pending reads to the round that is about to be sent.
func (n *Node) assignReadsToRound() {
	reads := &n.leader.reads
	if !n.canServeReads() {
		return
	}
	for _, id := range reads.pending {
		reads.inRound = append(reads.inRound, roundRead{id: id, index: n.commitIndex, round: n.leader.lastRound})
	}
	reads.pending = nil
}

// confirmReads returns the results of the reads whose round a majority has answered.
func (n *Node) confirmReads() {
	reads := &n.leader.reads
	if len(reads.inRound) == 0 {
		return
	}
	confirmed := n.quorumValue(n.members(), n.ackedRoundOf)
	confirmedCount := 0
	for confirmedCount < len(reads.inRound) && reads.inRound[confirmedCount].round <= confirmed {
		read := reads.inRound[confirmedCount]
		n.readResults = append(n.readResults, ReadResult{ID: read.id, Index: read.index, OK: true})
		confirmedCount++
	}
	reads.inRound = reads.inRound[confirmedCount:]
}

// ackedRoundOf returns the latest round that a member has answered, or 0.
func (n *Node) ackedRoundOf(id MemberID) uint64 {
	if id == n.config.ID {
		return n.leader.lastRound
	}
	if peer := n.peer(id); peer != nil {
		return peer.ackedRound
	}
	return 0
}

// failReads returns all pending reads without OK when the leader steps down.
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
