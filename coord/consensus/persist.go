package consensus

import "time"

// durability tracks what of a member's state is durable.
type durability struct {
	unsaved  uint64    // first entry that no Persist has held yet
	stable   uint64    // last entry that is durable and still in the log
	saved    HardState // as last handed out
	durable  HardState // Term and Vote as last reported durable
	sequence uint64
	pending  []batch // handed out, not yet reported durable
}

// batch is what one Persist held.
type batch struct {
	sequence uint64
	last     uint64     // last entry, 0 if it held none
	hard     *HardState // nil if it held none
}

// truncate takes note that the log was cut off from index on.
func (d *durability) truncate(index uint64) {
	d.unsaved = min(d.unsaved, index)
	d.limit(index - 1)
}

// replace takes note that a snapshot at index takes the place of a log whose entries up to commit
// belong to the snapshot's history.
func (d *durability) replace(commit, index uint64) {
	d.unsaved = index + 1
	d.limit(commit)
}

// limit forgets what is durable after index, now or by a batch under way.
func (d *durability) limit(index uint64) {
	d.stable = min(d.stable, index)
	for at := range d.pending {
		d.pending[at].last = min(d.pending[at].last, index)
	}
}

// report takes note that all batches up to a sequence are durable.
func (d *durability) report(sequence uint64) {
	done := 0
	for done < len(d.pending) && d.pending[done].sequence <= sequence {
		held := d.pending[done]
		d.stable = max(d.stable, held.last)
		if held.hard != nil {
			d.durable = *held.hard
		}
		done++
	}
	d.pending = d.pending[done:]
}

// Take returns all that is to be done since the last call.
func (n *Node) Take() Ready {
	if n.role == RoleLeader {
		n.lead()
	}
	ready := Ready{
		Persist:  n.takePersist(),
		Messages: n.outgoing,
		Restore:  n.restorePoint,
		Reads:    n.readResults,
	}
	if n.applied < n.commit {
		ready.Committed = n.log.span(n.applied+1, n.commit)
		n.applied = n.commit
	}
	n.outgoing, n.restorePoint, n.readResults = nil, nil, nil
	return ready
}

// takePersist returns what is not handed out yet. A commit index alone costs no write.
func (n *Node) takePersist() *Persist {
	hard := HardState{Term: n.term, Vote: n.vote, Commit: n.commit}
	saved := n.disk.saved
	promised := hard.Term != saved.Term || hard.Vote != saved.Vote
	entries := n.log.span(n.disk.unsaved, n.log.last())
	if !promised && len(entries) == 0 && n.pendingInsert == nil {
		return nil
	}
	n.disk.sequence++
	persist := &Persist{Sequence: n.disk.sequence, Entries: entries, Snapshot: n.pendingInsert}
	held := batch{sequence: n.disk.sequence}
	if len(entries) > 0 || n.pendingInsert != nil {
		held.last = n.log.last()
	}
	if hard != saved {
		persist.HardState, held.hard = &hard, &hard
	}
	n.disk.saved = hard
	n.disk.unsaved = n.log.last() + 1
	n.disk.pending = append(n.disk.pending, held)
	n.pendingInsert = nil
	return persist
}

// Persisted reports that what the Persist of this sequence and all before it held is durable. Whatever rests on it
// is released.
func (n *Node) Persisted(now time.Duration, sequence uint64) {
	n.advance(now)
	n.disk.report(sequence)
	switch n.role {
	case RoleLeader:
		n.advanceCommit()
	case RoleCandidate:
		n.askIfDurable()
	default:
		n.grantIfDurable()
		if n.leader != 0 && n.ackable() > n.acked {
			n.acknowledge()
		}
	}
}

// trailingEntries is how many entries before a snapshot are kept unless the configuration says otherwise.
const trailingEntries = 256

// trailingBytes bounds them, in bytes.
const trailingBytes = 1 << 20

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
	n.log.drop(n.neededStart(n.trailingStart(index)))
	n.forgetMembers(index)
}

// trailingStart returns the index up to which entries are dropped after a snapshot at index.
func (n *Node) trailingStart(index uint64) uint64 {
	keep := n.config.Trailing
	if keep == 0 {
		keep = trailingEntries
	}
	size, count := 0, 0
	for index > n.log.base && count < keep {
		size += entrySize(&n.log.entries[index-n.log.base-1])
		if size > trailingBytes {
			break
		}
		count++
		index--
	}
	return index
}

// Bounds of the entries that a leader keeps for members that catch up, whatever is compacted meanwhile.
const (
	catchUpEntries = 8192
	catchUpBytes   = 16 << 20
)

// neededStart returns the index up to which entries may be dropped so that members in touch which lack some of them,
// or are being sent a snapshot that stands before them, find the entries that they ask for next: else changes that
// go on could compact the log away under a member that catches up, again and again. What is kept is bounded.
func (n *Node) neededStart(start uint64) uint64 {
	if n.role != RoleLeader || !n.holds(RuleCatchUpKept) {
		return start
	}
	needed := start
	for _, peer := range n.leading.peers {
		if held := peer.holdsNext(); n.inTouch(peer) && held >= n.log.base {
			needed = min(needed, held)
		}
	}
	return n.boundedStart(needed, start)
}

// holdsNext returns the last entry that the peer holds, or will hold with the snapshot that it is being sent.
func (p *progress) holdsNext() uint64 {
	if p.flow == flowSnapshot {
		return p.next - 1
	}
	return p.match
}

// inTouch reports whether a peer has answered lately.
func (n *Node) inTouch(peer *progress) bool {
	return peer.answered > 0 && n.now-peer.answered <= maxSnapshotPause*n.config.ElectionTimeout
}

// boundedStart raises the start of what is kept, but not over most, until the entries after it are within bounds.
func (n *Node) boundedStart(needed, most uint64) uint64 {
	size, count, start := 0, 0, n.log.last()
	for start > needed {
		size += entrySize(&n.log.entries[start-n.log.base-1])
		count++
		if size > catchUpBytes || count > catchUpEntries {
			break
		}
		start--
	}
	return min(start, most)
}

// SnapshotAt describes the snapshot of the state machine at an applied index, to be made durable
// before Compact is called. It returns false if the index is not applied or no longer held.
func (n *Node) SnapshotAt(index uint64, data []byte) (Snapshot, bool) {
	term, held := n.log.term(index)
	if !held || index > n.applied || index < n.snapshot.Index {
		return Snapshot{}, false
	}
	return Snapshot{Index: index, Term: term, Members: n.membershipAt(index).recorded, Data: data}, true
}
