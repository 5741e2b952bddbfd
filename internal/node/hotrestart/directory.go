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
	version           = 1
	overridesName     = "by-hand.json"
	lockFile          = "lock"
	alive             = "alive-"
	maxOverridesBytes = 1 << 20 // bytes of a file that is worth reading
	maxLockAttempts   = 20      // for a file of one's own that another process takes for a dead one's
)

// Directory is the folder.
type Directory struct {
	dir  string
	name string // this process's own, among all that were ever here
	self string
	own  *os.File // locked for as long as the process lives
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
	dir := filepath.Join(tmp, "ospreybend-"+strings.Map(func(r rune) rune {
		if r == filepath.Separator || r == 0 {
			return '_'
		}
		return r
	}, node))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("TMPDIR: %w", err)
	}
	// By the number alone two processes might be one, where each has numbers of its own.
	name := strconv.Itoa(os.Getpid()) + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	r := &Directory{dir: dir, name: name, self: filepath.Join(dir, alive+name)}
	for range maxLockAttempts {
		f, err := os.OpenFile(r.self, os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			return nil, fmt.Errorf("TMPDIR: %w", err)
		}
		if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil && same(f, r.self) {
			r.own = f
			return r, nil
		}
		f.Close() // another process has just looked whether it is a dead one's
		time.Sleep(time.Millisecond)
	}
	return nil, fmt.Errorf("TMPDIR: %s is locked by another process", r.self)
}

// same tells whether a path still leads to an open file.
func same(f *os.File, path string) bool {
	a, err := f.Stat()
	if err != nil {
		return false
	}
	b, err := os.Stat(path)
	return err == nil && os.SameFile(a, b)
}

// Close leaves the room.
func (r *Directory) Close() {
	_ = os.Remove(r.self)
	_ = r.own.Close()
}

// Others counts the other processes in the room. What dead ones have left is
// removed.
func (r *Directory) Others() int {
	entries, err := os.ReadDir(r.dir)
	if err != nil {
		return 0
	}
	n := 0
	for _, e := range entries {
		path := filepath.Join(r.dir, e.Name())
		if !strings.HasPrefix(e.Name(), alive) || path == r.self {
			continue
		}
		f, err := os.OpenFile(path, os.O_RDWR, 0)
		if err != nil {
			continue
		}
		if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			_ = os.Remove(path)
		} else {
			n++
		}
		f.Close()
	}
	return n
}

// Overrides reads the words on prep workers. A file that is missing, torn or of
// another version gives none, and an error that says so unless it is missing.
func (r *Directory) Overrides() (override.Overrides, error) {
	path := filepath.Join(r.dir, overridesName)
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
	var w overridesFile
	if err := json.Unmarshal(text, &w); err != nil {
		return override.Overrides{}, fmt.Errorf("%s: %w", path, err)
	}
	if w.Version != version {
		return override.Overrides{}, fmt.Errorf("%s: version %d, known is %d", path, w.Version, version)
	}
	if w.Overrides == nil {
		w.Overrides = override.Overrides{}
	}
	return w.Overrides, nil
}

// Change has the words changed and written whole, one process at a time, and
// returns what holds now. What cannot be read is begun anew.
func (r *Directory) Change(change func(override.Overrides)) (override.Overrides, error) {
	lock, err := os.OpenFile(filepath.Join(r.dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	defer lock.Close()
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		return nil, fmt.Errorf("%s: %w", lock.Name(), err)
	}
	now, err := r.Overrides()
	if err != nil {
		slog.Warn("words by hand begun anew", "fault", err)
	}
	change(now)
	text, err := json.Marshal(overridesFile{version, now})
	if err != nil {
		return nil, err
	}
	temporary, err := os.CreateTemp(r.dir, "new-")
	if err != nil {
		return nil, err
	}
	_, err = temporary.Write(text)
	err = errors.Join(err, temporary.Close())
	if err == nil {
		err = os.Rename(temporary.Name(), filepath.Join(r.dir, overridesName))
	}
	if err != nil {
		_ = os.Remove(temporary.Name())
		return nil, err
	}
	return now, nil
}

// Watch looks into the room in steps and tells when the words or the number of
// other processes have changed, until stop is closed.
func (r *Directory) Watch(every time.Duration, stop <-chan struct{}, notify func(w override.Overrides, others int)) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	var last fs.FileInfo
	others := -1
	for {
		info, _ := os.Stat(filepath.Join(r.dir, overridesName))
		fresh := info != nil && (last == nil || !os.SameFile(info, last) || !info.ModTime().Equal(last.ModTime()))
		n := r.Others()
		if fresh || n != others {
			w, err := r.Overrides()
			if err != nil {
				slog.Warn("words by hand cannot be read", "fault", err)
			}
			notify(w, n)
		}
		last, others = info, n
		select {
		case <-stop:
			return
		case <-tick.C:
		}
	}
}
