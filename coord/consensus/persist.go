package consensus

import "time"

// persistenceTracker tracks what of a member's state is durable.
type persistenceTracker struct {
	firstUnsaved uint64    // first entry that no Persist has held yet
	stableIndex  uint64    // last entry that is durable and still in the log
	handedOut    HardState // as last handed out
	durable      HardState // Term and Vote as last reported durable
	sequence     uint64
	pending      []pendingWrite // handed out, not yet reported durable
}

// pendingWrite is what one Persist held.
type pendingWrite struct {
	sequence  uint64
	lastIndex uint64     // last entry, 0 if it held none
	hardState *HardState // nil if it held none
}

// truncate takes note that the log was cut off from index on.
func (d *persistenceTracker) truncate(index uint64) {
	d.firstUnsaved = min(d.firstUnsaved, index)
	d.clampStable(index - 1)
}

// replace takes note that a snapshot at index takes the place of a log whose entries up to commit
// belong to the snapshot's history.
func (d *persistenceTracker) replace(commit, index uint64) {
	d.firstUnsaved = index + 1
	d.clampStable(commit)
}

// clampStable forgets what is durable after index, now or by a batch under way.
func (d *persistenceTracker) clampStable(index uint64) {
	d.stableIndex = min(d.stableIndex, index)
	for i := range d.pending {
		d.pending[i].lastIndex = min(d.pending[i].lastIndex, index)
	}
}

// complete takes note that all batches up to a sequence are durable.
func (d *persistenceTracker) complete(sequence uint64) {
	done := 0
	for done < len(d.pending) && d.pending[done].sequence <= sequence {
		write := d.pending[done]
		d.stableIndex = max(d.stableIndex, write.lastIndex)
		if write.hardState != nil {
			d.durable = *write.hardState
		}
		done++
	}
	d.pending = d.pending[done:]
}

// Ready returns all that is to be done since the last call.
func (n *Node) Ready() Ready {
	if n.role == RoleLeader {
		n.replicateAll()
	}
	ready := Ready{
		Persist:  n.nextPersistRequest(),
		Messages: n.messages,
		Restore:  n.pendingRestore,
		Reads:    n.readResults,
	}
	if n.appliedIndex < n.commitIndex {
		ready.Committed = n.log.span(n.appliedIndex+1, n.commitIndex)
		n.appliedIndex = n.commitIndex
	}
	n.messages, n.pendingRestore, n.readResults = nil, nil, nil
	return ready
}

// nextPersistRequest returns what is not handed out yet. A commit index alone costs no write.
func (n *Node) nextPersistRequest() *PersistRequest {
	hardState := HardState{Term: n.term, Vote: n.votedFor, Commit: n.commitIndex}
	handedOut := n.persistence.handedOut
	termOrVoteChanged := hardState.Term != handedOut.Term || hardState.Vote != handedOut.Vote
	entries := n.log.span(n.persistence.firstUnsaved, n.log.lastIndex())
	if !termOrVoteChanged && len(entries) == 0 && n.unpersistedSnapshot == nil {
		return nil
	}
	n.persistence.sequence++
	request := &PersistRequest{Sequence: n.persistence.sequence, Entries: entries, Snapshot: n.unpersistedSnapshot}
	write := pendingWrite{sequence: n.persistence.sequence}
	if len(entries) > 0 || n.unpersistedSnapshot != nil {
		write.lastIndex = n.log.lastIndex()
	}
	if hardState != handedOut {
		request.HardState, write.hardState = &hardState, &hardState
	}
	n.persistence.handedOut = hardState
	n.persistence.firstUnsaved = n.log.lastIndex() + 1
	n.persistence.pending = append(n.persistence.pending, write)
	n.unpersistedSnapshot = nil
	return request
}

// Persisted reports that what the Persist of this sequence and all before it held is durable. Whatever rests on it
// is released.
func (n *Node) Persisted(now time.Duration, sequence uint64) {
	n.advanceClock(now)
	n.persistence.complete(sequence)
	switch n.role {
	case RoleLeader:
		n.advanceCommit()
	case RoleCandidate:
		n.requestVotesIfDurable()
	default:
		n.grantVoteIfDurable()
		if n.leaderID != 0 && n.ackableIndex() > n.ackedIndex {
			n.acknowledge()
		}
	}
}

