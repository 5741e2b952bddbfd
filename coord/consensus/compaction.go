package consensus

// Bounds of the entries retained before a snapshot for members a little behind.
const (
	defaultTrailingEntries = 256     // unless Config.TrailingEntries sets another number
	maxTrailingBytes       = 1 << 20 // whatever their number
)

// Bounds of the entries that a leader retains for members that are catching up, whatever is compacted meanwhile.
const (
	maxCatchUpEntries = 8192
	maxCatchUpBytes   = 16 << 20
)

// Compact reports that a snapshot of the state machine at an applied index is durable, and drops entries up
// to it from the log. Members nil stands for the membership at index. Data is sent to members that lack the
// dropped entries; the core keeps it without copying. An index that is not applied yet, or not after the
// latest snapshot, is ignored.
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

// trailingStart returns the index up to which entries may be dropped after a snapshot at index, with the
// trailing entries retained.
func (n *Node) trailingStart(index uint64) uint64 {
	maxEntries := n.config.TrailingEntries
	if maxEntries == 0 {
		maxEntries = defaultTrailingEntries
	}
	size, count := 0, 0
	for index > n.log.baseIndex && count < maxEntries {
		size += entrySize(&n.log.entries[index-n.log.baseIndex-1])
		if size > maxTrailingBytes {
			break
		}
		count++
		index--
	}
	return index
}

// retentionStart lowers the index up to which entries are dropped, so that active peers that are catching
// up find the entries that they need next: those they lack, or those after the snapshot that they are being
// sent. Otherwise steady writes could compact the log away under such a peer again and again, and it would
// need a snapshot each time. What is retained is bounded.
func (n *Node) retentionStart(compactTo uint64) uint64 {
	if n.role != RoleLeader || !n.enforces(RuleCatchUpRetention) {
		return compactTo
	}
	needed := compactTo
	for _, peer := range n.leader.peers {
		if matchIndex := peer.expectedMatchIndex(); n.recentlyActive(peer) && matchIndex >= n.log.baseIndex {
			needed = min(needed, matchIndex)
		}
	}
	return n.boundRetention(needed, compactTo)
}

// recentlyActive reports whether a peer has answered a heartbeat within the longest pause between two
// snapshots.
func (n *Node) recentlyActive(peer *progress) bool {
	return peer.contactAt > 0 && n.now-peer.contactAt <= maxSnapshotBackoff*n.config.ElectionTimeout
}

// boundRetention raises needed until the entries after it are within the bounds, and returns it or limit if
// that is lower.
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

// SnapshotAt returns the description of a snapshot with the state machine's data at an applied index. The
// caller makes it durable and calls Compact then. It returns false if the index is not applied, or before
// the latest snapshot.
func (n *Node) SnapshotAt(index uint64, data []byte) (Snapshot, bool) {
	term, present := n.log.term(index)
	if !present || index > n.appliedIndex || index < n.snapshot.Index {
		return Snapshot{}, false
	}
	return Snapshot{Index: index, Term: term, Members: n.membershipAt(index).recorded, Data: data}, true
}
