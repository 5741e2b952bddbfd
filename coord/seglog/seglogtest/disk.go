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
	ErrFull    = syscall.ENOSPC
	ErrRefused = errors.New("seglogtest: the disk refuses")
	ErrNoPower = errors.New("seglogtest: the machine has lost power")
)

// Unlimited is a number of bytes or operations that is never reached.
const Unlimited = int64(1<<62 - 1)

// change is one write or one setting of the length that has not been synced.
type change struct {
	truncate bool
	offset   int64 // of the write, or the new length
	data     []byte
}

// content is a file's content apart from its names.
type content struct {
	data    []byte   // as the processes see it
	durable []byte   // as of the last sync
	changes []change // since then
}

// nameChange is one change of a directory that has not been synced.
type nameChange struct {
	directory string
	from      string   // rename: the old path
	path      string   // the path made, renamed to or removed
	target    *content // nil: removed
}

// Disk is a file system in memory. Its methods may be called by any goroutine.
type Disk struct {
	mutex       sync.Mutex
	names       map[string]*content
	durable     map[string]*content
	changes     []nameChange
	directories map[string]bool
	generation  int // files opened before a loss of power are dead

	Room       int64 // bytes that writes may still add
	Operations int64 // changing operations left until the power goes
	Refuse     bool  // every change fails
	Full       bool  // every write fails, also one that makes or changes a name; files can be removed
	FailIn     int64 // this many changing operations from now, one fails; 0: none
	SyncCount  int   // syncs of files so far
	OnSync     func()
}

// NewDisk returns an empty disk without limits.
func NewDisk() *Disk {
	return &Disk{
		names:       map[string]*content{},
		durable:     map[string]*content{},
		directories: map[string]bool{},
		Room:        Unlimited,
		Operations:  Unlimited,
	}
}

// Clone returns a copy of the disk as it is, without limits.
func (d *Disk) Clone() *Disk {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	clone := NewDisk()
	copies := map[*content]*content{}
	copied := func(one *content) *content {
		if one == nil {
			return nil
		}
		if copies[one] == nil {
			copies[one] = &content{
				data:    append([]byte(nil), one.data...),
				durable: append([]byte(nil), one.durable...),
				changes: append([]change(nil), one.changes...),
			}
		}
		return copies[one]
	}
	for path, one := range d.names {
		clone.names[path] = copied(one)
	}
	for path, one := range d.durable {
		clone.durable[path] = copied(one)
	}
	for _, one := range d.changes {
		one.target = copied(one.target)
		clone.changes = append(clone.changes, one)
	}
	maps.Copy(clone.directories, d.directories)
	return clone
}

// operate counts one changing operation.
func (d *Disk) operate() error {
	if d.Operations <= 0 {
		return ErrNoPower
	}
	d.Operations--
	if d.Refuse || d.failsNow() {
		return ErrRefused
	}
	return nil
}

// write counts one changing operation that takes room.
func (d *Disk) write() error {
	if err := d.operate(); err != nil {
		return err
	}
	if d.Full {
		return ErrFull
	}
	return nil
}

// Used returns the bytes of all files.
func (d *Disk) Used() int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	total := int64(0)
	for _, one := range d.names {
		total += int64(len(one.data))
	}
	return total
}

// failsNow counts down to the one operation that fails.
func (d *Disk) failsNow() bool {
	if d.FailIn == 0 {
		return false
	}
	d.FailIn--
	return d.FailIn == 0
}

// MakeDirectory makes a directory, durably.
func (d *Disk) MakeDirectory(directory string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.directories[directory] {
		return nil
	}
	if err := d.write(); err != nil {
		return err
	}
	d.directories[directory] = true
	return nil
}

// Create makes an empty file or empties the existing one.
func (d *Disk) Create(path string) (seglog.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err := d.write(); err != nil {
		return nil, err
	}
	if existing := d.names[path]; existing != nil {
		existing.truncate(0)
		return &file{disk: d, content: existing, generation: d.generation}, nil
	}
	if d.Room <= 0 {
		return nil, ErrFull
	}
	made := &content{}
	d.names[path] = made
	d.changes = append(d.changes, nameChange{directory: filepath.Dir(path), path: path, target: made})
	return &file{disk: d, content: made, generation: d.generation}, nil
}

// OpenAppend opens an existing file.
func (d *Disk) OpenAppend(path string) (seglog.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	existing := d.names[path]
	if existing == nil {
		return nil, fs.ErrNotExist
	}
	return &file{disk: d, content: existing, generation: d.generation}, nil
}

// ReadFile returns a copy of a file's content.
func (d *Disk) ReadFile(path string) ([]byte, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	existing := d.names[path]
	if existing == nil {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), existing.data...), nil
}

// Rename gives a file another name.
func (d *Disk) Rename(from, to string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err := d.write(); err != nil {
		return err
	}
	moved := d.names[from]
	if moved == nil {
		return fs.ErrNotExist
	}
	delete(d.names, from)
	d.names[to] = moved
	d.changes = append(d.changes, nameChange{directory: filepath.Dir(to), from: from, path: to, target: moved})
	return nil
}

// Remove takes a name away.
func (d *Disk) Remove(path string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err := d.operate(); err != nil {
		return err
	}
	if d.names[path] == nil {
		return fs.ErrNotExist
	}
	delete(d.names, path)
	d.changes = append(d.changes, nameChange{directory: filepath.Dir(path), path: path})
	return nil
}

// List returns the files of a directory.
func (d *Disk) List(directory string) ([]seglog.FileInfo, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var files []seglog.FileInfo
	for path, one := range d.names {
		if filepath.Dir(path) == directory {
			files = append(files, seglog.FileInfo{Name: filepath.Base(path), Size: int64(len(one.data))})
		}
	}
	return files, nil
}

// SyncDirectory makes the names of a directory durable.
func (d *Disk) SyncDirectory(directory string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err := d.operate(); err != nil {
		return err
	}
	var left []nameChange
	for _, one := range d.changes {
		if one.directory == directory {
			one.apply(d.durable)
		} else {
			left = append(left, one)
		}
	}
	d.changes = left
	return nil
}

// WriteFile puts a file there as if it had been written and synced long ago.
func (d *Disk) WriteFile(path string, data []byte) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	made := &content{data: append([]byte(nil), data...), durable: append([]byte(nil), data...)}
	d.names[path] = made
	d.durable[path] = made
}

func (c nameChange) apply(names map[string]*content) {
	if c.from != "" {
		delete(names, c.from)
	}
	if c.target == nil {
		delete(names, c.path)
		return
	}
	names[c.path] = c.target
}

// OnlyFile returns the path of the one file of a directory, or "" if there is not exactly one.
func OnlyFile(disk *Disk, directory string) string {
	files, err := disk.List(directory)
	if err != nil || len(files) != 1 {
		return ""
	}
	return filepath.Join(directory, files[0].Name)
}
