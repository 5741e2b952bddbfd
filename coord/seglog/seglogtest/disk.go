// Package seglogtest has a disk in memory for tests. It keeps what was synced apart from what was
// only written, and can lose power, be full, fail and stop at a chosen operation.
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

// Errors that the disk gives on demand.
var (
	ErrFull      = syscall.ENOSPC
	ErrInjected  = errors.New("seglogtest: the disk refuses")
	ErrPowerLost = errors.New("seglogtest: the machine has lost power")
)

// Unlimited is a number of bytes or operations that is never reached.
const Unlimited = int64(1<<62 - 1)

// fileWrite is one write or one setting of the length that has not been synced.
type fileWrite struct {
	truncate bool
	offset   int64 // of the write, or the new length
	data     []byte
}

// inode is a file's content apart from its names.
type inode struct {
	data           []byte      // as the processes see it
	durable        []byte      // as of the last sync
	unsyncedWrites []fileWrite // since then
}

// directoryChange is one change of a directory that has not been synced.
type directoryChange struct {
	directory   string
	renamedFrom string // rename: the old path
	path        string // the path made, renamed to or removed
	target      *inode // nil: removed
}

// MemoryDisk is a file system in memory. Its methods may be called by any goroutine.
type MemoryDisk struct {
	mutex           sync.Mutex
	entries         map[string]*inode
	durableEntries  map[string]*inode
	unsyncedChanges []directoryChange
	directories     map[string]bool
	generation      int // files opened before a loss of power are dead

	FreeBytes           int64 // bytes that writes may still add
	RemainingOperations int64 // changing operations left until the power goes
	FailAll             bool  // every change fails
	Full                bool  // every write fails, also one that makes or changes a name; files can be removed
	FailOperation       int64 // this many changing operations from now, one fails; 0: none
	SyncCount           int   // syncs of files so far
	OnSync              func()
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

// Clone returns a copy of the disk as it is, without limits.
func (d *MemoryDisk) Clone() *MemoryDisk {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	clone := NewMemoryDisk()
	copies := map[*inode]*inode{}
	copied := func(one *inode) *inode {
		if one == nil {
			return nil
		}
		if copies[one] == nil {
			copies[one] = &inode{
				data:           append([]byte(nil), one.data...),
				durable:        append([]byte(nil), one.durable...),
				unsyncedWrites: append([]fileWrite(nil), one.unsyncedWrites...),
			}
		}
		return copies[one]
	}
	for path, one := range d.entries {
		clone.entries[path] = copied(one)
	}
	for path, one := range d.durableEntries {
		clone.durableEntries[path] = copied(one)
	}
	for _, one := range d.unsyncedChanges {
		one.target = copied(one.target)
		clone.unsyncedChanges = append(clone.unsyncedChanges, one)
	}
	maps.Copy(clone.directories, d.directories)
	return clone
}

// countOperation counts one changing operation.
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

// countAllocation counts one changing operation that takes room.
func (d *MemoryDisk) countAllocation() error {
	if err := d.countOperation(); err != nil {
		return err
	}
	if d.Full {
		return ErrFull
	}
	return nil
}

// UsedBytes returns the bytes of all files.
func (d *MemoryDisk) UsedBytes() int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	total := int64(0)
	for _, one := range d.entries {
		total += int64(len(one.data))
	}
	return total
}

// injectedFailureDue counts down to the one operation that fails.
func (d *MemoryDisk) injectedFailureDue() bool {
	if d.FailOperation == 0 {
		return false
	}
	d.FailOperation--
	return d.FailOperation == 0
}

// MakeDirectory makes a directory, durably.
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

// Create makes an empty file or empties the existing one.
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

// OpenAppend opens an existing file.
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

// Rename gives a file another name.
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

// Remove takes a name away.
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
	for path, one := range d.entries {
		if filepath.Dir(path) == directory {
			files = append(files, seglog.FileInfo{Name: filepath.Base(path), Size: int64(len(one.data))})
		}
	}
	return files, nil
}

// SyncDirectory makes the names of a directory durable.
func (d *MemoryDisk) SyncDirectory(directory string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err := d.countOperation(); err != nil {
		return err
	}
	var unsynced []directoryChange
	for _, one := range d.unsyncedChanges {
		if one.directory == directory {
			one.apply(d.durableEntries)
		} else {
			unsynced = append(unsynced, one)
		}
	}
	d.unsyncedChanges = unsynced
	return nil
}

// WriteFile puts a file there as if it had been written and synced long ago.
func (d *MemoryDisk) WriteFile(path string, data []byte) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	made := &inode{data: append([]byte(nil), data...), durable: append([]byte(nil), data...)}
	d.entries[path] = made
	d.durableEntries[path] = made
}

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

// SingleFile returns the path of the one file of a directory, or "" if there is not exactly one.
func SingleFile(disk *MemoryDisk, directory string) string {
	files, err := disk.List(directory)
	if err != nil || len(files) != 1 {
		return ""
	}
	return filepath.Join(directory, files[0].Name)
}
