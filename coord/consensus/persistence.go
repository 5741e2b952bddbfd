package consensus

// persistenceTracker tracks which part of a member's state is durable. Writes are asynchronous: each
// PersistRequest is a pending write until Persisted reports its sequence.
type persistenceTracker struct {
	firstUnsaved  uint64         // first entry that no PersistRequest has contained yet
	stableIndex   uint64         // last entry that is durable and still in the log
	lastRequested HardState      // as last put into a PersistRequest
	durable       HardState      // Term and Vote as last reported durable
	sequence      uint64         // of the latest PersistRequest
	pending       []pendingWrite // handed out and not yet reported durable, oldest first
}

// pendingWrite is what one PersistRequest contained.
type pendingWrite struct {
	sequence  uint64
	lastIndex uint64     // last entry, 0 if it contained none
	hardState *HardState // nil if it contained none
}

// truncate records that the log was truncated from index on.
func (t *persistenceTracker) truncate(index uint64) {
	t.firstUnsaved = min(t.firstUnsaved, index)
	t.clampStable(index - 1)
}

// replace records that a snapshot at index takes the place of a log whose entries up to commitIndex
// belong to the snapshot's history.
func (t *persistenceTracker) replace(commitIndex, index uint64) {
	t.firstUnsaved = index + 1
	t.clampStable(commitIndex)
}

// clampStable records that entries after index are not durable, nor will be by a pending write: what
// such a write contains of them has been truncated since.
func (t *persistenceTracker) clampStable(index uint64) {
	t.stableIndex = min(t.stableIndex, index)
	for i := range t.pending {
		t.pending[i].lastIndex = min(t.pending[i].lastIndex, index)
	}
}

// complete records that all pending writes up to a sequence are durable.
func (t *persistenceTracker) complete(sequence uint64) {
	done := 0
	for done < len(t.pending) && t.pending[done].sequence <= sequence {
		write := t.pending[done]
		t.stableIndex = max(t.stableIndex, write.lastIndex)
		if write.hardState != nil {
			t.durable = *write.hardState
		}
		done++
	}
	t.pending = t.pending[done:]
}
