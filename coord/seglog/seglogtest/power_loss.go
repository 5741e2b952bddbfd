package seglogtest

import (
	"math/rand/v2"
	"slices"
)

// Probabilities of the outcomes of a power loss, in tenths.
const (
	chanceAllLost   = 2 // all unsynced changes are lost
	chancePersisted = 4 // otherwise, a change of a file is persisted completely
	chanceTorn      = 3 // otherwise, only the beginning or the end of a write is persisted
	tenths          = 10
)

// LosePower simulates a power loss. Everything synced is kept. Either all unsynced changes are lost, or each of them is
// independently persisted or lost, or persisted in part if it is a write. Simulated faults are reset, and open files become
// unusable.
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

// Restart simulates the end of a process without a power loss: all changes are kept, and unsynced ones stay unsynced.
// Simulated faults are reset, and open files become unusable.
func (d *MemoryDisk) Restart() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.reboot()
}

// reboot resets the simulated faults and makes open files unusable.
func (d *MemoryDisk) reboot() {
	d.generation++
	d.FreeBytes, d.RemainingOperations = Unlimited, Unlimited
	d.FailAll, d.Full, d.FailOperation = false, false, 0
}

// losePower applies a random part of the unsynced changes, or none of them if allLost is set, and makes the result durable.
func (n *inode) losePower(random *rand.Rand, allLost bool) {
	data := append([]byte(nil), n.durable...)
	for _, change := range n.unsyncedChanges {
		if !allLost {
			data = change.applyRandomPart(data, random)
		}
	}
	n.data = data
	n.durable = append([]byte(nil), data...)
	n.unsyncedChanges = nil
}

// applyRandomPart returns the data after the whole change, a random part of it, or none of it.
func (c fileChange) applyRandomPart(data []byte, random *rand.Rand) []byte {
	draw := random.IntN(tenths)
	if draw < chancePersisted {
		return c.apply(data)
	}
	if draw >= chancePersisted+chanceTorn || c.truncate || len(c.data) == 0 {
		return data
	}
	split := random.IntN(len(c.data))
	if random.IntN(2) == 0 {
		return fileChange{offset: c.offset, data: c.data[:split]}.apply(data)
	}
	return fileChange{offset: c.offset + int64(split), data: c.data[split:]}.apply(data)
}

// contentOutcome is the effect of a power loss on the unsynced changes of all files.
type contentOutcome int

const (
	contentLost      contentOutcome = iota // all are lost
	contentPersisted                       // all are persisted
	contentTorn                            // all are persisted except the second half of the last write to each file
	contentOutcomeCount
)

// directoryOutcome is the effect of a power loss on one unsynced directory change.
type directoryOutcome int

const (
	changeLost directoryOutcome = iota
	changePersisted
	bothNamesPersisted // of a rename: both the old and the new name exist
)

// outcomes returns the possible outcomes of a directory change.
func (c directoryChange) outcomes() []directoryOutcome {
	if c.renamedFrom != "" {
		return []directoryOutcome{changeLost, changePersisted, bothNamesPersisted}
	}
	return []directoryOutcome{changeLost, changePersisted}
}

// ForEachPowerLoss calls visit with a copy of the disk for each simulated outcome of a power loss at this moment. It stops
// at the first error of visit and returns it. The outcomes are all combinations in which each unsynced directory change is
// persisted or lost (a rename may also leave both names), and the unsynced content of all files is persisted, lost or torn.
// The copies have no simulated faults.
func (d *MemoryDisk) ForEachPowerLoss(visit func(lost *MemoryDisk) error) error {
	for content := range contentOutcomeCount {
		if err := d.forEachDirectoryOutcome(nil, content, visit); err != nil {
			return err
		}
	}
	return nil
}

// forEachDirectoryOutcome visits all combinations of directory outcomes that begin with the chosen ones.
func (d *MemoryDisk) forEachDirectoryOutcome(
	chosen []directoryOutcome, content contentOutcome, visit func(lost *MemoryDisk) error,
) error {
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

// applyPowerLoss applies the chosen outcomes to the directory changes, in order, and one outcome to the content of all
// files.
func (d *MemoryDisk) applyPowerLoss(chosen []directoryOutcome, outcome contentOutcome) {
	for i, change := range d.unsyncedChanges {
		switch chosen[i] {
		case bothNamesPersisted:
			change.renamedFrom = ""
			change.apply(d.durableEntries)
		case changePersisted:
			change.apply(d.durableEntries)
		}
	}
	d.entries = map[string]*inode{}
	for path, content := range d.durableEntries {
		content.applyOutcome(outcome)
		d.entries[path] = content
	}
	d.unsyncedChanges = nil
	d.reboot()
}

// applyOutcome applies the unsynced changes that the outcome persists and makes the result durable.
func (n *inode) applyOutcome(outcome contentOutcome) {
	data := append([]byte(nil), n.durable...)
	for i, change := range n.unsyncedChanges {
		if outcome == contentLost {
			break
		}
		if outcome == contentTorn && i == len(n.unsyncedChanges)-1 {
			change.data = change.data[:len(change.data)/2]
		}
		data = change.apply(data)
	}
	n.data = data
	n.durable = append([]byte(nil), data...)
	n.unsyncedChanges = nil
}

// NewRandom returns a deterministic source of random numbers for a seed.
func NewRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
