package seglog

import (
	"cmp"
	"fmt"
	"path/filepath"
	"slices"

	"ospreybend/coord/consensus"
)

// Open recovers a directory, makes what it has read durable, and returns that state with the log, ready to be appended to.
// Errors: FormatError, ErrCorrupt and those of the file system; Open may be called again later.
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
	return log, recovery.stored, nil
}

// newLog returns the log of an empty directory.
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

// scannedSegment is a segment's file with its content and what was recovered from it.
type scannedSegment struct {
	segment
	data         []byte
	validBytes   int    // size up to the end of the last valid record
	lastChecksum uint32 // of that record
}

// recovery reads a directory. Nothing on disk changes before makeDurable.
type recovery struct {
	log             *Log
	segments        []scannedSegment // by sequence number
	stored          consensus.PersistedState
	validSegments   int  // how many of the segments are valid, at least in part
	scannedSegments int  // how many of the segments were examined
	gapFound        bool // the last examined segment contains records that do not continue the ones before
}

// read reads the snapshot and the segments, and replays the valid records.
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

// checkComplete rejects a log in which recovery stopped at a segment that others follow, or at one that does not continue the
// ones before it: whatever a segment was started after was durable then, so that something acknowledged is missing.
func (r *recovery) checkComplete() error {
	if !r.log.enforces(GuardAllSegments) || (r.scannedSegments >= len(r.segments) && !r.gapFound) {
		return nil
	}
	return fmt.Errorf("%w: %s, and %s stands behind it",
		ErrCorrupt, segmentName(r.log.nextSegment), r.segments[len(r.segments)-1].name)
}

// readSnapshots reads the newest snapshot and marks older ones for removal. A corrupt one is an error, since its content was
// durable before it got its name.
func (r *recovery) readSnapshots(files []FileInfo) error {
	var found []snapshotFile
	for _, file := range files {
		if file.Name == snapshotTemporaryName {
			r.log.obsoleteFiles = append(r.log.obsoleteFiles, file.Name)
		}
		if index, ok := parseSnapshotName(file.Name); ok {
			found = append(found, snapshotFile{name: file.Name, index: index, size: file.Size})
		}
	}
	if len(found) == 0 {
		return nil
	}
	slices.SortFunc(found, func(a, b snapshotFile) int { return cmp.Compare(b.index, a.index) })
	for _, older := range found[1:] {
		r.log.obsoleteFiles = append(r.log.obsoleteFiles, older.name)
	}
	return r.readSnapshot(found[0])
}

// readSnapshot reads a snapshot as the state that the records are replayed on.
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
	r.stored.Snapshot = snapshot.Snapshot
	r.stored.HardState = snapshot.hardState
	r.log.lastIndex = snapshot.Index
	return nil
}

// readSegments reads all segments and rejects other format versions.
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
		found := scannedSegment{segment: segment{sequence: sequence, name: file.Name, size: int64(len(data))}, data: data}
		r.segments = append(r.segments, found)
	}
	slices.SortFunc(r.segments, func(a, b scannedSegment) int { return cmp.Compare(a.sequence, b.sequence) })
	return nil
}

// skipObsoleteSegments drops the segments that the snapshot replaces.
func (r *recovery) skipObsoleteSegments() {
	if !r.log.enforces(GuardObsoleteSegmentsIgnored) {
		return
	}
	first := r.log.nextSegment // the snapshot's first segment, or 1
	obsolete := 0
	for obsolete < len(r.segments) && r.segments[obsolete].sequence < first {
		r.log.obsoleteFiles = append(r.log.obsoleteFiles, r.segments[obsolete].name)
		obsolete++
	}
	r.segments = r.segments[obsolete:]
}

// replay replays the records up to the first one that is not valid.
func (r *recovery) replay() {
	for i := range r.segments {
		if r.segments[i].sequence != r.log.nextSegment {
			return // the previous segment is missing
		}
		r.scannedSegments = i + 1
		complete := r.replaySegment(&r.segments[i])
		if r.segments[i].validBytes > 0 {
			r.validSegments = i + 1
			r.log.nextSegment++
		}
		if !complete {
			return
		}
	}
}

// replaySegment replays one segment and reports whether all of it is valid.
func (r *recovery) replaySegment(found *scannedSegment) bool {
	reader, ok := newRecordReader(found.data, found.sequence)
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
		if !r.apply(found, kind, body) {
			r.gapFound = true
			break
		}
		reader.accept()
		found.validBytes = reader.offset
		found.lastChecksum = reader.lastChecksum
	}
	return found.validBytes == len(found.data)
}

// continuesPrevious reports whether the previous segment ends with the record that this one was started after, and no entry
// is missing in between.
func (r *recovery) continuesPrevious(reader *recordReader) bool {
	if !r.log.enforces(GuardSegmentOrder) {
		return true
	}
	if reader.firstIndex > r.log.lastIndex+1 {
		return false
	}
	return r.validSegments == 0 || reader.previousChecksum == r.segments[r.validSegments-1].lastChecksum
}

// apply replays one record. It returns false if the record cannot follow those before it.
func (r *recovery) apply(found *scannedSegment, kind recordKind, body []byte) bool {
	switch kind {
	case recordHardState:
		state, err := decodeHardState(body)
		if err != nil {
			return false
		}
		r.stored.HardState = state
		return true
	case recordEntry:
		entry, err := decodeEntry(body)
		if err != nil {
			return false
		}
		return r.applyEntry(found, entry)
	default:
		return false
	}
}

// applyEntry replaces all entries from the entry's index on by the entry.
func (r *recovery) applyEntry(found *scannedSegment, entry consensus.Entry) bool {
	if entry.Index > r.log.lastIndex+1 {
		return false
	}
	found.maxIndex = max(found.maxIndex, entry.Index)
	base := r.stored.Snapshot.Index
	if entry.Index <= base {
		r.stored.Entries = nil
		r.log.lastIndex = base
		return true
	}
	r.stored.Entries = append(r.stored.Entries[:entry.Index-base-1], entry)
	r.log.lastIndex = entry.Index
	return true
}

// adoptHardState limits the commit index to what was recovered, and makes the hard state the log's.
func (r *recovery) adoptHardState() {
	r.stored.HardState.Commit = min(r.stored.HardState.Commit, r.log.lastIndex)
	r.log.hardState = r.stored.HardState
}
