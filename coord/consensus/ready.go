package consensus

import (
	"time"
)

// PersistRequest is what is to be made durable, in this order: Snapshot, then Entries, then HardState.
// Entries replace all stored entries from the index of the first one on.
type PersistRequest struct {
	Sequence  uint64 // to be handed to Persisted once all is durable
	HardState *HardState
	Entries   []Entry
	Snapshot  *Snapshot // received from the leader: replaces the whole log
}

// ReadResult answers a Read: the state machine may be read once Index is applied.
type ReadResult struct {
	ID    uint64
	Index uint64
	OK    bool // false: leadership was lost or could not be confirmed
}

// Ready is all that a member wants done since the last Take.
type Ready struct {
	Persist   *PersistRequest // nil: nothing. May be batched and written apart from the caller's loop
	Messages  []Message       // may be sent at once; those that rest on Persist come after Persisted
	Restore   *Snapshot       // the state machine takes this state before it applies Committed
	Committed []Entry         // to be applied in order, each exactly once in a process's life
	Reads     []ReadResult
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
