package store

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
)

// errOpenElsewhere is the error of a store that another node has open.
var errOpenElsewhere = errors.New("another node has it open")

// lockFile locks a SQLite file for this process, by a file beside it: two nodes on one file would
// both run its jobs. The operating system releases the lock when the process ends. It returns nil
// for a database in memory.
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
			err = errOpenElsewhere
		}
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), f.Close())
	}
	return f, nil
}
