// Package hotrestart is where the processes of one node meet: a folder in $TMPDIR
// with the words on prep workers by hand, and a locked file for each process, whose
// lock ends with it. It blocks, and is not for the loop.
package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"ospreybend/internal/node/override"
)

const (
	fileVersion       = 1
	overridesName     = "by-hand.json"
	changeLockName    = "lock"
	lockPrefix        = "alive-"
	maxOverridesBytes = 1 << 20 // bytes of a file that is worth reading
	maxLockAttempts   = 20      // for a file of one's own that another process takes for a dead one's
)

// Directory is the folder.
type Directory struct {
	path     string
	process  string // this process's own, among all that were ever here
	lockPath string
	lock     *os.File // locked for as long as the process lives
}

// overridesFile is the file's form.
type overridesFile struct {
	Version   int                `json:"version"`
	Overrides override.Overrides `json:"words"`
}

// Open enters the room of a node in a folder.
func Open(tmp, node string) (*Directory, error) {
	if tmp == "" {
		return nil, errors.New("TMPDIR: not set")
	}
	dir := filepath.Join(tmp, "ospreybend-"+strings.Map(func(d rune) rune {
		if d == filepath.Separator || d == 0 {
			return '_'
		}
		return d
	}, node))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("TMPDIR: %w", err)
	}
	// By the number alone two processes might be one, where each has numbers of its own.
	name := strconv.Itoa(os.Getpid()) + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	d := &Directory{path: dir, process: name, lockPath: filepath.Join(dir, lockPrefix+name)}
	for range maxLockAttempts {
		file, err := os.OpenFile(d.lockPath, os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			return nil, fmt.Errorf("TMPDIR: %w", err)
		}
		if syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil && samePath(file, d.lockPath) {
			d.lock = file
			return d, nil
		}
		file.Close() // another process has just looked whether it is a dead one's
		time.Sleep(time.Millisecond)
	}
	return nil, fmt.Errorf("TMPDIR: %s is locked by another process", d.lockPath)
}

// samePath tells whether a path still leads to an open file.
func samePath(f *os.File, path string) bool {
	a, err := f.Stat()
	if err != nil {
		return false
	}
	b, err := os.Stat(path)
	return err == nil && os.SameFile(a, b)
}

// Close leaves the room.
func (d *Directory) Close() {
	_ = os.Remove(d.lockPath)
	_ = d.lock.Close()
}

// OtherProcesses counts the other processes in the room. What dead ones have left is
// removed.
func (d *Directory) OtherProcesses() int {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return 0
	}
	count := 0
	for _, entry := range entries {
		path := filepath.Join(d.path, entry.Name())
		if !strings.HasPrefix(entry.Name(), lockPrefix) || path == d.lockPath {
			continue
		}
		file, err := os.OpenFile(path, os.O_RDWR, 0)
		if err != nil {
			continue
		}
		if syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			_ = os.Remove(path)
		} else {
			count++
		}
		file.Close()
	}
	return count
}

// Overrides reads the words on prep workers. A file that is missing, torn or of
// another version gives none, and an error that says so unless it is missing.
func (d *Directory) Overrides() (override.Overrides, error) {
	path := filepath.Join(d.path, overridesName)
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return override.Overrides{}, nil
	}
	if err == nil && info.Size() > maxOverridesBytes {
		err = errors.New("the file is too long")
	}
	var text []byte
	if err == nil {
		text, err = os.ReadFile(path)
	}
	if err != nil {
		return override.Overrides{}, fmt.Errorf("%s: %w", path, err)
	}
	var file overridesFile
	if err := json.Unmarshal(text, &file); err != nil {
		return override.Overrides{}, fmt.Errorf("%s: %w", path, err)
	}
	if file.Version != fileVersion {
		return override.Overrides{}, fmt.Errorf("%s: version %d, known is %d", path, file.Version, fileVersion)
	}
	if file.Overrides == nil {
		file.Overrides = override.Overrides{}
	}
	return file.Overrides, nil
}

// Change has the words changed and written whole, one process at a time, and
// returns what holds now. What cannot be read is begun anew.
func (d *Directory) Change(change func(override.Overrides)) (override.Overrides, error) {
	lock, err := os.OpenFile(filepath.Join(d.path, changeLockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	defer lock.Close()
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		return nil, fmt.Errorf("%s: %w", lock.Name(), err)
	}
	overrides, err := d.Overrides()
	if err != nil {
		slog.Warn("override file reset", "fault", err)
	}
	change(overrides)
	text, err := json.Marshal(overridesFile{fileVersion, overrides})
	if err != nil {
		return nil, err
	}
	temporary, err := os.CreateTemp(d.path, "new-")
	if err != nil {
		return nil, err
	}
	_, err = temporary.Write(text)
	err = errors.Join(err, temporary.Close())
	if err == nil {
		err = os.Rename(temporary.Name(), filepath.Join(d.path, overridesName))
	}
	if err != nil {
		_ = os.Remove(temporary.Name())
		return nil, err
	}
	return overrides, nil
}

// Watch looks into the room in steps and tells when the words or the number of
// other processes have changed, until stop is closed.
func (d *Directory) Watch(every time.Duration, stop <-chan struct{}, notify func(overrides override.Overrides, others int)) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	var last fs.FileInfo
	others := -1
	for {
		info, _ := os.Stat(filepath.Join(d.path, overridesName))
		fresh := info != nil && (last == nil || !os.SameFile(info, last) || !info.ModTime().Equal(last.ModTime()))
		processes := d.OtherProcesses()
		if fresh || processes != others {
			overrides, err := d.Overrides()
			if err != nil {
				slog.Warn("override file cannot be read", "fault", err)
			}
			notify(overrides, processes)
		}
		last, others = info, processes
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}
