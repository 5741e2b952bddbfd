package seglogtest

// file is a file opened for appending. It implements seglog.File.
type file struct {
	disk       *MemoryDisk
	inode      *inode
	generation int // generation of the disk when the file was opened
}

// countOperation counts one modifying operation. It fails for a file opened before the latest power loss or restart.
func (f *file) countOperation() error {
	if f.generation != f.disk.generation {
		return ErrPowerLost
	}
	return f.disk.countOperation()
}

// Write appends data. If a simulated failure or power loss is due, it appends only the first half and returns the error. If
// the free space does not suffice, it appends as much as fits.
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

// Truncate changes the size of the file.
func (f *file) Truncate(size int64) error {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if err := f.countOperation(); err != nil {
		return err
	}
	f.inode.truncate(size)
	return nil
}

// Sync makes the content of the file durable.
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
	f.inode.unsyncedChanges = nil
	return nil
}

// Close does nothing: an open file holds no resources.
func (f *file) Close() error { return nil }

// write appends data without making it durable.
func (n *inode) write(data []byte) {
	n.unsyncedChanges = append(n.unsyncedChanges, fileChange{offset: int64(len(n.data)), data: data})
	n.data = append(n.data, data...)
}

// truncate changes the size without making the change durable.
func (n *inode) truncate(size int64) {
	if size == int64(len(n.data)) {
		return
	}
	n.unsyncedChanges = append(n.unsyncedChanges, fileChange{truncate: true, offset: size})
	n.data = resized(n.data, size)
}

// resized returns a copy of the data with the given size, truncated or padded with zeros.
func resized(data []byte, size int64) []byte {
	if size <= int64(len(data)) {
		return append([]byte(nil), data[:size]...)
	}
	return append(append([]byte(nil), data...), make([]byte, size-int64(len(data)))...)
}

// apply returns the data after the change. It may modify data in place.
func (c fileChange) apply(data []byte) []byte {
	if c.truncate {
		return resized(data, c.offset)
	}
	if end := c.offset + int64(len(c.data)); end > int64(len(data)) {
		data = resized(data, end)
	}
	copy(data[c.offset:], c.data)
	return data
}
