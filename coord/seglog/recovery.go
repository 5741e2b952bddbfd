package seglog

import (
	"cmp"
	"fmt"
	"path/filepath"
	"slices"

	"ospreybend/coord/consensus"
)

// Open reads a directory back, makes what it read durable and returns it with the log, ready to be
// appended to. Errors: ErrFormat, ErrDamaged and those of the file system; the directory may then
// be opened again later.
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

// scannedSegment is a segment's file with what was read from it.
type scannedSegment struct {
	segment
	data         []byte
	validBytes   int    // bytes up to the end of the last record that counts
	lastChecksum uint32 // check value of that record
}

// recovery reads a directory. Nothing on disk changes before makeDurable.
type recovery struct {
	log             *Log
	segments        []scannedSegment // in order of their numbers
	stored          consensus.PersistedState
	validSegments   int  // segments that count
	scannedSegments int  // first segment behind those that were looked at
	gapFound        bool // the last one looked at has what was written behind more than there is
}

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

// checkComplete refuses a log in which a segment stands behind the place where recovery has stopped, was started behind
// more than the one before it holds, or has a whole record that cannot follow: all that it follows was durable when it
// was made, so that what is missing was promised once.
func (r *recovery) checkComplete() error {
	if !r.log.enforces(GuardAllSegments) || (r.scannedSegments >= len(r.segments) && !r.gapFound) {
		return nil
	}
	return fmt.Errorf("%w: %s, and %s stands behind it",
		ErrCorrupt, segmentName(r.log.nextSegment), r.segments[len(r.segments)-1].name)
}

// readSnapshots takes the newest snapshot. A damaged one is an error: it was durable before it got
// its name.
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

// readSegments reads all segments and refuses other formats.
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

// skipObsoleteSegments leaves out the segments that the snapshot makes void.
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

// replay reads the records up to the first one that cannot be relied on.
func (r *recovery) replay() {
	for i := range r.segments {
		if r.segments[i].sequence != r.log.nextSegment {
			return // the one before it is missing
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

// replaySegment tells whether all of the segment counts.
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

// continuesPrevious tells whether the segment before ended as it did when this one was started, and nothing is missing in between.
func (r *recovery) continuesPrevious(reader *recordReader) bool {
	if reader.firstIndex > r.log.lastIndex+1 && r.log.enforces(GuardSegmentOrder) {
		return false
	}
	return r.validSegments == 0 || reader.previousChecksum == r.segments[r.validSegments-1].lastChecksum || !r.log.enforces(GuardSegmentOrder)
}

// apply takes one record. It returns false for one that cannot follow those before it.
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

// applyEntry replaces all entries from the entry's index on by it.
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

func (r *recovery) adoptHardState() {
	r.stored.HardState.Commit = min(r.stored.HardState.Commit, r.log.lastIndex)
	r.log.hardState = r.stored.HardState
}

// makeDurable cuts off and removes what does not count and syncs the rest: a process that was
// killed may have left records that it had not synced. It must succeed before the log is written.
func (r *recovery) makeDurable() error {
	if !r.log.enforces(GuardRecoverySynced) {
		return r.openActiveSegment()
	}
	if err := r.removeInvalidSegments(); err != nil {
		return err
	}
	if err := r.openActiveSegment(); err != nil {
		return err
	}
	if err := r.log.fileSystem.SyncDirectory(r.log.directory); err != nil {
		r.log.Close()
		return err
	}
	r.log.removeObsoleteFiles()
	return nil
}

// removeInvalidSegments removes the segments after the cut. Those that come back before the directory is
// synced do not follow the one that was cut, and so never count again.
func (r *recovery) removeInvalidSegments() error {
	for _, dropped := range r.segments[r.validSegments:] {
		if err := r.log.fileSystem.Remove(filepath.Join(r.log.directory, dropped.name)); err != nil {
			return err
		}
	}
	return nil
}

// openActiveSegment opens the last segment that counts for writes, and seals those before it.
func (r *recovery) openActiveSegment() error {
	if r.validSegments == 0 {
		return nil
	}
	last := r.segments[r.validSegments-1]
	file, err := r.log.fileSystem.OpenAppend(filepath.Join(r.log.directory, last.name))
	if err != nil {
		return err
	}
	current := &activeSegment{segment: last.segment, file: file, durableBytes: int64(last.validBytes), lastChecksum: last.lastChecksum, nameSynced: true}
	if err := r.truncateInvalidTail(current); err != nil {
		_ = file.Close() // nothing was written
		return err
	}
	for _, sealed := range r.segments[:r.validSegments-1] {
		r.log.sealed = append(r.log.sealed, sealed.segment)
	}
	r.log.active = current
	return nil
}

// truncateInvalidTail takes off what does not count in the last segment and makes the rest durable.
func (r *recovery) truncateInvalidTail(last *activeSegment) error {
	if !r.log.enforces(GuardRecoverySynced) {
		return nil
	}
	return last.truncate()
}
