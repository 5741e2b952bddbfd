package simulation

import (
	"fmt"
	"slices"

	"ospreybend/coord/consensus"
)

// record is the unit of a write that a crash either keeps or loses as a whole. One field is set.
type record struct {
	installedSnapshot  *consensus.Snapshot // received from the leader; replaces the log
	compactionSnapshot *consensus.Snapshot // taken by this member; replaces the entries up to its index
	entry              *consensus.Entry    // replaces the entry at its index and all later ones
	hardState          *consensus.HardState
}

// writeOperation is a write, reported by a call of done once all its records are durable.
type writeOperation struct {
	records []record
	done    func()
}

// disk holds the durable state of a host, and the writes that are not durable yet.
type disk struct {
	durable       consensus.PersistedState
	pendingWrites []writeOperation
	syncing       bool
}

// newWriteOperation returns the write of a PersistRequest.
func newWriteOperation(persist *consensus.PersistRequest, done func()) writeOperation {
	operation := writeOperation{done: done}
	if persist.Snapshot != nil {
		operation.records = append(operation.records, record{installedSnapshot: persist.Snapshot})
	}
	for i := range persist.Entries {
		operation.records = append(operation.records, record{entry: &persist.Entries[i]})
	}
	if persist.HardState != nil {
		operation.records = append(operation.records, record{hardState: persist.HardState})
	}
	return operation
}

// applyRecord applies a record to persisted state. It returns an error if the record is an entry that would
// leave a gap in the log.
func applyRecord(stored *consensus.PersistedState, record record) error {
	switch {
	case record.installedSnapshot != nil:
		stored.Snapshot = *record.installedSnapshot
		stored.Entries = nil
	case record.compactionSnapshot != nil:
		applyCompaction(stored, *record.compactionSnapshot)
	case record.entry != nil:
		return applyEntry(stored, *record.entry)
	case record.hardState != nil:
		stored.HardState = *record.hardState
	}
	return nil
}

// applyCompaction replaces the entries up to a snapshot's index by the snapshot.
func applyCompaction(stored *consensus.PersistedState, snapshot consensus.Snapshot) {
	if snapshot.Index <= stored.Snapshot.Index {
		return
	}
	first := 0
	for first < len(stored.Entries) && stored.Entries[first].Index <= snapshot.Index {
		first++
	}
	stored.Entries = slices.Clone(stored.Entries[first:])
	stored.Snapshot = snapshot
}

// applyEntry writes an entry in place of the one at its index and all later ones. It returns an error if
// entries before it are missing.
func applyEntry(stored *consensus.PersistedState, entry consensus.Entry) error {
	base := stored.Snapshot.Index
	if entry.Index <= base {
		return nil
	}
	entriesBefore := entry.Index - base - 1
	if entriesBefore > uint64(len(stored.Entries)) {
		return fmt.Errorf("entry %d is written to a log that ends at entry %d", entry.Index, base+uint64(len(stored.Entries)))
	}
	stored.Entries = append(stored.Entries[:entriesBefore:entriesBefore], entry)
	return nil
}

// crash ends all pending writes. Of their records, in order, the first survivingRecords become durable.
func (d *disk) crash(survivingRecords int) {
	for _, operation := range d.pendingWrites {
		for _, record := range operation.records {
			if survivingRecords == 0 {
				break
			}
			survivingRecords--
			_ = applyRecord(&d.durable, record) // cannot leave a gap: the records before it were applied
		}
	}
	d.pendingWrites, d.syncing = nil, false
}

// pendingRecords returns the number of records that are not durable yet.
func (d *disk) pendingRecords() int {
	count := 0
	for _, operation := range d.pendingWrites {
		count += len(operation.records)
	}
	return count
}

// stateAfterWrites returns the persisted state as it will be once all pending writes are durable.
func (d *disk) stateAfterWrites() consensus.PersistedState {
	state := d.durable
	state.Entries = slices.Clone(state.Entries)
	for _, operation := range d.pendingWrites {
		for _, record := range operation.records {
			_ = applyRecord(&state, record) // a gap is recorded as a violation when the write is applied
		}
	}
	return state
}

// write queues a write. One sync covers all writes that are queued when it starts.
func (h *host) write(operation writeOperation) {
	h.disk.pendingWrites = append(h.disk.pendingWrites, operation)
	h.startSync()
}

// startSync starts a sync of the queued writes, unless there are none or a sync is in progress.
func (h *host) startSync() {
	if h.disk.syncing || len(h.disk.pendingWrites) == 0 {
		return
	}
	h.disk.syncing = true
	delay := h.cluster.randomDuration(0, h.cluster.profile.maxSyncTime) + max(0, h.diskStalledUntil-h.cluster.now)
	count, processID := len(h.disk.pendingWrites), h.processID
	h.cluster.schedule(delay, func() { h.finishSync(processID, count) })
}

// finishSync makes the first count writes durable and reports them to the process. If the disk is stalled,
// it waits until the stall ends.
func (h *host) finishSync(processID, count int) {
	if h.processID != processID {
		return
	}
	if h.cluster.now < h.diskStalledUntil {
		h.cluster.schedule(h.diskStalledUntil-h.cluster.now, func() { h.finishSync(processID, count) })
		return
	}
	finished := h.disk.pendingWrites[:count]
	h.disk.pendingWrites = h.disk.pendingWrites[count:]
	h.disk.syncing = false
	for _, operation := range finished {
		h.applyWrite(operation)
	}
	h.whenRunning(func() { h.reportDurable(finished) })
	h.startSync()
}

// applyWrite applies a write to the durable state. A gap in the log is a violation.
func (h *host) applyWrite(operation writeOperation) {
	for _, record := range operation.records {
		if err := applyRecord(&h.disk.durable, record); err != nil {
			h.cluster.checks.recordViolation(CheckStorage, fmt.Sprintf("member %d: %v", h.id, err))
		}
	}
}

// reportDurable notifies the process that writes are durable.
func (h *host) reportDurable(finished []writeOperation) {
	for _, operation := range finished {
		operation.done()
	}
}
