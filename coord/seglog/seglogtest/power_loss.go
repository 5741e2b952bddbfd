package seglogtest

import "slices"

// contentOutcome is what a power loss leaves of the writes that were not synced.
type contentOutcome int

const (
	contentLost      contentOutcome = iota // nothing
	contentPersisted                       // all
	contentTorn                            // all but the second half of the last write to each file
	contentOutcomeCount
)

// directoryOutcome is what a power loss leaves of one directory change that was not synced.
type directoryOutcome int

const (
	nameLost directoryOutcome = iota
	namePersisted
	nameDuplicated // of a rename: the new name is there and the old one as well
)

// outcomes returns the possible outcomes of a directory change.
func (c directoryChange) outcomes() []directoryOutcome {
	if c.renamedFrom != "" {
		return []directoryOutcome{nameLost, namePersisted, nameDuplicated}
	}
	return []directoryOutcome{nameLost, namePersisted}
}

// ForEachPowerLoss calls visit with a copy of the disk for each state in which a power loss at this moment may leave it, until
// a call returns an error, which it returns. Each unsynced directory change is lost or persisted independently; the unsynced
// content is lost, persisted or torn. The copies have no faults.
func (d *MemoryDisk) ForEachPowerLoss(visit func(lost *MemoryDisk) error) error {
	for content := range contentOutcomeCount {
		if err := d.forEachDirectoryOutcome(nil, content, visit); err != nil {
			return err
		}
	}
	return nil
}

// forEachDirectoryOutcome visits all combinations of outcomes that begin with the chosen ones.
func (d *MemoryDisk) forEachDirectoryOutcome(chosen []directoryOutcome, content contentOutcome, visit func(lost *MemoryDisk) error) error {
	if len(chosen) == len(d.unsyncedChanges) {
		lost := d.Clone()
		lost.applyPowerLoss(chosen, content)
		return visit(lost)
	}
	for _, outcome := range d.unsyncedChanges[len(chosen)].outcomes() {
		if err := d.forEachDirectoryOutcome(append(slices.Clone(chosen), outcome), content, visit); err != nil {
			return err
		}
	}
	return nil
}

// applyPowerLoss applies the chosen outcome to each directory change, and one outcome to the content of all files.
func (d *MemoryDisk) applyPowerLoss(chosen []directoryOutcome, unsynced contentOutcome) {
	for i, change := range d.unsyncedChanges {
		switch chosen[i] {
		case nameDuplicated:
			change.renamedFrom = ""
			change.apply(d.durableEntries)
		case namePersisted:
			change.apply(d.durableEntries)
		}
	}
	d.entries = map[string]*inode{}
	for path, content := range d.durableEntries {
		content.applyOutcome(unsynced)
		d.entries[path] = content
	}
	d.unsyncedChanges = nil
	d.reboot()
}

// applyOutcome makes durable what the outcome leaves of the content.
func (n *inode) applyOutcome(outcome contentOutcome) {
	data := append([]byte(nil), n.durable...)
	for i, write := range n.unsyncedWrites {
		if outcome == contentLost {
			break
		}
		if outcome == contentTorn && i == len(n.unsyncedWrites)-1 {
			write.data = write.data[:len(write.data)/2]
		}
		data = write.apply(data)
	}
	n.data = data
	n.durable = append([]byte(nil), data...)
	n.unsyncedWrites = nil
}
