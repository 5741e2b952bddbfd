package seglog

import (
	"errors"
	"fmt"
	"path/filepath"

	"ospreybend/coord/consensus"
)

// DefaultSegmentBytes is the size at which a segment is sealed and a new one is started.
const DefaultSegmentBytes = 1 << 20

// Options configures a Log.
type Options struct {
	FileSystem   FileSystem // nil: OSFileSystem
	Directory    string     // used by this log alone; created if it is missing
	SegmentBytes int64      // 0: DefaultSegmentBytes
	OmitGuards   []Guard    // guards that are not enforced; only tests set it
}

// Log is the durable state of one replica group. It is not safe for concurrent use.
type Log struct {
	fileSystem    FileSystem
	directory     string
	segmentBytes  int64
	omittedGuards map[Guard]bool
	closed        bool

	// Files.
	sealed        []segment      // complete and durable, oldest first
	active        *activeSegment // nil: the next write starts a segment
	nextSegment   uint64         // sequence number of the next segment
	snapshot      snapshotFile
	obsoleteFiles []string // names of files to remove

	// State after the last durable record.
	hardState consensus.HardState
	lastIndex uint64 // of the last entry, or of the snapshot
}

// Errors of a log. All others are those of the file system: the call may then be retried with the same requests or with more
// appended, and nothing of it counts as durable until a call succeeds.
var (
	// ErrCorrupt means that a durable file cannot be read. The member's state is lost: it must rejoin the group under a new
	// member ID with an empty directory.
	ErrCorrupt = errors.New("seglog: a durable file is corrupt")
	// ErrClosed means that the log is closed.
	ErrClosed = errors.New("seglog: the log is closed")
)

// FormatError rejects a directory with files of another format version. Nothing in the directory has been changed.
type FormatError struct {
	File             string // name of the file
	Found, Supported uint32 // format versions
}

// Error names the file and both format versions.
func (e FormatError) Error() string {
	return fmt.Sprintf("seglog: %s has format %d, this program reads format %d", e.File, e.Found, e.Supported)
}

// Save makes what the batch requests durable, in order. It syncs once if the batch contains no snapshot and starts no segment.
// After an error any prefix of the batch may be on disk; the caller must save the same requests again, first in the next
// batch.
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

// saveSnapshot stores the last snapshot of the batch, if there is one, with the hard state that is in force after it, and
// returns the requests that follow the snapshot.
func (l *Log) saveSnapshot(batch []*consensus.PersistRequest) ([]*consensus.PersistRequest, error) {
	position := lastSnapshot(batch)
	if position < 0 {
		return batch, nil
	}
	hardState := l.hardState
	for _, request := range batch[:position+1] {
		if request.HardState != nil {
			hardState = *request.HardState
		}
	}
	received := batch[position]
	if err := l.resetToSnapshot(*received.Snapshot, hardState); err != nil {
		return nil, err
	}
	after := &consensus.PersistRequest{Sequence: received.Sequence, Entries: received.Entries}
	return append([]*consensus.PersistRequest{after}, batch[position+1:]...), nil
}

// lastSnapshot returns the position of the last request with a snapshot, or -1.
func lastSnapshot(batch []*consensus.PersistRequest) int {
	for i := len(batch) - 1; i >= 0; i-- {
		if batch[i].Snapshot != nil {
			return i
		}
	}
	return -1
}

// hasRecords reports whether the batch contains anything to write to a segment.
func hasRecords(batch []*consensus.PersistRequest) bool {
	for _, request := range batch {
		if request.HardState != nil || len(request.Entries) > 0 {
			return true
		}
	}
	return false
}

// resetToSnapshot stores a snapshot that replaces the whole log, and discards all segments.
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

// Compact stores a snapshot of the local state machine and removes the segments that contain nothing after it. A snapshot
// that is not newer than the stored one changes nothing.
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

// firstRequiredSegment returns the sequence number of the segment that follows the covered sealed ones.
func (l *Log) firstRequiredSegment(coveredSegments int) uint64 {
	if coveredSegments < len(l.sealed) {
		return l.sealed[coveredSegments].sequence
	}
	if l.active != nil {
		return l.active.sequence
	}
	return l.nextSegment
}

// discardSegments marks the first count sealed segments, and the active one if requested, for removal.
func (l *Log) discardSegments(count int, includeActive bool) {
	for _, discarded := range l.sealed[:count] {
		l.obsoleteFiles = append(l.obsoleteFiles, discarded.name)
	}
	l.sealed = append([]segment(nil), l.sealed[count:]...)
	if !includeActive || l.active == nil {
		return
	}
	_ = l.active.file.Close() // its content is obsolete
	l.obsoleteFiles = append(l.obsoleteFiles, l.active.name)
	l.active = nil
}

// removeObsoleteFiles removes the files that are no longer required. What cannot be removed is retried at the next call and
// after a restart. The directory is not synced: a file that reappears is known to be obsolete.
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
	for _, sealed := range l.sealed {
		total += sealed.size
	}
	if l.active != nil {
		total += l.active.durableBytes
	}
	return total
}

// Close closes the active segment's file. Everything that was reported as durable is durable already.
func (l *Log) Close() error {
	if l.closed || l.active == nil {
		l.closed = true
		return nil
	}
	l.closed = true
	return l.active.file.Close()
}
