package seglog

import (
	"errors"
	"fmt"
	"path/filepath"

	"ospreybend/coord/consensus"
)

// DefaultSegmentBytes is the default of Options.SegmentBytes: a segment of this size or more is sealed, and the next write
// starts a new one.
const DefaultSegmentBytes = 1 << 20

// Options configures a Log.
type Options struct {
	FileSystem   FileSystem // default: OSFileSystem
	Directory    string     // must not be shared with other logs; created if it is missing
	SegmentBytes int64      // default: DefaultSegmentBytes
	OmitGuards   []Guard    // guards that are not enforced; for tests only
}

// Log is the durable state of one replica group. It is not safe for concurrent use.
type Log struct {
	fileSystem    FileSystem
	directory     string
	segmentBytes  int64
	omittedGuards map[Guard]bool
	closed        bool

	// Files.
	sealed        []segment      // complete and durable; oldest first
	active        *activeSegment // nil if the next write starts a segment
	nextSegment   uint64         // sequence number of the next segment
	snapshot      snapshotFile
	obsoleteFiles []string // names of files that remain to be removed

	// State after the last durable record.
	hardState consensus.HardState
	lastIndex uint64 // index of the last entry, or of the snapshot if no entry follows it
}

// Errors of a log besides FormatError. Except for an entry or snapshot that is too long, all other errors come from the
// file system. The call may then be retried with the same requests, optionally followed by more; none of them counts as
// durable until a call succeeds.
var (
	// ErrCorrupt means that a durable file is missing or its content is invalid. The state of the member is lost, so it
	// must rejoin its group under a new member ID and with an empty directory.
	ErrCorrupt = errors.New("seglog: a durable file is corrupt")
	// ErrClosed is returned by calls on a closed log.
	ErrClosed = errors.New("seglog: the log is closed")
)

// FormatError reports a file of an unsupported format version. Nothing in the directory has been changed.
type FormatError struct {
	File             string // name of the file
	Found, Supported uint32 // format versions
}

// Error names the file and both format versions.
func (e FormatError) Error() string {
	return fmt.Sprintf("seglog: %s has format version %d, but this program supports version %d", e.File, e.Found, e.Supported)
}

// Save durably stores the requests of the batch, in order. It syncs once if the batch contains no snapshot and starts no
// new segment. After an error, any prefix of the batch may be on disk, and the next batch must begin with the same
// requests.
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

// saveSnapshot stores the last snapshot of the batch, if any, together with the hard state as of that request. It returns
// what remains to be written: the entries of that request and the requests after it.
func (l *Log) saveSnapshot(batch []*consensus.PersistRequest) ([]*consensus.PersistRequest, error) {
	last := lastSnapshot(batch)
	if last < 0 {
		return batch, nil
	}
	hardState := l.hardState
	for _, request := range batch[:last+1] {
		if request.HardState != nil {
			hardState = *request.HardState
		}
	}
	snapshotRequest := batch[last]
	if err := l.resetToSnapshot(*snapshotRequest.Snapshot, hardState); err != nil {
		return nil, err
	}
	remainder := &consensus.PersistRequest{Sequence: snapshotRequest.Sequence, Entries: snapshotRequest.Entries}
	return append([]*consensus.PersistRequest{remainder}, batch[last+1:]...), nil
}

// lastSnapshot returns the position of the last request with a snapshot, or -1 if there is none.
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

// resetToSnapshot stores a snapshot that replaces the whole log and discards all segments.
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

// Compact stores a snapshot of the local state machine and removes the sealed segments that contain no entry after it. It
// ignores a snapshot that is not newer than the stored one.
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

// firstRequiredSegment returns the sequence number of the first segment after the covered ones, which are the oldest
// coveredSegments sealed segments.
func (l *Log) firstRequiredSegment(coveredSegments int) uint64 {
	if coveredSegments < len(l.sealed) {
		return l.sealed[coveredSegments].sequence
	}
	if l.active != nil {
		return l.active.sequence
	}
	return l.nextSegment
}

// discardSegments marks the oldest count sealed segments, and optionally the active one, for removal.
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

// removeObsoleteFiles removes the files that are no longer required. If that fails for a file, it is tried again at the
// next call and after a restart. The directory need not be synced: recovery recognizes obsolete files that reappear.
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

// DiskBytes returns the total size of the segments and the snapshot.
func (l *Log) DiskBytes() int64 { return l.LogBytes() + l.snapshot.size }

// LogBytes returns the total size of the segments.
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

// Close closes the file of the active segment. It needs no sync: everything reported as durable has been synced.
func (l *Log) Close() error {
	if l.closed || l.active == nil {
		l.closed = true
		return nil
	}
	l.closed = true
	return l.active.file.Close()
}
