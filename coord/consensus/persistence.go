package consensus

// persistenceTracker tracks what of a member's state is durable.
type persistenceTracker struct {
	firstUnsaved uint64    // first entry that no Persist has held yet
	stableIndex  uint64    // last entry that is durable and still in the log
	handedOut    HardState // as last handed out
	durable      HardState // Term and Vote as last reported durable
	sequence     uint64
	pending      []pendingWrite // handed out, not yet reported durable
}

// pendingWrite is what one Persist held.
type pendingWrite struct {
	sequence  uint64
	lastIndex uint64     // last entry, 0 if it held none
	hardState *HardState // nil if it held none
}

// truncate takes note that the log was cut off from index on.
func (d *persistenceTracker) truncate(index uint64) {
	d.firstUnsaved = min(d.firstUnsaved, index)
	d.clampStable(index - 1)
}

// replace takes note that a snapshot at index takes the place of a log whose entries up to commit
// belong to the snapshot's history.
func (d *persistenceTracker) replace(commit, index uint64) {
	d.firstUnsaved = index + 1
	d.clampStable(commit)
}

// clampStable forgets what is durable after index, now or by a batch under way.
func (d *persistenceTracker) clampStable(index uint64) {
	d.stableIndex = min(d.stableIndex, index)
	for i := range d.pending {
		d.pending[i].lastIndex = min(d.pending[i].lastIndex, index)
	}
}

// complete takes note that all batches up to a sequence are durable.
func (d *persistenceTracker) complete(sequence uint64) {
	done := 0
	for done < len(d.pending) && d.pending[done].sequence <= sequence {
		write := d.pending[done]
		d.stableIndex = max(d.stableIndex, write.lastIndex)
		if write.hardState != nil {
			d.durable = *write.hardState
		}
		done++
	}
	d.pending = d.pending[done:]
}
