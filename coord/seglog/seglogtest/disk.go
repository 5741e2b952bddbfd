// Package seglogtest provides MemoryDisk, an in-memory seglog.FileSystem for tests. It distinguishes what was synced from what
// was only written, and can lose power with all, some or none of the unsynced writes, be full, and fail or stop at a chosen
// operation. Only tests and the simulation of the control plane import it.
package seglogtest

import (
	"errors"
	"io/fs"
	"maps"
	"path/filepath"
	"sync"
	"syscall"

	"ospreybend/coord/seglog"
)

// Errors that the disk returns on demand.
var (
	// ErrFull means that the disk has no free space.
	ErrFull = syscall.ENOSPC
	// ErrInjected means that the operation was chosen to fail.
	ErrInjected = errors.New("seglogtest: injected failure")
	// ErrPowerLost means that the machine has lost power, or had when the file was opened.
	ErrPowerLost = errors.New("seglogtest: the machine has lost power")
)

// Unlimited is a number of bytes or operations that is never reached.
const Unlimited = int64(1<<62 - 1)

// fileWrite is one write to a file, or one change of its size, that has not been synced.
type fileWrite struct {
	truncate bool
	offset   int64 // of the write, or the new size
	data     []byte
}

// inode is a file's content, apart from its names.
type inode struct {
	data           []byte      // as processes read it
	durable        []byte      // as of the latest sync
	unsyncedWrites []fileWrite // since the latest sync, in order
}

// directoryChange is one change of a directory that has not been synced.
type directoryChange struct {
	directory   string
	renamedFrom string // old path, of a rename
	path        string // path created, renamed to or removed
	target      *inode // nil: removed
}

// MemoryDisk is an in-memory file system. Its methods may be called by any goroutine.
type MemoryDisk struct {
	mutex           sync.Mutex        // guards the fields below and, during operations, those after them
	entries         map[string]*inode // by path, as processes see them
	durableEntries  map[string]*inode // as of the latest syncs of their directories
	unsyncedChanges []directoryChange
	directories     map[string]bool
	generation      int // counts power losses and restarts; files opened before the latest one are unusable

	// Faults, set by the test while no operation is running.
	FreeBytes           int64 // bytes that writes may still add
	RemainingOperations int64 // modifying operations until the power is lost
	FailAll             bool  // each modifying operation fails
	Full                bool  // each write fails, also one that creates or renames a file; files can be removed
	FailOperation       int64 // the number of the modifying operation from now that fails; 0: none

	SyncCount int    // syncs of files so far
	OnSync    func() // called before each sync of a file; may be nil
}

// NewMemoryDisk returns an empty disk without limits.
func NewMemoryDisk() *MemoryDisk {
	return &MemoryDisk{
		entries:             map[string]*inode{},
		durableEntries:      map[string]*inode{},
		directories:         map[string]bool{},
		FreeBytes:           Unlimited,
		RemainingOperations: Unlimited,
	}
}

// Clone returns a copy of the disk without faults.
func (d *MemoryDisk) Clone() *MemoryDisk {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	clone := NewMemoryDisk()
	copies := map[*inode]*inode{}
	copyOf := func(original *inode) *inode {
		if original == nil {
			return nil
		}
		if copies[original] == nil {
			copies[original] = original.clone()
		}
		return copies[original]
	}
	for path, original := range d.entries {
		clone.entries[path] = copyOf(original)
	}
	for path, original := range d.durableEntries {
		clone.durableEntries[path] = copyOf(original)
	}
	for _, change := range d.unsyncedChanges {
		change.target = copyOf(change.target)
		clone.unsyncedChanges = append(clone.unsyncedChanges, change)
	}
	maps.Copy(clone.directories, d.directories)
	return clone
}

// clone returns a copy of the inode.
func (n *inode) clone() *inode {
	return &inode{
		data:           append([]byte(nil), n.data...),
		durable:        append([]byte(nil), n.durable...),
		unsyncedWrites: append([]fileWrite(nil), n.unsyncedWrites...),
	}
}

// countOperation counts one modifying operation and returns the error that is due for it.
func (d *MemoryDisk) countOperation() error {
	if d.RemainingOperations <= 0 {
		return ErrPowerLost
	}
	d.RemainingOperations--
	if d.FailAll || d.injectedFailureDue() {
		return ErrInjected
	}
	return nil
}

// countAllocation counts one modifying operation that needs free space.
func (d *MemoryDisk) countAllocation() error {
	if err := d.countOperation(); err != nil {
		return err
	}
	if d.Full {
		return ErrFull
	}
	return nil
}

