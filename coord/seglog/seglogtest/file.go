package seglogtest

import "math/rand/v2"

// file is an open file. Writes go to its end.
type file struct {
	disk       *MemoryDisk
	inode      *inode
	generation int
	closed     bool
}

func (f *file) countOperation() error {
	if f.generation != f.disk.generation {
		return ErrPowerLost
	}
	return f.disk.countOperation()
}

func (f *file) Write(data []byte) (int, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if f.generation != f.disk.generation {
		return 0, ErrPowerLost
	}
	if err := f.countOperation(); err != nil {
		f.inode.write(append([]byte(nil), data[:len(data)/2]...))
		return len(data) / 2, err
	}
	if f.disk.Full {
		return 0, ErrFull
	}
	fits := min(int64(len(data)), max(f.disk.FreeBytes, 0))
	f.disk.FreeBytes -= fits
	f.inode.write(append([]byte(nil), data[:fits]...))
	if fits < int64(len(data)) {
		return int(fits), ErrFull
	}
	return len(data), nil
}

func (f *file) Truncate(size int64) error {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if err := f.countOperation(); err != nil {
		return err
	}
	f.inode.truncate(size)
	return nil
}

func (f *file) Sync() error {
	if f.disk.OnSync != nil {
		f.disk.OnSync()
	}
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if err := f.countOperation(); err != nil {
		return err
	}
	f.disk.SyncCount++
	f.inode.durable = append([]byte(nil), f.inode.data...)
	f.inode.unsyncedWrites = nil
	return nil
}

func (f *file) Close() error {
	f.closed = true
	return nil
}

func (c *inode) write(data []byte) {
	c.unsyncedWrites = append(c.unsyncedWrites, fileWrite{offset: int64(len(c.data)), data: data})
	c.data = append(c.data, data...)
}

func (c *inode) truncate(size int64) {
	if size == int64(len(c.data)) {
		return
	}
	c.unsyncedWrites = append(c.unsyncedWrites, fileWrite{truncate: true, offset: size})
	c.data = resized(c.data, size)
}

func resized(data []byte, size int64) []byte {
	if size <= int64(len(data)) {
		return append([]byte(nil), data[:size]...)
	}
	return append(append([]byte(nil), data...), make([]byte, size-int64(len(data)))...)
}

func (c fileWrite) apply(data []byte) []byte {
	if c.truncate {
		return resized(data, c.offset)
	}
	if end := c.offset + int64(len(c.data)); end > int64(len(data)) {
		data = resized(data, end)
	}
	copy(data[c.offset:], c.data)
	return data
}

// Chances of a loss of power, in tenths.
const (
	chanceAllLost   = 2 // nothing that was not synced is there
	chancePersisted = 4 // of each change by itself
	chanceTorn      = 3 // a part of a write, from its start or with a hole
	tenths          = 10
)

// LosePower leaves what was synced and, of each later change by itself, all, a part or nothing.
// The limits are lifted; open files are dead.
func (d *MemoryDisk) LosePower(random *rand.Rand) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	allLost := random.IntN(tenths) < chanceAllLost
	for _, one := range d.unsyncedChanges {
		if !allLost && random.IntN(2) == 0 {
			one.apply(d.durableEntries)
		}
	}
	d.entries = map[string]*inode{}
	for path, one := range d.durableEntries {
		one.losePower(random, allLost)
		d.entries[path] = one
	}
	d.unsyncedChanges = nil
	d.reboot()
}

// Restart leaves everything as the process left it; open files are dead.
func (d *MemoryDisk) Restart() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.reboot()
}

func (d *MemoryDisk) reboot() {
	d.generation++
	d.FreeBytes, d.RemainingOperations = Unlimited, Unlimited
	d.FailAll, d.Full, d.FailOperation = false, false, 0
}

func (c *inode) losePower(random *rand.Rand, allLost bool) {
	data := append([]byte(nil), c.durable...)
	for _, one := range c.unsyncedWrites {
		if !allLost {
			data = one.applyRandomPart(data, random)
		}
	}
	c.data = data
	c.durable = append([]byte(nil), data...)
	c.unsyncedWrites = nil
}

// applyRandomPart applies the change, a part of it, or nothing.
func (c fileWrite) applyRandomPart(data []byte, random *rand.Rand) []byte {
	draw := random.IntN(tenths)
	if draw < chancePersisted {
		return c.apply(data)
	}
	if draw >= chancePersisted+chanceTorn || c.truncate || len(c.data) == 0 {
		return data
	}
	cut := random.IntN(len(c.data))
	if random.IntN(2) == 0 {
		return fileWrite{offset: c.offset, data: c.data[:cut]}.apply(data)
	}
	return fileWrite{offset: c.offset + int64(cut), data: c.data[cut:]}.apply(data)
}

// NewRandom returns the draws of a seed, the same ones each time.
func NewRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
