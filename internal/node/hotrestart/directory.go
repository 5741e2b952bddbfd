// Package hotrestart connects the processes of one node while the next takes over from the last:
// a directory in $TMPDIR has the manual overrides that they share and a lock file for each
// process, which the operating system releases when the process ends; Unix sockets there pass the
// last process's clients' connections to the next (handover.go).
//
// Its calls block, so that the event loop must not make them. The node's command is its caller.
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
	maxOverridesBytes = 1 << 20 // a longer file counts as unreadable
	maxLockAttempts   = 20      // on this process's own lock file, which another process may lock for a moment to see whether it is stale
)

// Directory is the directory that the processes of one node share.
type Directory struct {
	path     string
	process  string // unique over all processes of the node
	lockPath string
	lock     *os.File // locked for as long as the process lives
}

// overridesFile is the JSON form of the shared overrides.
type overridesFile struct {
	Version   int                `json:"version"`
	Overrides override.Overrides `json:"words"`
}

var errTmpDirMissing = errors.New("TMPDIR: not set")

// Open creates the directory of a node within tmp if need be, and locks a file there for this
// process. Its errors name TMPDIR.
func Open(tmp, node string) (*Directory, error) {
	if tmp == "" {
		return nil, errTmpDirMissing
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
	// The process ID is not unique across PID namespaces.
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
		file.Close() // another process has just checked whether it is stale
		time.Sleep(time.Millisecond)
	}
	return nil, fmt.Errorf("TMPDIR: %s is locked by another process", d.lockPath)
}

// samePath reports whether a path still leads to an open file.
func samePath(f *os.File, path string) bool {
	a, err := f.Stat()
	if err != nil {
		return false
	}
	b, err := os.Stat(path)
	return err == nil && os.SameFile(a, b)
}

// Close removes this process's lock file.
func (d *Directory) Close() {
	_ = os.Remove(d.lockPath)
	_ = d.lock.Close()
}

// OtherProcesses returns the number of other processes of the node that run. It removes the
// lock files of those that have ended.
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

// Overrides reads the shared manual overrides. A missing file has none; an unreadable one, or
// one of another version, is an error.
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

// Change changes the shared overrides under a lock and writes the file atomically. It returns the
// overrides now stored. An unreadable file is replaced.
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

// Watch polls the directory and calls notify when the overrides or the number of other processes
// have changed, until stop is closed.
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
