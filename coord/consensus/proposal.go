package consensus

import "time"

// Limits of the uncommitted entries, so that the log of a leader that reaches no followers does not grow without
// bound. A single entry above the byte limit is accepted if no other entry is uncommitted.
const (
	maxUncommittedEntries = 4096
	maxUncommittedBytes   = 8 << 20
)

// appendEntry appends an entry of the current term to the leader's log.
func (n *Node) appendEntry(entry Entry) Entry {
	entry.Term = n.term
	entry.Index = n.log.lastIndex() + 1
	n.log.append(entry)
	n.recordMemberships([]Entry{entry})
	n.leader.uncommittedBytes += entrySize(&entry)
	return entry
}

// checkProposable returns an error unless the member leads and no leadership transfer is in progress.
func (n *Node) checkProposable() error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if n.leader.transfer.target != 0 {
		return ErrTransferInProgress
	}
	return nil
}

// Propose appends a command to the leader's log and returns the term and index of its entry. The command is
// committed once Ready returns an entry with this term and index. It is lost if Ready returns an entry of
// another term at this index. The core retains data without copying it.
//
// Errors: ErrNotLeader, ErrTransferInProgress, ErrTooManyUncommitted.
func (n *Node) Propose(now time.Duration, data []byte) (term, index uint64, err error) {
	n.advanceClock(now)
	n.checkQuorum()
	if err := n.checkProposable(); err != nil {
		return 0, 0, err
	}
	uncommitted := n.log.lastIndex() - n.commitIndex
	command := Entry{Kind: EntryCommand, Data: data}
	if uncommitted >= maxUncommittedEntries || (n.leader.uncommittedBytes+entrySize(&command) > maxUncommittedBytes && uncommitted > 0) {
		return 0, 0, ErrTooManyUncommitted
	}
	entry := n.appendEntry(command)
	if !n.enforces(RuleLeaderEntriesDurable) {
		n.advanceCommit()
	}
	return entry.Term, entry.Index, nil
}

// reduceUncommittedBytes subtracts the size of the current term's entries up to quorumIndex, which are about to
// be committed, from the uncommitted bytes.
func (n *Node) reduceUncommittedBytes(quorumIndex uint64) {
	for _, entry := range n.log.slice(n.commitIndex+1, quorumIndex) {
		if entry.Term == n.term {
			n.leader.uncommittedBytes -= entrySize(&entry)
		}
	}
}
