package consensus

import "time"

// readQueue holds a leader's reads.
type readQueue struct {
	waiting  []uint64 // IDs that no round confirms yet
	assigned []assignedRead
}

// assignedRead is a read that the answers to a round confirm.
type assignedRead struct {
	id, index, round uint64
}

// Read asks for an index that covers all that was acknowledged before the call. The answer comes in Ready.Reads once
// a majority has confirmed the leader, or with OK false once it leads no more.
// Errors: ErrNotLeader.
func (n *Node) Read(now time.Duration, id uint64) error {
	n.advance(now)
	n.checkQuorum()
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if !n.holds(RuleReadConfirmed) {
		n.readResults = append(n.readResults, ReadResult{ID: id, Index: n.commit, OK: true})
		return nil
	}
	n.leading.reads.waiting = append(n.leading.reads.waiting, id)
	return nil
}

// readable reports whether the leader knows of all that former terms committed.
func (n *Node) readable() bool {
	return n.ownTermCommitted() || !n.holds(RuleReadOwnTerm)
}

// startReads starts a round for the reads that wait, unless one is under way for others.
func (n *Node) startReads() {
	reads := &n.leading.reads
	if len(reads.waiting) == 0 || len(reads.assigned) > 0 || !n.readable() {
		return
	}
	n.startRound()
}

// assignReads has the round that starts confirm the reads that wait.
func (n *Node) assignReads() {
	reads := &n.leading.reads
	if !n.readable() {
		return
	}
	for _, id := range reads.waiting {
		reads.assigned = append(reads.assigned, assignedRead{id: id, index: n.commit, round: n.leading.lastRound})
	}
	reads.waiting = nil
}

// confirmReads answers the reads whose round a majority has answered.
func (n *Node) confirmReads() {
	reads := &n.leading.reads
	if len(reads.assigned) == 0 {
		return
	}
	confirmed := reachedByMajority(n, n.members(), n.roundOf)
	done := 0
	for done < len(reads.assigned) && reads.assigned[done].round <= confirmed {
		read := reads.assigned[done]
		n.readResults = append(n.readResults, ReadResult{ID: read.id, Index: read.index, OK: true})
		done++
	}
	reads.assigned = reads.assigned[done:]
}

// roundOf returns the last round that a member has answered.
func (n *Node) roundOf(id MemberID) uint64 {
	if id == n.config.ID {
		return n.leading.lastRound
	}
	if peer := n.peer(id); peer != nil {
		return peer.round
	}
	return 0
}

// failReads answers all reads of a leader that leads no more.
func (n *Node) failReads() {
	reads := &n.leading.reads
	for _, read := range reads.assigned {
		n.readResults = append(n.readResults, ReadResult{ID: read.id})
	}
	for _, id := range reads.waiting {
		n.readResults = append(n.readResults, ReadResult{ID: id})
	}
	*reads = readQueue{}
}
