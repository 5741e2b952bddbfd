package consensus

import "time"

// Ready is everything that a member wants its caller to do since the last call of Node.Ready.
type Ready struct {
	Persist   *PersistRequest // nil: nothing. Several may be written in one batch, apart from the caller's loop
	Messages  []Message       // may be sent at once; those that depend on Persist are released by Persisted
	Restore   *Snapshot       // replaces the state of the state machine, before Committed is applied
	Committed []Entry         // to be applied in order; each is handed out once in a process's life
	Reads     []ReadResult
}

// PersistRequest is what is to be made durable, in this order: Snapshot, then Entries, then HardState.
// Entries replace all stored entries from the index of the first one on.
type PersistRequest struct {
	Sequence  uint64 // to be passed to Persisted once all of it is durable
	HardState *HardState
	Entries   []Entry
	Snapshot  *Snapshot // received from the leader; replaces the whole log
}

// ReadResult answers a ReadIndex.
type ReadResult struct {
	ID    uint64 // as passed to ReadIndex
	Index uint64 // the state machine may be read once this entry is applied
	OK    bool   // false: leadership was lost or could not be confirmed
}

// Ready returns everything that is to be done since the last call. It must be called after each event;
// several events may share a call, which then batches their messages and writes.
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

// nextPersistRequest returns what has not been handed out yet, or nil. A commit index that rose causes no
// write of its own: after a restart it is learnt again from the leader.
func (n *Node) nextPersistRequest() *PersistRequest {
	hardState := HardState{Term: n.term, Vote: n.votedFor, Commit: n.commitIndex}
	lastRequested := n.persistence.lastRequested
	termOrVoteChanged := hardState.Term != lastRequested.Term || hardState.Vote != lastRequested.Vote
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
	if hardState != lastRequested {
		request.HardState, write.hardState = &hardState, &hardState
	}
	n.persistence.lastRequested = hardState
	n.persistence.firstUnsaved = n.log.lastIndex() + 1
	n.persistence.pending = append(n.persistence.pending, write)
	n.unpersistedSnapshot = nil
	return request
}

// Persisted reports that the PersistRequest of this sequence, and all before it, are durable. It releases
// the messages that depend on them: votes, vote requests and acknowledgements. A leader counts its own
// copy of the entries from here on.
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
