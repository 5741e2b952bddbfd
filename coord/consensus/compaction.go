package consensus

// Limits of the entries that compaction retains before a snapshot for members slightly behind.
const (
	defaultTrailingEntries = 256     // if Config.TrailingEntries is 0
	maxTrailingBytes       = 1 << 20 // total size, for any number of entries
)

// Limits of the entries that a leader's compaction retains for members that are catching up.
const (
	maxCatchUpEntries = 8192
	maxCatchUpBytes   = 16 << 20
)

// Compact reports that a snapshot of the state machine at an applied index is durable, and drops entries up to it
// from the log. If members is nil, the snapshot has the membership at index. The leader sends data to members that
// lack the dropped entries; the core retains it without copying. The call is ignored if index is not applied yet
// or not after the latest snapshot.
func (n *Node) Compact(index uint64, members []Member, data []byte) {
	snapshot, known := n.SnapshotAt(index, data)
	if !known || index <= n.snapshot.Index {
		return
	}
	if members != nil {
		snapshot.Members = members
	}
	n.snapshot = snapshot
	n.log.compact(n.catchUpCompactionIndex(n.trailingCompactionIndex(index)))
	n.compactMemberships(index)
}

// trailingCompactionIndex returns the index up to which entries may be dropped after a snapshot at index, so that
// the trailing entries are retained.
func (n *Node) trailingCompactionIndex(index uint64) uint64 {
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

// catchUpCompactionIndex lowers compactTo, the index up to which entries are dropped, so that active peers that
// are catching up find the entries that they need next: those they lack, or those after the snapshot being sent
// to them. Without this, the log could be compacted under steady writes each time before such a peer receives its
// next entries, so that it would need one snapshot after the other. The retained entries are bounded.
func (n *Node) catchUpCompactionIndex(compactTo uint64) uint64 {
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

// recentlyActive reports whether a peer has answered a heartbeat sent within the maximum pause between two
// snapshots.
func (n *Node) recentlyActive(peer *progress) bool {
	return peer.contactAt > 0 && n.now-peer.contactAt <= maxSnapshotBackoff*n.config.ElectionTimeout
}

// boundRetention returns the lowest index, not below needed, after which the entries of the log are within the
// catch-up limits. It returns limit if that is lower.
func (n *Node) boundRetention(needed, limit uint64) uint64 {
	size, count, compactTo := 0, 0, n.log.lastIndex()
	for compactTo > needed {
		size += entrySize(&n.log.entries[compactTo-n.log.baseIndex-1])
		count++
		if size > maxCatchUpBytes || count > maxCatchUpEntries {
			break
		}
		compactTo--
	}
	return min(compactTo, limit)
}

// SnapshotAt returns a snapshot with the state machine's data at an applied index. The caller makes it durable and
// then calls Compact. It returns false if the index is not applied, no longer in the log, or before the latest
// snapshot.
func (n *Node) SnapshotAt(index uint64, data []byte) (Snapshot, bool) {
	term, present := n.log.term(index)
	if !present || index > n.appliedIndex || index < n.snapshot.Index {
		return Snapshot{}, false
	}
	return Snapshot{Index: index, Term: term, Members: n.membershipAt(index).withTombstones, Data: data}, true
}
