package seglog

import (
	"fmt"
	"path/filepath"
	"strings"

	"ospreybend/coord/consensus"
)

const (
	segmentSuffix = ".segment"
	segmentFormat = "%020d" + segmentSuffix // number
)

// segment describes a segment's file.
type segment struct {
	sequence uint64
	name     string
	size     int64  // bytes
	greatest uint64 // greatest index of its entries, replaced ones too; 0: none
}

// appendFile is the segment that is written to.
type appendFile struct {
	segment
	file     File
	previous uint32 // check value of the last record of the segment before this one; 0: none
	good     int64  // bytes that are durable
	chain    uint32 // check value of the last durable record
	named    bool   // its directory entry is durable
	dirty    bool   // there may be something after good
}

func segmentName(sequence uint64) string { return fmt.Sprintf(segmentFormat, sequence) }

// parseSegmentName returns the segment's number.
func parseSegmentName(name string) (sequence uint64, ok bool) {
	if !strings.HasSuffix(name, segmentSuffix) {
		return 0, false
	}
	if _, err := fmt.Sscanf(name, segmentFormat, &sequence); err != nil {
		return 0, false
	}
	return sequence, segmentName(sequence) == name
}

// prepare makes the current segment fit for a write: what a failed write left is cut off, and a
// new segment is started if there is none or if it is full.
func (l *Log) prepare() error {
	if l.current != nil && l.current.dirty && l.holds(GuardFailedWriteCut) {
		if err := l.current.cut(); err != nil {
			return err
		}
	}
	if l.current == nil || l.current.good >= l.segmentBytes {
		return l.startSegment()
	}
	return nil
}

// cut takes off what may stand after the durable records.
func (a *appendFile) cut() error {
	if err := a.file.Truncate(a.good); err != nil {
		return err
	}
	if err := a.file.Sync(); err != nil {
		return err
	}
	a.dirty = false
	return nil
}

// startSegment makes the file of a new segment and seals the one before it. Its header is written
// with the first records. After an error the next try uses the same number, so that no empty file
// stands before a segment that counts.
func (l *Log) startSegment() error {
	sequence := l.nextSegment
	name := segmentName(sequence)
	file, err := l.fileSystem.Create(filepath.Join(l.directory, name))
	if err != nil {
		return err
	}
	l.nextSegment++
	previous := l.seal()
	l.current = &appendFile{segment: segment{sequence: sequence, name: name}, file: file, previous: previous}
	return nil
}

// seal closes the current segment, all of which is durable, and returns its last check value.
func (l *Log) seal() uint32 {
	if l.current == nil {
		return 0
	}
	_ = l.current.file.Close() // synced before
	sealed := l.current.segment
	sealed.size = l.current.good
	l.sealed = append(l.sealed, sealed)
	chain := l.current.chain
	l.current = nil
	return chain
}

// appendBatch writes the records of the batch to the current segment and syncs it.
func (l *Log) appendBatch(batch []*consensus.PersistRequest) error {
	writer := recordWriter{chain: l.current.chain}
	if l.current.good == 0 {
		writer.header(l.current.sequence, l.last+1, l.current.previous)
	}
	state := batchState{hardState: l.hardState, last: l.last, greatest: l.current.greatest}
	for _, persist := range batch {
		state.add(&writer, persist)
	}
	if writer.err != nil {
		return writer.err
	}
	if err := l.writeDurably(writer.data); err != nil {
		return err
	}
	l.current.good += int64(len(writer.data))
	l.current.chain = writer.chain
	l.current.greatest = state.greatest
	l.hardState = state.hardState
	l.last = state.last
	return nil
}

// batchState follows what the records of a batch change.
type batchState struct {
	hardState consensus.HardState
	last      uint64
	greatest  uint64
}

func (s *batchState) add(writer *recordWriter, persist *consensus.PersistRequest) {
	for i := range persist.Entries {
		writer.entry(&persist.Entries[i])
		s.last = persist.Entries[i].Index
		s.greatest = max(s.greatest, s.last)
	}
	if persist.HardState != nil {
		writer.hardState(*persist.HardState)
		s.hardState = *persist.HardState
	}
}

// writeDurably appends data to the current segment, and its name to the directory if it is new.
func (l *Log) writeDurably(data []byte) error {
	current := l.current
	current.dirty = true
	if _, err := current.file.Write(data); err != nil {
		return err
	}
	if err := current.file.Sync(); err != nil {
		return err
	}
	if !current.named && l.holds(GuardNameSynced) {
		if err := l.fileSystem.SyncDirectory(l.directory); err != nil {
			return err
		}
		current.named = true
	}
	current.dirty = false
	return nil
}
