package consensus

import "time"

// Bounds of the entries that may wait for a majority.
const (
	maxUncommittedEntries = 4096
	maxUncommittedBytes   = 16 << 20
)

// appendEntry appends an entry of the present term.
func (n *Node) appendEntry(entry Entry) Entry {
	entry.Term = n.term
	entry.Index = n.log.lastIndex() + 1
	n.log.append(entry)
	n.recordMemberships([]Entry{entry})
	n.leaderState.uncommittedBytes += entrySize(&entry)
	return entry
}

// checkProposable reports why the member cannot take a proposal.
func (n *Node) checkProposable() error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if n.leaderState.transfer.target != 0 {
		return ErrTransferInProgress
	}
	return nil
}

// Propose appends a command to the leader's log. It is committed once Take hands out an entry of this term and
// index; it is lost if an entry of another term takes its place.
// Errors: ErrNotLeader, ErrTransferring, ErrBusy.
func (n *Node) Propose(now time.Duration, data []byte) (term, index uint64, err error) {
	n.advanceClock(now)
	n.checkQuorum()
	if err := n.checkProposable(); err != nil {
		return 0, 0, err
	}
	uncommitted := n.log.lastIndex() - n.commitIndex
	if uncommitted >= maxUncommittedEntries || (n.leaderState.uncommittedBytes >= maxUncommittedBytes && uncommitted > 0) {
		return 0, 0, ErrTooManyUncommitted
	}
	entry := n.appendEntry(Entry{Kind: EntryCommand, Data: data})
	if !n.enforces(RuleLeaderEntriesDurable) {
		n.advanceCommit()
	}
	return entry.Term, entry.Index, nil
}

// releaseUncommitted counts off the entries that become committed.
func (n *Node) releaseUncommitted(quorumIndex uint64) {
	for _, entry := range n.log.span(n.commitIndex+1, quorumIndex) {
		if entry.Term == n.term {
			n.leaderState.uncommittedBytes -= entrySize(&entry)
		}
	}
}
