package consensus

import "time"

// Ready is the output of a member since the previous call of Node.Ready, for the caller to process.
type Ready struct {
	Persist   *PersistRequest // nil: nothing to write. Several requests may be batched and written asynchronously
	Messages  []Message       // to be sent without waiting for Persist; Persisted releases those that depend on it
	Restore   *Snapshot       // replaces the state of the state machine before Committed is applied
	Committed []Entry         // to be applied in order; a Node returns each entry once
	Reads     []ReadResult
}

// PersistRequest is state to be made durable, in this order: Snapshot, Entries, HardState. Entries replace all
// stored entries from the index of the first one on.
type PersistRequest struct {
	Sequence  uint64 // to be passed to Persisted once all of it is durable
	HardState *HardState
	Entries   []Entry
	Snapshot  *Snapshot // received from the leader; replaces the entire stored log
}

// ReadResult is the result of a ReadIndex.
type ReadResult struct {
	ID    uint64 // as passed to ReadIndex
	Index uint64 // the state machine may be read once the entry at this index is applied
	OK    bool   // false: leadership was lost or could not be confirmed
}

// Ready returns the member's output since the previous call. It must be called after every event or batch of
// events; a call for several events batches their messages and writes.
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
		ready.Committed = n.log.slice(n.appliedIndex+1, n.commitIndex)
		n.appliedIndex = n.commitIndex
	}
	n.messages, n.pendingRestore, n.readResults = nil, nil, nil
	return ready
}

// nextPersistRequest returns a request with the state that no earlier one contains, or nil if there is none. A
// higher commit index alone causes no write: after a restart the leader sends it again.
func (n *Node) nextPersistRequest() *PersistRequest {
	hardState := HardState{Term: n.term, Vote: n.votedFor, Commit: n.commitIndex}
	lastRequested := n.persistence.lastRequested
	termOrVoteChanged := hardState.Term != lastRequested.Term || hardState.Vote != lastRequested.Vote
	entries := n.log.slice(n.persistence.firstUnrequested, n.log.lastIndex())
	if !termOrVoteChanged && len(entries) == 0 && n.unpersistedSnapshot == nil {
		return nil
	}
	n.persistence.sequence++
	request := &PersistRequest{Sequence: n.persistence.sequence, Entries: entries, Snapshot: n.unpersistedSnapshot}
	write := pendingWrite{sequence: n.persistence.sequence}
	if len(entries) > 0 || n.unpersistedSnapshot != nil {
		write.lastIndex = n.log.lastIndex()
	}
	if hardState != lastRequested {
		request.HardState, write.hardState = &hardState, &hardState
	}
	n.persistence.lastRequested = hardState
	n.persistence.firstUnrequested = n.log.lastIndex() + 1
	n.persistence.pending = append(n.persistence.pending, write)
	n.unpersistedSnapshot = nil
	return request
}

// Persisted reports that the PersistRequest with this sequence and all earlier ones are durable. It releases the
// messages that depend on them: votes, vote requests and acknowledgements. A leader counts itself towards the
// majority for the entries that have become durable.
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
		if n.leaderID != 0 && n.ackableIndex() > n.follower.ackedIndex {
			n.acknowledge()
		}
	}
}
