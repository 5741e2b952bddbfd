// Package seglog stores the log, the hard state and the snapshot of one replica group on disk and
// reads them back after a restart or a loss of power.
//
// A directory holds segments and a snapshot. A segment is a file of records that is only appended
// to; it is named by a number that only grows. A record is an entry or a hard state. An entry replaces all stored entries from its index on, so nothing is
// ever rewritten. A record's check value is computed from the one before it, so that what is left
// of a failed write is never taken for a continuation of what was written over it; a segment's
// header has that of the last record of the segment before.
//
// A snapshot is a file of its own: written under a temporary name, synced, renamed, the directory
// synced; only then the one before it and the segments that it covers are removed. It names the
// first segment that counts beside it, so that segments whose removal was lost are known as void,
// and holds the hard state of its moment, which may stand in one of these.
//
// Recovery reads the newest snapshot and then the segments in order, up to the first record that is
// incomplete, damaged or does not follow. What stands there in the last segment is dropped: only writes
// that were never reported as durable can look like this after a loss of power, and damage to the synced
// end of the last segment cannot be told from it. A segment is started only once all of the one before is
// durable: where one that should stand before others is missing, damaged or not whole, ErrDamaged is given,
// as for a damaged snapshot, since the log may be older than what was promised with it.
// What recovery returns is durable again before Open returns.
package seglog

import (
	"errors"
	"fmt"
	"path/filepath"

	"ospreybend/coord/consensus"
)

// DefaultSegmentBytes is the size from which on a segment is not appended to any more.
const DefaultSegmentBytes = 1 << 20

// Options sets up a Log.
type Options struct {
	FileSystem   FileSystem // nil: the operating system's
	Directory    string     // of this log alone; made if it is missing
	SegmentBytes int64      // 0: DefaultSegmentBytes
	Omit         []Guard    // guards left out, by tests alone
}

// Log is the durable state of one group. Its methods must not be called at the same time.
type Log struct {
	fileSystem   FileSystem
	directory    string
	segmentBytes int64

	sealed      []segment   // oldest first, all synced
	current     *appendFile // nil: the next write starts a segment
	nextSegment uint64      // number of the next segment
	snapshot    snapshotFile
	hardState   consensus.HardState
	last        uint64   // index of the last entry, or of the snapshot
	removable   []string // names of files that are not needed, to be removed
	closed      bool
	omitted     map[Guard]bool
}

// Errors of a log. Other errors are those of the file system: the call may then be made again with
// the same arguments or with more, and nothing of it counts as durable until a call succeeds.
var (
	// ErrDamaged: a file that was durable cannot be read. The member's state is lost: it must come
	// back under a new member ID with an empty directory.
	ErrDamaged = errors.New("seglog: a durable file is damaged")
	ErrClosed  = errors.New("seglog: the log is closed")
)

// ErrFormat refuses a directory with files of another format. Nothing in it has been changed.
type ErrFormat struct {
	File             string
	Found, Supported uint32
}

func (e ErrFormat) Error() string {
	return fmt.Sprintf("seglog: %s has format %d, this program reads format %d", e.File, e.Found, e.Supported)
}

// Save makes the states of the batch durable in their order, with one sync if no snapshot and no
// new segment is among them. After an error a prefix of the batch may or may not be on disk; the
// same states are to be saved again, first in the next batch.
func (l *Log) Save(batch []*consensus.PersistRequest) error {
	if l.closed {
		return ErrClosed
	}
	rest, err := l.saveSnapshot(batch)
	if err != nil {
		return err
	}
	if !anyRecords(rest) {
		return nil
	}
	if err := l.prepare(); err != nil {
		return err
	}
	return l.appendBatch(rest)
}

