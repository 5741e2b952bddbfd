package simulation

import (
	"fmt"
	"slices"

	"ospreybend/coord/consensus"
)

// record is the smallest part of a write that a loss of power leaves or takes.
type record struct {
	snapshot  *consensus.Snapshot // received from the leader: replaces the log
	compact   *consensus.Snapshot // taken by this member: replaces the entries up to it
	entry     *consensus.Entry    // replaces all entries from its index on
	hardState *consensus.HardState
}

// writeOperation is a write that is reported durable once all its records are.
type writeOperation struct {
	records []record
	done    func()
}

// disk is the durable state of a host, and the writes that are not durable yet.
type disk struct {
	durable consensus.PersistedState
	queue   []writeOperation
	syncing bool
}

// newWriteOperation returns the write of a PersistRequest.
func newWriteOperation(persist *consensus.PersistRequest, done func()) writeOperation {
	operation := writeOperation{done: done}
	if persist.Snapshot != nil {
		operation.records = append(operation.records, record{snapshot: persist.Snapshot})
	}
	for i := range persist.Entries {
		operation.records = append(operation.records, record{entry: &persist.Entries[i]})
	}
	if persist.HardState != nil {
		operation.records = append(operation.records, record{hardState: persist.HardState})
	}
	return operation
}

// applyRecord applies a record to persisted state.
func applyRecord(stored *consensus.PersistedState, record record) error {
	switch {
	case record.snapshot != nil:
		stored.Snapshot = *record.snapshot
		stored.Entries = nil
	case record.compact != nil:
		applyCompaction(stored, *record.compact)
	case record.entry != nil:
		return applyEntry(stored, *record.entry)
	case record.hardState != nil:
		stored.HardState = *record.hardState
	}
	return nil
}

// applyCompaction replaces the entries up to a snapshot by it.
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

// applyEntry writes an entry in place of all entries from its index on. It returns an error if entries
// before it are missing.
func applyEntry(stored *consensus.PersistedState, entry consensus.Entry) error {
	base := stored.Snapshot.Index
	if entry.Index <= base {
		return nil
	}
	entriesBefore := entry.Index - base - 1
	if entriesBefore > uint64(len(stored.Entries)) {
		return fmt.Errorf("entry %d is written after entry %d", entry.Index, base+uint64(len(stored.Entries)))
	}
	stored.Entries = append(stored.Entries[:entriesBefore:entriesBefore], entry)
	return nil
}

// crash ends all pending writes: of their records, in order, only the first ones survive.
func (d *disk) crash(survivingRecords int) {
	for _, operation := range d.queue {
		for _, record := range operation.records {
			if survivingRecords == 0 {
				break
			}
			survivingRecords--
			_ = applyRecord(&d.durable, record) // cannot leave a gap: the records before it were applied
		}
	}
	d.queue, d.syncing = nil, false
}

// pendingRecords returns the number of records that are not durable.
func (d *disk) pendingRecords() int {
	count := 0
	for _, operation := range d.queue {
		count += len(operation.records)
	}
	return count
}

// stateAfterWrites returns the state as it will be once all pending writes are durable.
func (d *disk) stateAfterWrites() consensus.PersistedState {
	state := d.durable
	state.Entries = slices.Clone(state.Entries)
	for _, operation := range d.queue {
		for _, record := range operation.records {
			_ = applyRecord(&state, record) // a gap is reported once the write is applied
		}
	}
	return state
}

// write queues a write. One sync covers everything that is queued when it starts.
func (h *host) write(operation writeOperation) {
	h.disk.queue = append(h.disk.queue, operation)
	h.startSync()
}

// startSync starts a sync of the queued writes, unless one is in progress.
func (h *host) startSync() {
	if h.disk.syncing || len(h.disk.queue) == 0 {
		return
	}
	h.disk.syncing = true
	delay := h.cluster.randomDuration(0, h.cluster.profile.maxSync) + max(0, h.diskStalledUntil-h.cluster.now)
	count, process := len(h.disk.queue), h.processID
	h.cluster.schedule(delay, func() { h.finishSync(process, count) })
}

// finishSync makes the first count writes durable and reports them, once the disk no longer stalls.
func (h *host) finishSync(process, count int) {
	if h.processID != process {
		return
	}
	if h.cluster.now < h.diskStalledUntil {
		h.cluster.schedule(h.diskStalledUntil-h.cluster.now, func() { h.finishSync(process, count) })
		return
	}
	finished := h.disk.queue[:count]
	h.disk.queue = h.disk.queue[count:]
	h.disk.syncing = false
	for _, operation := range finished {
		h.applyWrite(operation)
	}
	h.whenRunning(func() { h.reportDurable(finished) })
	h.startSync()
}

// applyWrite makes a write durable.
func (h *host) applyWrite(operation writeOperation) {
	for _, record := range operation.records {
		if err := applyRecord(&h.disk.durable, record); err != nil {
			h.cluster.checks.fail(CheckStorage, fmt.Sprintf("member %d: %v", h.id, err))
		}
	}
}

// reportDurable tells the process that writes are durable.
func (h *host) reportDurable(finished []writeOperation) {
	for _, operation := range finished {
		operation.done()
	}
}
