package seglogtest

import "math/rand/v2"

// file is an open file. Writes go to its end.
type file struct {
	disk       *Disk
	content    *content
	generation int
	closed     bool
}

func (f *file) begin() error {
	if f.generation != f.disk.generation {
		return ErrNoPower
	}
	return f.disk.operate()
}

func (f *file) Write(data []byte) (int, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if f.generation != f.disk.generation {
		return 0, ErrNoPower
	}
	if err := f.begin(); err != nil {
		f.content.write(append([]byte(nil), data[:len(data)/2]...))
		return len(data) / 2, err
	}
	if f.disk.Full {
		return 0, ErrFull
	}
	fits := min(int64(len(data)), max(f.disk.Room, 0))
	f.disk.Room -= fits
	f.content.write(append([]byte(nil), data[:fits]...))
	if fits < int64(len(data)) {
		return int(fits), ErrFull
	}
	return len(data), nil
}

func (f *file) Truncate(size int64) error {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if err := f.begin(); err != nil {
		return err
	}
	f.content.truncate(size)
	return nil
}

func (f *file) Sync() error {
	if f.disk.OnSync != nil {
		f.disk.OnSync()
	}
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if err := f.begin(); err != nil {
		return err
	}
	f.disk.SyncCount++
	f.content.durable = append([]byte(nil), f.content.data...)
	f.content.changes = nil
	return nil
}

func (f *file) Close() error {
	f.closed = true
	return nil
}

func (c *content) write(data []byte) {
	c.changes = append(c.changes, change{offset: int64(len(c.data)), data: data})
	c.data = append(c.data, data...)
}

func (c *content) truncate(size int64) {
	if size == int64(len(c.data)) {
		return
	}
	c.changes = append(c.changes, change{truncate: true, offset: size})
	c.data = resized(c.data, size)
}

func resized(data []byte, size int64) []byte {
	if size <= int64(len(data)) {
		return append([]byte(nil), data[:size]...)
	}
	return append(append([]byte(nil), data...), make([]byte, size-int64(len(data)))...)
}

func (c change) apply(data []byte) []byte {
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
	chanceAllLost = 2 // nothing that was not synced is there
	chanceKept    = 4 // of each change by itself
	chanceTorn    = 3 // a part of a write, from its start or with a hole
	tenths        = 10
)

// LosePower leaves what was synced and, of each later change by itself, all, a part or nothing.
// The limits are lifted; open files are dead.
func (d *Disk) LosePower(random *rand.Rand) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	allLost := random.IntN(tenths) < chanceAllLost
	for _, one := range d.changes {
		if !allLost && random.IntN(2) == 0 {
			one.apply(d.durable)
		}
	}
	d.names = map[string]*content{}
	for path, one := range d.durable {
		one.losePower(random, allLost)
		d.names[path] = one
	}
	d.changes = nil
	d.restart()
}

// Restart leaves everything as the process left it; open files are dead.
func (d *Disk) Restart() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.restart()
}

func (d *Disk) restart() {
	d.generation++
	d.Room, d.Operations = Unlimited, Unlimited
	d.Refuse, d.Full, d.FailIn = false, false, 0
}

func (c *content) losePower(random *rand.Rand, allLost bool) {
	data := append([]byte(nil), c.durable...)
	for _, one := range c.changes {
		if !allLost {
			data = one.survive(data, random)
		}
	}
	c.data = data
	c.durable = append([]byte(nil), data...)
	c.changes = nil
}

// survive applies the change, a part of it, or nothing.
func (c change) survive(data []byte, random *rand.Rand) []byte {
	draw := random.IntN(tenths)
	if draw < chanceKept {
		return c.apply(data)
	}
	if draw >= chanceKept+chanceTorn || c.truncate || len(c.data) == 0 {
		return data
	}
	cut := random.IntN(len(c.data))
	if random.IntN(2) == 0 {
		return change{offset: c.offset, data: c.data[:cut]}.apply(data)
	}
	return change{offset: c.offset + int64(cut), data: c.data[cut:]}.apply(data)
}

// NewRandom returns the draws of a seed, the same ones each time.
func NewRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
