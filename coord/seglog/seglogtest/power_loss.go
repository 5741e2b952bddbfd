package seglogtest

import (
	"math/rand/v2"
	"slices"
)

// Probabilities of what a power loss leaves, in tenths.
const (
	chanceAllLost   = 2 // of all unsynced changes being lost together
	chancePersisted = 4 // of one write being persisted completely
	chanceTorn      = 3 // of one write being persisted in part: its beginning, or its end behind a hole
	tenths          = 10
)

// LosePower leaves what was synced and, independently of each unsynced change, all, a part or nothing of it. Faults are
// reset, and open files become unusable.
func (d *MemoryDisk) LosePower(random *rand.Rand) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	allLost := random.IntN(tenths) < chanceAllLost
	for _, change := range d.unsyncedChanges {
		if !allLost && random.IntN(2) == 0 {
			change.apply(d.durableEntries)
		}
	}
	d.entries = map[string]*inode{}
	for path, content := range d.durableEntries {
		content.losePower(random, allLost)
		d.entries[path] = content
	}
	d.unsyncedChanges = nil
	d.reboot()
}

// Restart leaves everything as the process left it, as after the end of a process. Faults are reset, and open files become
// unusable.
func (d *MemoryDisk) Restart() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.reboot()
}

// reboot resets the faults and makes open files unusable.
func (d *MemoryDisk) reboot() {
	d.generation++
	d.FreeBytes, d.RemainingOperations = Unlimited, Unlimited
	d.FailAll, d.Full, d.FailOperation = false, false, 0
}

// losePower decides what is left of the unsynced writes.
func (n *inode) losePower(random *rand.Rand, allLost bool) {
	data := append([]byte(nil), n.durable...)
	for _, write := range n.unsyncedWrites {
		if !allLost {
			data = write.applyRandomPart(data, random)
		}
	}
	n.data = data
	n.durable = append([]byte(nil), data...)
	n.unsyncedWrites = nil
}

// applyRandomPart returns the data after the write, a part of it, or nothing.
func (w fileWrite) applyRandomPart(data []byte, random *rand.Rand) []byte {
	number := random.IntN(tenths)
	if number < chancePersisted {
		return w.apply(data)
	}
	if number >= chancePersisted+chanceTorn || w.truncate || len(w.data) == 0 {
		return data
	}
	cut := random.IntN(len(w.data))
	if random.IntN(2) == 0 {
		return fileWrite{offset: w.offset, data: w.data[:cut]}.apply(data)
	}
	return fileWrite{offset: w.offset + int64(cut), data: w.data[cut:]}.apply(data)
}

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

// NewRandom returns a source of random numbers that is determined by the seed.
func NewRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
