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
	OmitGuards   []Guard    // guards left out, by tests alone
}

// Log is the durable state of one group. Its methods must not be called at the same time.
type Log struct {
	fileSystem   FileSystem
	directory    string
	segmentBytes int64

	sealed        []segment      // oldest first, all synced
	active        *activeSegment // nil: the next write starts a segment
	nextSegment   uint64         // number of the next segment
	snapshot      snapshotFile
	hardState     consensus.HardState
	lastIndex     uint64   // index of the last entry, or of the snapshot
	obsoleteFiles []string // names of files that are not needed, to be removed
	closed        bool
	omittedGuards map[Guard]bool
}

// Errors of a log. Other errors are those of the file system: the call may then be made again with
// the same arguments or with more, and nothing of it counts as durable until a call succeeds.
var (
	// ErrCorrupt: a file that was durable cannot be read. The member's state is lost: it must come
	// back under a new member ID with an empty directory.
	ErrCorrupt = errors.New("seglog: a durable file is damaged")
	ErrClosed  = errors.New("seglog: the log is closed")
)

// FormatError refuses a directory with files of another format. Nothing in it has been changed.
type FormatError struct {
	File             string
	Found, Supported uint32
}

func (e FormatError) Error() string {
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
	if !hasRecords(rest) {
		return nil
	}
	if err := l.prepareActiveSegment(); err != nil {
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
	if err := l.resetToSnapshot(*received.Snapshot, hardState); err != nil {
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

func hasRecords(batch []*consensus.PersistRequest) bool {
	for _, persist := range batch {
		if persist.HardState != nil || len(persist.Entries) > 0 {
			return true
		}
	}
	return false
}

// resetToSnapshot stores a snapshot that stands for the whole log and voids all segments.
func (l *Log) resetToSnapshot(snapshot consensus.Snapshot, hardState consensus.HardState) error {
	if err := l.writeSnapshot(snapshot, hardState, l.nextSegment); err != nil {
		return err
	}
	l.discardSegments(len(l.sealed), true)
	l.hardState = hardState
	l.lastIndex = snapshot.Index
	l.removeObsoleteFiles()
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
	if snapshot.Index > l.lastIndex {
		return l.resetToSnapshot(snapshot, l.hardState)
	}
	coveredSegments := 0
	for coveredSegments < len(l.sealed) && l.sealed[coveredSegments].maxIndex <= snapshot.Index {
		coveredSegments++
	}
	hardState := l.hardState
	if !l.enforces(GuardSnapshotHardState) {
		hardState = consensus.HardState{}
	}
	if err := l.writeSnapshot(snapshot, hardState, l.firstRequiredSegment(coveredSegments)); err != nil {
		return err
	}
	l.discardSegments(coveredSegments, false)
	l.removeObsoleteFiles()
	return nil
}

// firstRequiredSegment returns the number of the segment that follows the first covered sealed ones.
func (l *Log) firstRequiredSegment(coveredSegments int) uint64 {
	if coveredSegments < len(l.sealed) {
		return l.sealed[coveredSegments].sequence
	}
	if l.active != nil {
		return l.active.sequence
	}
	return l.nextSegment
}

// discardSegments marks the first sealed segments, and the current one if asked, for removal.
func (l *Log) discardSegments(count int, includeActive bool) {
	for _, discarded := range l.sealed[:count] {
		l.obsoleteFiles = append(l.obsoleteFiles, discarded.name)
	}
	l.sealed = append([]segment(nil), l.sealed[count:]...)
	if !includeActive || l.active == nil {
		return
	}
	_ = l.active.file.Close() // its content does not count any more
	l.obsoleteFiles = append(l.obsoleteFiles, l.active.name)
	l.active = nil
}

// removeObsoleteFiles removes what is not needed. What cannot be removed is tried again at the next call,
// and after a restart. The directory is not synced: files that come back are known as void.
func (l *Log) removeObsoleteFiles() {
	var remaining []string
	for _, name := range l.obsoleteFiles {
		err := l.fileSystem.Remove(filepath.Join(l.directory, name))
		if err != nil && !isNotExist(err) {
			remaining = append(remaining, name)
		}
	}
	l.obsoleteFiles = remaining
}

// DiskBytes returns the size of the segments and of the snapshot.
func (l *Log) DiskBytes() int64 { return l.LogBytes() + l.snapshot.size }

// LogBytes returns the size of the segments.
func (l *Log) LogBytes() int64 {
	var total int64
	for _, one := range l.sealed {
		total += one.size
	}
	if l.active != nil {
		total += l.active.durableBytes
	}
	return total
}

// Close closes the open file. Everything that was reported as durable is.
func (l *Log) Close() error {
	if l.closed || l.active == nil {
		l.closed = true
		return nil
	}
	l.closed = true
	return l.active.file.Close()
}
