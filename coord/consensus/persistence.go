package consensus

// persistenceTracker tracks which part of a member's state is durable. Writes are asynchronous: a PersistRequest
// is pending until the caller passes its sequence, or a later one, to Persisted.
type persistenceTracker struct {
	firstUnrequested uint64         // first entry that no PersistRequest has contained yet
	stableIndex      uint64         // last entry that is durable and still in the log
	lastRequested    HardState      // as in the latest PersistRequest
	durable          HardState      // Term and Vote as last reported durable
	sequence         uint64         // of the latest PersistRequest
	pending          []pendingWrite // requested and not reported durable, oldest first
}

// pendingWrite summarizes a pending PersistRequest.
type pendingWrite struct {
	sequence  uint64
	lastIndex uint64     // last entry; 0: none
	hardState *HardState // nil: none
}

// truncate records that the log was truncated from index on.
func (t *persistenceTracker) truncate(index uint64) {
	t.firstUnrequested = min(t.firstUnrequested, index)
	t.clampStable(index - 1)
}

// replaceWithSnapshot records that a snapshot at index replaced the log. Only the log's entries up to commitIndex
// are known to be part of the snapshot's history.
func (t *persistenceTracker) replaceWithSnapshot(commitIndex, index uint64) {
	t.firstUnrequested = index + 1
	t.clampStable(commitIndex)
}

// clampStable records that no entry after index is durable or becomes durable by a pending write: the entries
// that such a write contains were dropped from the log.
func (t *persistenceTracker) clampStable(index uint64) {
	t.stableIndex = min(t.stableIndex, index)
	for i := range t.pending {
		t.pending[i].lastIndex = min(t.pending[i].lastIndex, index)
	}
}

// complete records that all pending writes up to and including a sequence are durable.
func (t *persistenceTracker) complete(sequence uint64) {
	completed := 0
	for completed < len(t.pending) && t.pending[completed].sequence <= sequence {
		write := t.pending[completed]
		t.stableIndex = max(t.stableIndex, write.lastIndex)
		if write.hardState != nil {
			t.durable = *write.hardState
		}
		completed++
	}
	t.pending = t.pending[completed:]
}