// defaultTrailingEntries is how many entries before a snapshot are kept unless the configuration says otherwise.
const defaultTrailingEntries = 256

// maxTrailingBytes bounds them, in bytes.
const maxTrailingBytes = 1 << 20

// Compact tells that a snapshot of the state machine at an applied index is durable, so that the entries up to it
// need not be kept. Data is sent to members that are further behind. Members nil stands for those at index.
// An index not applied yet, or not after the last snapshot, is ignored.
func (n *Node) Compact(index uint64, members []Member, data []byte) {
	snapshot, known := n.SnapshotAt(index, data)
	if !known || index <= n.snapshot.Index {
		return
	}
	if members != nil {
		snapshot.Members = members
	}
	n.snapshot = snapshot
	n.log.compact(n.retentionStart(n.trailingStart(index)))
	n.compactMemberships(index)
}

// trailingStart returns the index up to which entries are dropped after a snapshot at index.
func (n *Node) trailingStart(index uint64) uint64 {
	keep := n.config.TrailingEntries
	if keep == 0 {
		keep = defaultTrailingEntries
	}
	size, count := 0, 0
	for index > n.log.baseIndex && count < keep {
		size += entrySize(&n.log.entries[index-n.log.baseIndex-1])
		if size > maxTrailingBytes {
			break
		}
		count++
		index--
	}
	return index
}

// Bounds of the entries that a leader keeps for members that catch up, whatever is compacted meanwhile.
const (
	maxCatchUpEntries = 8192
	maxCatchUpBytes   = 16 << 20
)

// retentionStart returns the index up to which entries may be dropped so that members in touch which lack some of them,
// or are being sent a snapshot that stands before them, find the entries that they ask for next: else changes that
// go on could compact the log away under a member that catches up, again and again. What is kept is bounded.
func (n *Node) retentionStart(compactTo uint64) uint64 {
	if n.role != RoleLeader || !n.enforces(RuleCatchUpRetention) {
		return compactTo
	}
	needed := compactTo
	for _, peer := range n.leaderState.peers {
		if matchIndex := peer.expectedMatchIndex(); n.recentlyActive(peer) && matchIndex >= n.log.baseIndex {
			needed = min(needed, matchIndex)
		}
	}
	return n.boundRetention(needed, compactTo)
}

// expectedMatchIndex returns the last entry that the peer holds, or will hold with the snapshot that it is being sent.
func (p *progress) expectedMatchIndex() uint64 {
	if p.state == stateSnapshot {
		return p.nextIndex - 1
	}
	return p.matchIndex
}

// recentlyActive reports whether a peer has answered lately.
func (n *Node) recentlyActive(peer *progress) bool {
	return peer.contactAt > 0 && n.now-peer.contactAt <= maxSnapshotBackoff*n.config.ElectionTimeout
}

// boundRetention raises the start of what is kept, but not over most, until the entries after it are within bounds.
func (n *Node) boundRetention(needed, limit uint64) uint64 {
	size, count, first := 0, 0, n.log.lastIndex()
	for first > needed {
		size += entrySize(&n.log.entries[first-n.log.baseIndex-1])
		count++
		if size > maxCatchUpBytes || count > maxCatchUpEntries {
			break
		}
		first--
	}
	return min(first, limit)
}

// SnapshotAt describes the snapshot of the state machine at an applied index, to be made durable
// before Compact is called. It returns false if the index is not applied or no longer held.
func (n *Node) SnapshotAt(index uint64, data []byte) (Snapshot, bool) {
	term, present := n.log.term(index)
	if !present || index > n.appliedIndex || index < n.snapshot.Index {
		return Snapshot{}, false
	}
	return Snapshot{Index: index, Term: term, Members: n.membershipAt(index).recorded, Data: data}, true
}