// saveSnapshot stores the last snapshot of the batch, if any, together with the hard state that
// holds with it, and returns the states that come after the snapshot.
func (l *Log) saveSnapshot(batch []*consensus.PersistRequest) ([]*consensus.PersistRequest, error) {
	position := lastSnapshot(batch)
	if position < 0 {
		return batch, nil
	}
	hardState := l.hardState
	for _, persist := range batch[:position+1] {
		if persist.HardState != nil {
			hardState = *persist.HardState
		}
	}
	received := batch[position]
	if err := l.replace(*received.Snapshot, hardState); err != nil {
		return nil, err
	}
	after := &consensus.PersistRequest{Sequence: received.Sequence, Entries: received.Entries}
	return append([]*consensus.PersistRequest{after}, batch[position+1:]...), nil
}

func lastSnapshot(batch []*consensus.PersistRequest) int {
	for i := len(batch) - 1; i >= 0; i-- {
		if batch[i].Snapshot != nil {
			return i
		}
	}
	return -1
}

func anyRecords(batch []*consensus.PersistRequest) bool {
	for _, persist := range batch {
		if persist.HardState != nil || len(persist.Entries) > 0 {
			return true
		}
	}
	return false
}

// replace stores a snapshot that stands for the whole log and voids all segments.
func (l *Log) replace(snapshot consensus.Snapshot, hardState consensus.HardState) error {
	if err := l.writeSnapshot(snapshot, hardState, l.nextSegment); err != nil {
		return err
	}
	l.voidSegments(len(l.sealed), true)
	l.hardState = hardState
	l.last = snapshot.Index
	l.removeFiles()
	return nil
}

// Compact stores a snapshot of the local state machine and removes the segments that hold nothing
// after it. A snapshot that is not newer than the stored one changes nothing.
func (l *Log) Compact(snapshot consensus.Snapshot) error {
	if l.closed {
		return ErrClosed
	}
	if snapshot.Index <= l.snapshot.index {
		return nil
	}
	if snapshot.Index > l.last {
		return l.replace(snapshot, l.hardState)
	}
	covered := 0
	for covered < len(l.sealed) && l.sealed[covered].greatest <= snapshot.Index {
		covered++
	}
	hardState := l.hardState
	if !l.holds(GuardSnapshotVote) {
		hardState = consensus.HardState{}
	}
	if err := l.writeSnapshot(snapshot, hardState, l.sequenceAfter(covered)); err != nil {
		return err
	}
	l.voidSegments(covered, false)
	l.removeFiles()
	return nil
}

// sequenceAfter returns the number of the segment that follows the first covered sealed ones.
func (l *Log) sequenceAfter(covered int) uint64 {
	if covered < len(l.sealed) {
		return l.sealed[covered].sequence
	}
	if l.current != nil {
		return l.current.sequence
	}
	return l.nextSegment
}

// voidSegments marks the first sealed segments, and the current one if asked, for removal.
func (l *Log) voidSegments(count int, withCurrent bool) {
	for _, voided := range l.sealed[:count] {
		l.removable = append(l.removable, voided.name)
	}
	l.sealed = append([]segment(nil), l.sealed[count:]...)
	if !withCurrent || l.current == nil {
		return
	}
	_ = l.current.file.Close() // its content does not count any more
	l.removable = append(l.removable, l.current.name)
	l.current = nil
}

// removeFiles removes what is not needed. What cannot be removed is tried again at the next call,
// and after a restart. The directory is not synced: files that come back are known as void.
func (l *Log) removeFiles() {
	var kept []string
	for _, name := range l.removable {
		err := l.fileSystem.Remove(filepath.Join(l.directory, name))
		if err != nil && !isMissing(err) {
			kept = append(kept, name)
		}
	}
	l.removable = kept
}

// DiskBytes returns the size of the segments and of the snapshot.
func (l *Log) DiskBytes() int64 { return l.LogBytes() + l.snapshot.size }

// LogBytes returns the size of the segments.
func (l *Log) LogBytes() int64 {
	var total int64
	for _, one := range l.sealed {
		total += one.size
	}
	if l.current != nil {
		total += l.current.good
	}
	return total
}

// Close closes the open file. Everything that was reported as durable is.
func (l *Log) Close() error {
	if l.closed || l.current == nil {
		l.closed = true
		return nil
	}
	l.closed = true
	return l.current.file.Close()
}
