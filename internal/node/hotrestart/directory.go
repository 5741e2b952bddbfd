// Package hotrestart connects the processes of one node during a hot restart, when the next
// process takes over from the previous one. They share a directory in $TMPDIR with the manual
// overrides and with a lock file for each process; the operating system releases the lock when
// the process ends. Over Unix sockets there the previous process passes the connections of its
// clients to the next one (handover.go).
//
// The functions block, so that they must not be called on the event loop. Package
// cmd/ospreybend calls them.
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
	maxLockAttempts   = 20      // to lock this process's own lock file, while another process checks whether it is stale
)

// Directory is the directory that the processes of one node share.
type Directory struct {
	path     string
	process  string // unique over all processes of the node
	lockPath string
	lock     *os.File // locked until the process ends
}

// overridesFile is the content of the file of the shared overrides.
type overridesFile struct {
	Version   int                `json:"version"`
	Overrides override.Overrides `json:"words"`
}

var errTmpDirMissing = errors.New("TMPDIR: not set")

// Open creates the directory of a node within tmp if it does not exist, and locks a file there
// for this process. Its errors name TMPDIR.
func Open(tmp, node string) (*Directory, error) {
	if tmp == "" {
		return nil, errTmpDirMissing
	}
	path := filepath.Join(tmp, "ospreybend-"+strings.Map(func(r rune) rune {
		if r == filepath.Separator || r == 0 {
			return '_'
		}
		return r
	}, node))
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("TMPDIR: %w", err)
	}
	// The process ID is not unique across PID namespaces.
	process := strconv.Itoa(os.Getpid()) + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	d := &Directory{path: path, process: process, lockPath: filepath.Join(path, lockPrefix+process)}
	for range maxLockAttempts {
		file, err := os.OpenFile(d.lockPath, os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			return nil, fmt.Errorf("TMPDIR: %w", err)
		}
		if syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil && isFileAt(file, d.lockPath) {
			d.lock = file
			return d, nil
		}
		file.Close() // locked or removed by another process that checks whether it is stale
		time.Sleep(time.Millisecond)
	}
	return nil, fmt.Errorf("TMPDIR: %s is locked by another process", d.lockPath)
}

// isFileAt reports whether a path still leads to an open file.
func isFileAt(file *os.File, path string) bool {
	opened, err := file.Stat()
	if err != nil {
		return false
	}
	current, err := os.Stat(path)
	return err == nil && os.SameFile(opened, current)
}

// Close removes this process's lock file.
func (d *Directory) Close() {
	_ = os.Remove(d.lockPath)
	_ = d.lock.Close()
}

// OtherProcesses returns the number of other running processes of the node. It removes the lock
// files of those that have ended.
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

// Overrides reads the shared manual overrides. It returns none if the file does not exist, and an
// error if the file cannot be read or has another version.
func (d *Directory) Overrides() (override.Overrides, error) {
	path := filepath.Join(d.path, overridesName)
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return override.Overrides{}, nil
	}
	if err == nil && info.Size() > maxOverridesBytes {
		err = fmt.Errorf("the file is too long: %d bytes, the limit is %d", info.Size(), maxOverridesBytes)
	}
	var content []byte
	if err == nil {
		content, err = os.ReadFile(path)
	}
	if err != nil {
		return override.Overrides{}, fmt.Errorf("%s: %w", path, err)
	}
	var file overridesFile
	if err := json.Unmarshal(content, &file); err != nil {
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

// Change reads the shared overrides, calls change with them and replaces the file atomically, all
// under a lock. It returns the overrides now stored. A file that cannot be read counts as empty.
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
	content, err := json.Marshal(overridesFile{fileVersion, overrides})
	if err != nil {
		return nil, err
	}
	temporary, err := os.CreateTemp(d.path, "new-")
	if err != nil {
		return nil, err
	}
	_, err = temporary.Write(content)
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

// Watch polls the directory until stop is closed. It calls notify at first and whenever the
// overrides or the number of other processes have changed.
func (d *Directory) Watch(interval time.Duration, stop <-chan struct{}, notify func(overrides override.Overrides, others int)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var last fs.FileInfo
	others := -1
	for {
		info, _ := os.Stat(filepath.Join(d.path, overridesName))
		modified := info != nil && (last == nil || !os.SameFile(info, last) || !info.ModTime().Equal(last.ModTime()))
		processes := d.OtherProcesses()
		if modified || processes != others {
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
