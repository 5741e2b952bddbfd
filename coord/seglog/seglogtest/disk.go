// Package seglogtest provides MemoryDisk, an in-memory seglog.FileSystem for tests. MemoryDisk distinguishes synced from
// unsynced changes. It can simulate a power loss that persists all, some or none of the unsynced changes, a full disk, and
// a failure or a power loss at a chosen operation. Only tests and the control plane simulation import this package.
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

// Errors of simulated faults.
var (
	// ErrFull means that the disk has no free space left.
	ErrFull = syscall.ENOSPC
	// ErrInjected is returned by an operation that FailOperation or FailAll makes fail.
	ErrInjected = errors.New("seglogtest: injected failure")
	// ErrPowerLost means that the machine has lost power, or that the file was opened before a power loss or a restart.
	ErrPowerLost = errors.New("seglogtest: the machine has lost power")
)

// Unlimited is a number of bytes or operations that no test reaches.
const Unlimited = int64(1<<62 - 1)

// fileChange is an unsynced write to a file or change of its size.
type fileChange struct {
	truncate bool
	offset   int64 // offset of a write, or new size
	data     []byte
}

// inode is the content of a file, independent of its directory entries.
type inode struct {
	data            []byte       // current content, as reads return it
	durable         []byte       // content as of the latest sync
	unsyncedChanges []fileChange // changes since the latest sync, in order
}

// directoryChange is an unsynced creation, renaming or removal of a file.
type directoryChange struct {
	directory   string
	renamedFrom string // old path; empty if it is not a rename
	path        string // path created, renamed to or removed
	inode       *inode // file that path refers to; nil if path was removed
}

// MemoryDisk is an in-memory file system that simulates faults. Its methods are safe for concurrent use.
type MemoryDisk struct {
	mutex           sync.Mutex        // guards the unexported fields and, while operations run, the others
	entries         map[string]*inode // by path; as operations see them
	durableEntries  map[string]*inode // by path; as of the latest syncs of their directories
	unsyncedChanges []directoryChange
	directories     map[string]bool
	generation      int // number of power losses and restarts; invalidates files opened before the latest one

	// Simulated faults. A test sets them while no operation is running.
	FreeBytes           int64 // free space, which writes use up
	RemainingOperations int64 // number of modifying operations before the power is lost
	FailAll             bool  // all modifying operations fail
	Full                bool  // writes, creations and renames fail with ErrFull; removals succeed
	FailOperation       int64 // n: the nth modifying operation from now fails; 0: none

	SyncCount int    // number of file syncs so far
	OnSync    func() // called before each sync of a file if not nil
}

// NewMemoryDisk returns an empty disk without simulated faults.
func NewMemoryDisk() *MemoryDisk {
	return &MemoryDisk{
		entries:             map[string]*inode{},
		durableEntries:      map[string]*inode{},
		directories:         map[string]bool{},
		FreeBytes:           Unlimited,
		RemainingOperations: Unlimited,
	}
}

// Clone returns a copy of the files and unsynced changes, without simulated faults.
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
		change.inode = copyOf(change.inode)
		clone.unsyncedChanges = append(clone.unsyncedChanges, change)
	}
	maps.Copy(clone.directories, d.directories)
	return clone
}

// clone returns a copy of the inode.
func (n *inode) clone() *inode {
	return &inode{
		data:            append([]byte(nil), n.data...),
		durable:         append([]byte(nil), n.durable...),
		unsyncedChanges: append([]fileChange(nil), n.unsyncedChanges...),
	}
}

// countOperation counts one modifying operation and returns the error with which it must fail, if any.
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

// countAllocatingOperation is countOperation for an operation that requires free disk space.
func (d *MemoryDisk) countAllocatingOperation() error {
	if err := d.countOperation(); err != nil {
		return err
	}
	if d.Full {
		return ErrFull
	}
	return nil
}

// UsedBytes returns the total size of all files.
func (d *MemoryDisk) UsedBytes() int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	total := int64(0)
	for _, file := range d.entries {
		total += int64(len(file.data))
	}
	return total
}

// injectedFailureDue counts FailOperation down and reports whether it has reached the operation that fails.
func (d *MemoryDisk) injectedFailureDue() bool {
	if d.FailOperation == 0 {
		return false
	}
	d.FailOperation--
	return d.FailOperation == 0
}

// MakeDirectory durably creates a directory.
func (d *MemoryDisk) MakeDirectory(directory string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.directories[directory] {
		return nil
	}
	if err := d.countAllocatingOperation(); err != nil {
		return err
	}
	d.directories[directory] = true
	return nil
}

// Create creates an empty file or truncates an existing one.
func (d *MemoryDisk) Create(path string) (seglog.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err := d.countAllocatingOperation(); err != nil {
		return nil, err
	}
	if existing := d.entries[path]; existing != nil {
		existing.truncate(0)
		return &file{disk: d, inode: existing, generation: d.generation}, nil
	}
	if d.FreeBytes <= 0 {
		return nil, ErrFull
	}
	created := &inode{}
	d.entries[path] = created
	d.unsyncedChanges = append(d.unsyncedChanges, directoryChange{directory: filepath.Dir(path), path: path, inode: created})
	return &file{disk: d, inode: created, generation: d.generation}, nil
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

// Rename renames a file, replacing an existing target.
func (d *MemoryDisk) Rename(from, to string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err := d.countAllocatingOperation(); err != nil {
		return err
	}
	moved := d.entries[from]
	if moved == nil {
		return fs.ErrNotExist
	}
	delete(d.entries, from)
	d.entries[to] = moved
	d.unsyncedChanges = append(d.unsyncedChanges,
		directoryChange{directory: filepath.Dir(to), renamedFrom: from, path: to, inode: moved})
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

// List returns the files in a directory.
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

// SyncDirectory makes the unsynced changes of a directory durable.
func (d *MemoryDisk) SyncDirectory(directory string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err := d.countOperation(); err != nil {
		return err
	}
	var remaining []directoryChange
	for _, change := range d.unsyncedChanges {
		if change.directory == directory {
			change.apply(d.durableEntries)
		} else {
			remaining = append(remaining, change)
		}
	}
	d.unsyncedChanges = remaining
	return nil
}

// WriteFile durably creates or replaces a file. It does not count as an operation and is not subject to simulated faults.
func (d *MemoryDisk) WriteFile(path string, data []byte) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	created := &inode{data: append([]byte(nil), data...), durable: append([]byte(nil), data...)}
	d.entries[path] = created
	d.durableEntries[path] = created
}

// apply applies the change to entries by path.
func (c directoryChange) apply(entries map[string]*inode) {
	if c.renamedFrom != "" {
		delete(entries, c.renamedFrom)
	}
	if c.inode == nil {
		delete(entries, c.path)
		return
	}
	entries[c.path] = c.inode
}

// SingleFile returns the path of the only file in a directory, or "" if the directory does not contain exactly one file.
func SingleFile(disk *MemoryDisk, directory string) string {
	files, err := disk.List(directory)
	if err != nil || len(files) != 1 {
		return ""
	}
	return filepath.Join(directory, files[0].Name)
}
