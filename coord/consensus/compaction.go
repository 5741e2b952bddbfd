package consensus

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