// UsedBytes returns the size of all files.
func (d *MemoryDisk) UsedBytes() int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	total := int64(0)
	for _, file := range d.entries {
		total += int64(len(file.data))
	}
	return total
}

// injectedFailureDue counts down to FailOperation.
func (d *MemoryDisk) injectedFailureDue() bool {
	if d.FailOperation == 0 {
		return false
	}
	d.FailOperation--
	return d.FailOperation == 0
}

// MakeDirectory creates a directory, durably.
func (d *MemoryDisk) MakeDirectory(directory string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.directories[directory] {
		return nil
	}
	if err := d.countAllocation(); err != nil {
		return err
	}
	d.directories[directory] = true
	return nil
}

// Create creates an empty file, or truncates the existing one.
func (d *MemoryDisk) Create(path string) (seglog.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err := d.countAllocation(); err != nil {
		return nil, err
	}
	if existing := d.entries[path]; existing != nil {
		existing.truncate(0)
		return &file{disk: d, inode: existing, generation: d.generation}, nil
	}
	if d.FreeBytes <= 0 {
		return nil, ErrFull
	}
	made := &inode{}
	d.entries[path] = made
	d.unsyncedChanges = append(d.unsyncedChanges, directoryChange{directory: filepath.Dir(path), path: path, target: made})
	return &file{disk: d, inode: made, generation: d.generation}, nil
}

// OpenAppend opens an existing file for appending.
func (d *MemoryDisk) OpenAppend(path string) (seglog.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	existing := d.entries[path]
	if existing == nil {
		return nil, fs.ErrNotExist
	}
	return &file{disk: d, inode: existing, generation: d.generation}, nil
}

// ReadFile returns a copy of a file's content.
func (d *MemoryDisk) ReadFile(path string) ([]byte, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	existing := d.entries[path]
	if existing == nil {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), existing.data...), nil
}

// Rename renames a file and replaces the target if that exists.
func (d *MemoryDisk) Rename(from, to string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err := d.countAllocation(); err != nil {
		return err
	}
	moved := d.entries[from]
	if moved == nil {
		return fs.ErrNotExist
	}
	delete(d.entries, from)
	d.entries[to] = moved
	d.unsyncedChanges = append(d.unsyncedChanges, directoryChange{directory: filepath.Dir(to), renamedFrom: from, path: to, target: moved})
	return nil
}

// Remove removes a file.
func (d *MemoryDisk) Remove(path string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err := d.countOperation(); err != nil {
		return err
	}
	if d.entries[path] == nil {
		return fs.ErrNotExist
	}
	delete(d.entries, path)
	d.unsyncedChanges = append(d.unsyncedChanges, directoryChange{directory: filepath.Dir(path), path: path})
	return nil
}

// List returns the files of a directory.
func (d *MemoryDisk) List(directory string) ([]seglog.FileInfo, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var files []seglog.FileInfo
	for path, content := range d.entries {
		if filepath.Dir(path) == directory {
			files = append(files, seglog.FileInfo{Name: filepath.Base(path), Size: int64(len(content.data))})
		}
	}
	return files, nil
}

// SyncDirectory makes the entries of a directory durable.
func (d *MemoryDisk) SyncDirectory(directory string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err := d.countOperation(); err != nil {
		return err
	}
	var unsynced []directoryChange
	for _, change := range d.unsyncedChanges {
		if change.directory == directory {
			change.apply(d.durableEntries)
		} else {
			unsynced = append(unsynced, change)
		}
	}
	d.unsyncedChanges = unsynced
	return nil
}

// WriteFile puts a durable file on the disk. It is not counted as an operation.
func (d *MemoryDisk) WriteFile(path string, data []byte) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	made := &inode{data: append([]byte(nil), data...), durable: append([]byte(nil), data...)}
	d.entries[path] = made
	d.durableEntries[path] = made
}

// apply makes the change in a map of paths.
func (c directoryChange) apply(names map[string]*inode) {
	if c.renamedFrom != "" {
		delete(names, c.renamedFrom)
	}
	if c.target == nil {
		delete(names, c.path)
		return
	}
	names[c.path] = c.target
}

// SingleFile returns the path of the only file of a directory, or "" if there is not exactly one.
func SingleFile(disk *MemoryDisk, directory string) string {
	files, err := disk.List(directory)
	if err != nil || len(files) != 1 {
		return ""
	}
	return filepath.Join(directory, files[0].Name)
}
