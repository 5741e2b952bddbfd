package seglogtest

import "slices"

// contentOutcome is what a loss of power leaves of the writes that were not synced.
type contentOutcome int

const (
	contentLost      contentOutcome = iota // nothing
	contentPersisted                       // all
	contentTorn                            // all but the second half of the last write to each file
	contentOutcomeCount
)

// directoryOutcome is what a loss of power leaves of one change of a directory that was not synced.
type directoryOutcome int

const (
	nameLost directoryOutcome = iota
	namePersisted
	nameDuplicated // of a rename: the new name is there and the old one as well
)

// outcomes returns what may become of a change of a directory.
func (c directoryChange) outcomes() []directoryOutcome {
	if c.renamedFrom != "" {
		return []directoryOutcome{nameLost, namePersisted, nameDuplicated}
	}
	return []directoryOutcome{nameLost, namePersisted}
}

// ForEachPowerLoss calls visit with a copy of the disk for each way in which a loss of power at this moment may leave it,
// until one call fails: each name that was made, changed or removed since its directory was synced is kept or lost by
// itself, and the content that was not synced is lost, kept or torn. The copies have no limits.
func (d *MemoryDisk) ForEachPowerLoss(visit func(lost *MemoryDisk) error) error {
	for content := range contentOutcomeCount {
		if err := d.forEachDirectoryOutcome(nil, content, visit); err != nil {
			return err
		}
	}
	return nil
}

// forEachDirectoryOutcome visits all outcomes that begin with those chosen.
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

// applyPowerLoss leaves of each change of a directory what is chosen for it, and of each file's content one outcome.
func (d *MemoryDisk) applyPowerLoss(chosen []directoryOutcome, unsynced contentOutcome) {
	for at, change := range d.unsyncedChanges {
		switch chosen[at] {
		case nameDuplicated:
			change.renamedFrom = ""
			change.apply(d.durableEntries)
		case namePersisted:
			change.apply(d.durableEntries)
		}
	}
	d.entries = map[string]*inode{}
	for path, one := range d.durableEntries {
		one.applyOutcome(unsynced)
		d.entries[path] = one
	}
	d.unsyncedChanges = nil
	d.reboot()
}

// applyOutcome makes durable what is left of the content.
func (c *inode) applyOutcome(outcome contentOutcome) {
	data := append([]byte(nil), c.durable...)
	for at, one := range c.unsyncedWrites {
		if outcome == contentLost {
			break
		}
		if outcome == contentTorn && at == len(c.unsyncedWrites)-1 {
			one.data = one.data[:len(one.data)/2]
		}
		data = one.apply(data)
	}
	c.data = data
	c.durable = append([]byte(nil), data...)
	c.unsyncedWrites = nil
}
