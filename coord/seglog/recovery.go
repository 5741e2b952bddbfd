package seglog

import (
	"cmp"
	"fmt"
	"path/filepath"
	"slices"

	"ospreybend/coord/consensus"
)

// Open recovers the log in a directory, makes the recovered state durable, and returns both; the log is ready for Save.
// Errors are FormatError, ErrCorrupt and those of the file system. Open may be called again after an error.
func Open(options Options) (*Log, consensus.PersistedState, error) {
	log := newLog(options)
	if err := log.fileSystem.MakeDirectory(log.directory); err != nil {
		return nil, consensus.PersistedState{}, err
	}
	recovery := recovery{log: log}
	if err := recovery.read(); err != nil {
		return nil, consensus.PersistedState{}, err
	}
	if err := recovery.makeDurable(); err != nil {
		return nil, consensus.PersistedState{}, err
	}
	return log, recovery.state, nil
}

// newLog returns a log with the options and without any files.
func newLog(options Options) *Log {
	log := &Log{
		fileSystem:   options.FileSystem,
		directory:    options.Directory,
		segmentBytes: options.SegmentBytes,
		nextSegment:  1,
	}
	if log.fileSystem == nil {
		log.fileSystem = OSFileSystem{}
	}
	if log.segmentBytes == 0 {
		log.segmentBytes = DefaultSegmentBytes
	}
	log.omittedGuards = make(map[Guard]bool, len(options.OmitGuards))
	for _, guard := range options.OmitGuards {
		log.omittedGuards[guard] = true
	}
	return log
}

// scannedSegment is a segment that recovery has read.
type scannedSegment struct {
	segment
	data         []byte
	validBytes   int    // size up to the end of the last valid record; 0: no valid record
	lastChecksum uint32 // checksum of that record
}

// recovery recovers a log from its directory. It changes nothing on disk before makeDurable.
type recovery struct {
	log          *Log
	segments     []scannedSegment // sorted by sequence number
	state        consensus.PersistedState
	validCount   int  // number of leading segments with at least one valid record
	scannedCount int  // number of leading segments that replay has examined
	gapFound     bool // replay stopped at a segment or record that does not continue the records before it
}

// read reads the snapshot and the segments, replays the valid records, and rejects an incomplete log.
func (r *recovery) read() error {
	files, err := r.log.fileSystem.List(r.log.directory)
	if err != nil {
		return err
	}
	if err := r.readSnapshots(files); err != nil {
		return err
	}
	if err := r.readSegments(files); err != nil {
		return err
	}
	r.skipObsoleteSegments()
	r.replay()
	if err := r.checkComplete(); err != nil {
		return err
	}
	r.adoptHardState()
	return nil
}

// checkComplete rejects a log whose replay stopped at a segment that others follow, or at one that does not continue those
// before it. All records that precede a segment were durable when it was started, so acknowledged records are missing.
func (r *recovery) checkComplete() error {
	if !r.log.enforces(GuardIncompleteLogRejected) || (r.scannedCount >= len(r.segments) && !r.gapFound) {
		return nil
	}
	return fmt.Errorf("%w: the log cannot be continued with %s, and the last segment found is %s",
		ErrCorrupt, segmentName(r.log.nextSegment), r.segments[len(r.segments)-1].name)
}

// readSnapshots reads the newest snapshot and marks older and temporary ones for removal. It is an error if the newest one
// is corrupt, since the content of a snapshot is durable before it gets its final name.
func (r *recovery) readSnapshots(files []FileInfo) error {
	var snapshots []snapshotFile
	for _, file := range files {
		if file.Name == snapshotTemporaryName {
			r.log.obsoleteFiles = append(r.log.obsoleteFiles, file.Name)
		}
		if index, ok := parseSnapshotName(file.Name); ok {
			snapshots = append(snapshots, snapshotFile{name: file.Name, index: index, size: file.Size})
		}
	}
	if len(snapshots) == 0 {
		return nil
	}
	slices.SortFunc(snapshots, func(a, b snapshotFile) int { return cmp.Compare(b.index, a.index) })
	for _, older := range snapshots[1:] {
		r.log.obsoleteFiles = append(r.log.obsoleteFiles, older.name)
	}
	return r.readSnapshot(snapshots[0])
}

// readSnapshot reads the snapshot to which the records are applied.
func (r *recovery) readSnapshot(file snapshotFile) error {
	data, err := r.log.fileSystem.ReadFile(filepath.Join(r.log.directory, file.name))
	if err != nil {
		return err
	}
	snapshot, err := decodeSnapshot(file.name, data)
	if err != nil {
		return err
	}
	r.log.snapshot = file
	r.log.nextSegment = max(r.log.nextSegment, snapshot.firstSegment)
	r.state.Snapshot = snapshot.Snapshot
	r.state.HardState = snapshot.hardState
	r.log.lastIndex = snapshot.Index
	return nil
}

