package seglogtest

// file is an open file that is appended to.
type file struct {
	disk       *MemoryDisk
	inode      *inode
	generation int // of the disk when the file was opened
}

// countOperation counts one modifying operation. A file that was opened before a power loss or restart is unusable.
func (f *file) countOperation() error {
	if f.generation != f.disk.generation {
		return ErrPowerLost
	}
	return f.disk.countOperation()
}

// Write appends data: half of it if the operation fails, and as much as fits on a disk that fills up.
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

// Truncate sets the size of the file.
func (f *file) Truncate(size int64) error {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if err := f.countOperation(); err != nil {
		return err
	}
	f.inode.truncate(size)
	return nil
}

// Sync makes the content durable.
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

// Close does nothing: the test disk has no open files to release.
func (f *file) Close() error { return nil }

// write appends data that is not durable yet.
func (n *inode) write(data []byte) {
	n.unsyncedWrites = append(n.unsyncedWrites, fileWrite{offset: int64(len(n.data)), data: data})
	n.data = append(n.data, data...)
}

// truncate sets the size, not durably yet.
func (n *inode) truncate(size int64) {
	if size == int64(len(n.data)) {
		return
	}
	n.unsyncedWrites = append(n.unsyncedWrites, fileWrite{truncate: true, offset: size})
	n.data = resized(n.data, size)
}

// resized returns a copy of the data with the given size, filled up with zeros.
func resized(data []byte, size int64) []byte {
	if size <= int64(len(data)) {
		return append([]byte(nil), data[:size]...)
	}
	return append(append([]byte(nil), data...), make([]byte, size-int64(len(data)))...)
}

// apply returns the data after the write. It may change data in place.
func (w fileWrite) apply(data []byte) []byte {
	if w.truncate {
		return resized(data, w.offset)
	}
	if end := w.offset + int64(len(w.data)); end > int64(len(data)) {
		data = resized(data, end)
	}
	copy(data[w.offset:], w.data)
	return data
}
