package simulation

import (
	"fmt"
	"slices"

	"ospreybend/coord/consensus"
)

// record is the smallest part of a write that a loss of power leaves whole or takes away.
type record struct {
	snapshot *consensus.Snapshot // received: replaces the log
	compact  *consensus.Snapshot // taken here: replaces the entries up to it
	entry    *consensus.Entry    // replaces all entries from its index on
	hard     *consensus.HardState
}

// operation is a write that is reported durable as a whole.
type operation struct {
	records []record
	done    func()
}

// disk holds what is durable and what is on its way there.
type disk struct {
	durable consensus.PersistedState
	queue   []operation
	syncing bool
}

func persistOperation(persist *consensus.PersistRequest, done func()) operation {
	written := operation{done: done}
	if persist.Snapshot != nil {
		written.records = append(written.records, record{snapshot: persist.Snapshot})
	}
	for at := range persist.Entries {
		written.records = append(written.records, record{entry: &persist.Entries[at]})
	}
	if persist.HardState != nil {
		written.records = append(written.records, record{hard: persist.HardState})
	}
	return written
}

// write applies a record to stored state.
func write(stored *consensus.PersistedState, written record) error {
	switch {
	case written.snapshot != nil:
		stored.Snapshot = *written.snapshot
		stored.Entries = nil
	case written.compact != nil:
		compact(stored, *written.compact)
	case written.entry != nil:
		return writeEntry(stored, *written.entry)
	case written.hard != nil:
		stored.HardState = *written.hard
	}
	return nil
}

func compact(stored *consensus.PersistedState, snapshot consensus.Snapshot) {
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

func writeEntry(stored *consensus.PersistedState, entry consensus.Entry) error {
	base := stored.Snapshot.Index
	if entry.Index <= base {
		return nil
	}
	keep := entry.Index - base - 1
	if keep > uint64(len(stored.Entries)) {
		return fmt.Errorf("entry %d is written after entry %d", entry.Index, base+uint64(len(stored.Entries)))
	}
	stored.Entries = append(stored.Entries[:keep:keep], entry)
	return nil
}

// lose ends all writes under way: of their records, in order, only the first kept ones are there.
func (d *disk) lose(kept int) {
	for _, operation := range d.queue {
		for _, written := range operation.records {
			if kept == 0 {
				break
			}
			kept--
			write(&d.durable, written)
		}
	}
	d.queue, d.syncing = nil, false
}

// pendingRecords counts the records that are not durable.
func (d *disk) pendingRecords() int {
	count := 0
	for _, operation := range d.queue {
		count += len(operation.records)
	}
	return count
}

// view returns the state as it will be when all writes are durable.
func (d *disk) view() consensus.PersistedState {
	seen := d.durable
	seen.Entries = slices.Clone(seen.Entries)
	for _, operation := range d.queue {
		for _, written := range operation.records {
			write(&seen, written)
		}
	}
	return seen
}