// readSegments reads the content of all segments and rejects other format versions.
func (r *recovery) readSegments(files []FileInfo) error {
	for _, file := range files {
		sequence, ok := parseSegmentName(file.Name)
		if !ok {
			continue
		}
		data, err := r.log.fileSystem.ReadFile(filepath.Join(r.log.directory, file.Name))
		if err != nil {
			return err
		}
		if _, err := checkPreamble(file.Name, data, segmentMagic); err != nil {
			return err
		}
		scanned := scannedSegment{segment: segment{sequence: sequence, name: file.Name, size: int64(len(data))}, data: data}
		r.segments = append(r.segments, scanned)
	}
	slices.SortFunc(r.segments, func(a, b scannedSegment) int { return cmp.Compare(a.sequence, b.sequence) })
	return nil
}

// skipObsoleteSegments skips the segments that the snapshot has replaced and marks them for removal.
func (r *recovery) skipObsoleteSegments() {
	if !r.log.enforces(GuardObsoleteSegmentsIgnored) {
		return
	}
	first := r.log.nextSegment // first segment that the snapshot requires; 1 without a snapshot
	obsolete := 0
	for obsolete < len(r.segments) && r.segments[obsolete].sequence < first {
		r.log.obsoleteFiles = append(r.log.obsoleteFiles, r.segments[obsolete].name)
		obsolete++
	}
	r.segments = r.segments[obsolete:]
}

// replay replays all records before the first invalid one.
func (r *recovery) replay() {
	for i := range r.segments {
		if r.segments[i].sequence != r.log.nextSegment {
			return // at least one segment is missing
		}
		r.scannedCount = i + 1
		complete := r.replaySegment(&r.segments[i])
		if r.segments[i].validBytes > 0 {
			r.validCount = i + 1
			r.log.nextSegment++
		}
		if !complete {
			return
		}
	}
}

// replaySegment replays the valid records at the beginning of a segment and reports whether they are all of its content.
func (r *recovery) replaySegment(scanned *scannedSegment) bool {
	reader, ok := newRecordReader(scanned.data, scanned.sequence)
	if !ok {
		return false
	}
	if !r.continuesPrevious(reader) {
		r.gapFound = true
		return false
	}
	for {
		kind, body, ok := reader.next()
		if !ok {
			break
		}
		if !r.apply(scanned, kind, body) {
			r.gapFound = true
			break
		}
		reader.accept()
		scanned.validBytes = reader.offset
		scanned.lastChecksum = reader.lastChecksum
	}
	return scanned.validBytes == len(scanned.data)
}

// continuesPrevious reports whether the previous segment ends with the record after which this segment was started, and no
// entry is missing between them.
func (r *recovery) continuesPrevious(reader *recordReader) bool {
	if !r.log.enforces(GuardSegmentContinuity) {
		return true
	}
	if reader.firstIndex > r.log.lastIndex+1 {
		return false
	}
	return r.validCount == 0 || reader.previousChecksum == r.segments[r.validCount-1].lastChecksum
}

// apply replays one record. It returns false if the record cannot be decoded or cannot follow the records before it.
func (r *recovery) apply(scanned *scannedSegment, kind recordKind, body []byte) bool {
	switch kind {
	case recordHardState:
		state, err := decodeHardState(body)
		if err != nil {
			return false
		}
		r.state.HardState = state
		return true
	case recordEntry:
		entry, err := decodeEntry(body)
		if err != nil {
			return false
		}
		return r.applyEntry(scanned, entry)
	default:
		return false
	}
}

// applyEntry replaces all entries from the index of the entry on by the entry. It returns false if an entry before it is
// missing.
func (r *recovery) applyEntry(scanned *scannedSegment, entry consensus.Entry) bool {
	if entry.Index > r.log.lastIndex+1 {
		return false
	}
	scanned.maxIndex = max(scanned.maxIndex, entry.Index)
	base := r.state.Snapshot.Index
	if entry.Index <= base {
		r.state.Entries = nil
		r.log.lastIndex = base
		return true
	}
	r.state.Entries = append(r.state.Entries[:entry.Index-base-1], entry)
	r.log.lastIndex = entry.Index
	return true
}

// adoptHardState limits the commit index to the recovered entries and sets the hard state of the log.
func (r *recovery) adoptHardState() {
	r.state.HardState.Commit = min(r.state.HardState.Commit, r.log.lastIndex)
	r.log.hardState = r.state.HardState
}
