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
	log.omitted = make(map[Guard]bool, len(options.Omit))
	for _, guard := range options.Omit {
		log.omitted[guard] = true
	}
	return log
}

// foundSegment is a segment's file with what was read from it.
type foundSegment struct {
	segment
	data  []byte
	good  int    // bytes up to the end of the last record that counts
	chain uint32 // check value of that record
}

// recovery reads a directory. Nothing on disk changes before makeDurable.
type recovery struct {
	log      *Log
	segments []foundSegment // in order of their numbers
	stored   consensus.PersistedState
	kept     int  // segments that count
	stopped  int  // first segment behind those that were looked at
	severed  bool // the last one looked at has what was written behind more than there is
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
	r.voidOldSegments()
	r.replay()
	if err := r.checkComplete(); err != nil {
		return err
	}
	r.finish()
	return nil
}

// checkComplete refuses a log in which a segment stands behind the place where recovery has stopped, was started behind
// more than the one before it holds, or has a whole record that cannot follow: all that it follows was durable when it
// was made, so that what is missing was promised once.
func (r *recovery) checkComplete() error {
	if !r.log.holds(GuardAllSegments) || (r.stopped >= len(r.segments) && !r.severed) {
		return nil
	}
	return fmt.Errorf("%w: %s, and %s stands behind it",
		ErrDamaged, segmentName(r.log.nextSegment), r.segments[len(r.segments)-1].name)
}

// readSnapshots takes the newest snapshot. A damaged one is an error: it was durable before it got
// its name.
func (r *recovery) readSnapshots(files []FileInfo) error {
	var found []snapshotFile
	for _, file := range files {
		if file.Name == snapshotTemporary {
			r.log.removable = append(r.log.removable, file.Name)
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
		r.log.removable = append(r.log.removable, older.name)
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
	r.log.last = snapshot.Index
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
		found := foundSegment{segment: segment{sequence: sequence, name: file.Name, size: int64(len(data))}, data: data}
		r.segments = append(r.segments, found)
	}
	slices.SortFunc(r.segments, func(a, b foundSegment) int { return cmp.Compare(a.sequence, b.sequence) })
	return nil
}

// voidOldSegments leaves out the segments that the snapshot makes void.
func (r *recovery) voidOldSegments() {
	if !r.log.holds(GuardSegmentsVoid) {
		return
	}
	first := r.log.nextSegment // the snapshot's first segment, or 1
	void := 0
	for void < len(r.segments) && r.segments[void].sequence < first {
		r.log.removable = append(r.log.removable, r.segments[void].name)
		void++
	}
	r.segments = r.segments[void:]
}

// replay reads the records up to the first one that cannot be relied on.
func (r *recovery) replay() {
	for i := range r.segments {
		if r.segments[i].sequence != r.log.nextSegment {
			return // the one before it is missing
		}
		r.stopped = i + 1
		complete := r.replaySegment(&r.segments[i])
		if r.segments[i].good > 0 {
			r.kept = i + 1
			r.log.nextSegment++
		}
		if !complete {
			return
		}
	}
}

// replaySegment tells whether all of the segment counts.
func (r *recovery) replaySegment(found *foundSegment) bool {
	reader, ok := newRecordReader(found.data, found.sequence)
	if !ok {
		return false
	}
	if !r.follows(reader) {
		r.severed = true
		return false
	}
	for {
		kind, body, ok := reader.next()
		if !ok {
			break
		}
		if !r.apply(found, kind, body) {
			r.severed = true
			break
		}
		reader.accept()
		found.good = reader.offset
		found.chain = reader.chain
	}
	return found.good == len(found.data)
}

// follows tells whether the segment before ended as it did when this one was started, and nothing is missing in between.
func (r *recovery) follows(reader *recordReader) bool {
	if reader.first > r.log.last+1 && r.log.holds(GuardSegmentOrder) {
		return false
	}
	return r.kept == 0 || reader.previous == r.segments[r.kept-1].chain || !r.log.holds(GuardSegmentOrder)
}

// apply takes one record. It returns false for one that cannot follow those before it.
func (r *recovery) apply(found *foundSegment, kind recordKind, body []byte) bool {
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
func (r *recovery) applyEntry(found *foundSegment, entry consensus.Entry) bool {
	if entry.Index > r.log.last+1 {
		return false
	}
	found.greatest = max(found.greatest, entry.Index)
	base := r.stored.Snapshot.Index
	if entry.Index <= base {
		r.stored.Entries = nil
		r.log.last = base
		return true
	}
	r.stored.Entries = append(r.stored.Entries[:entry.Index-base-1], entry)
	r.log.last = entry.Index
	return true
}

func (r *recovery) finish() {
	r.stored.HardState.Commit = min(r.stored.HardState.Commit, r.log.last)
	r.log.hardState = r.stored.HardState
}

// makeDurable cuts off and removes what does not count and syncs the rest: a process that was
// killed may have left records that it had not synced. It must succeed before the log is written.
func (r *recovery) makeDurable() error {
	if !r.log.holds(GuardRecoverySynced) {
		return r.openLast()
	}
	if err := r.removeDropped(); err != nil {
		return err
	}
	if err := r.openLast(); err != nil {
		return err
	}
	if err := r.log.fileSystem.SyncDirectory(r.log.directory); err != nil {
		r.log.Close()
		return err
	}
	r.log.removeFiles()
	return nil
}

// removeDropped removes the segments after the cut. Those that come back before the directory is
// synced do not follow the one that was cut, and so never count again.
func (r *recovery) removeDropped() error {
	for _, dropped := range r.segments[r.kept:] {
		if err := r.log.fileSystem.Remove(filepath.Join(r.log.directory, dropped.name)); err != nil {
			return err
		}
	}
	return nil
}

// openLast opens the last segment that counts for writes, and seals those before it.
func (r *recovery) openLast() error {
	if r.kept == 0 {
		return nil
	}
	last := r.segments[r.kept-1]
	file, err := r.log.fileSystem.OpenAppend(filepath.Join(r.log.directory, last.name))
	if err != nil {
		return err
	}
	current := &appendFile{segment: last.segment, file: file, good: int64(last.good), chain: last.chain, named: true}
	if err := r.cutLast(current); err != nil {
		_ = file.Close() // nothing was written
		return err
	}
	for _, sealed := range r.segments[:r.kept-1] {
		r.log.sealed = append(r.log.sealed, sealed.segment)
	}
	r.log.current = current
	return nil
}

// cutLast takes off what does not count in the last segment and makes the rest durable.
func (r *recovery) cutLast(last *appendFile) error {
	if !r.log.holds(GuardRecoverySynced) {
		return nil
	}
	return last.cut()
}
