package store

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
)

// errLocked is returned for a store that another node has open.
var errLocked = errors.New("another node has it open")

// lockFile takes an exclusive lock on a SQLite database through a separate file, since two nodes on
// one database would both run its jobs. The operating system releases the lock when the process
// ends. For an in-memory database lockFile returns nil.
func lockFile(path string) (*os.File, error) {
	path = strings.TrimPrefix(path, "file:")
	if path == "" || strings.Contains(path, ":memory:") {
		return nil, nil
	}
	f, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = errLocked
		}
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), f.Close())
	}
	return f, nil
}
