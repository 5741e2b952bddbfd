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
	maxIndex uint64 // greatest index of its entries, replaced ones too; 0: none
}

// activeSegment is the segment that is written to.
type activeSegment struct {
	segment
	file             File
	previousChecksum uint32 // check value of the last record of the segment before this one; 0: none
	durableBytes     int64  // bytes that are durable
	lastChecksum     uint32 // check value of the last durable record
	nameSynced       bool   // its directory entry is durable
	dirty            bool   // there may be something after good
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

// prepareActiveSegment makes the current segment fit for a write: what a failed write left is cut off, and a
// new segment is started if there is none or if it is full.
func (l *Log) prepareActiveSegment() error {
	if l.active != nil && l.active.dirty && l.enforces(GuardFailedWriteTruncated) {
		if err := l.active.truncate(); err != nil {
			return err
		}
	}
	if l.active == nil || l.active.durableBytes >= l.segmentBytes {
		return l.startSegment()
	}
	return nil
}

// truncate takes off what may stand after the durable records.
func (a *activeSegment) truncate() error {
	if err := a.file.Truncate(a.durableBytes); err != nil {
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
	previous := l.sealActiveSegment()
	l.active = &activeSegment{segment: segment{sequence: sequence, name: name}, file: file, previousChecksum: previous}
	return nil
}

// sealActiveSegment closes the current segment, all of which is durable, and returns its last check value.
func (l *Log) sealActiveSegment() uint32 {
	if l.active == nil {
		return 0
	}
	_ = l.active.file.Close() // synced before
	sealed := l.active.segment
	sealed.size = l.active.durableBytes
	l.sealed = append(l.sealed, sealed)
	sum := l.active.lastChecksum
	l.active = nil
	return sum
}

// appendBatch writes the records of the batch to the current segment and syncs it.
func (l *Log) appendBatch(batch []*consensus.PersistRequest) error {
	writer := recordWriter{lastChecksum: l.active.lastChecksum}
	if l.active.durableBytes == 0 {
		writer.writeHeader(l.active.sequence, l.lastIndex+1, l.active.previousChecksum)
	}
	state := batchState{hardState: l.hardState, lastIndex: l.lastIndex, maxIndex: l.active.maxIndex}
	for _, persist := range batch {
		state.add(&writer, persist)
	}
	if writer.err != nil {
		return writer.err
	}
	if err := l.writeDurably(writer.data); err != nil {
		return err
	}
	l.active.durableBytes += int64(len(writer.data))
	l.active.lastChecksum = writer.lastChecksum
	l.active.maxIndex = state.maxIndex
	l.hardState = state.hardState
	l.lastIndex = state.lastIndex
	return nil
}

// batchState follows what the records of a batch change.
type batchState struct {
	hardState consensus.HardState
	lastIndex uint64
	maxIndex  uint64
}

func (s *batchState) add(writer *recordWriter, persist *consensus.PersistRequest) {
	for i := range persist.Entries {
		writer.writeEntry(&persist.Entries[i])
		s.lastIndex = persist.Entries[i].Index
		s.maxIndex = max(s.maxIndex, s.lastIndex)
	}
	if persist.HardState != nil {
		writer.writeHardState(*persist.HardState)
		s.hardState = *persist.HardState
	}
}

// writeDurably appends data to the current segment, and its name to the directory if it is new.
func (l *Log) writeDurably(data []byte) error {
	current := l.active
	current.dirty = true
	if _, err := current.file.Write(data); err != nil {
		return err
	}
	if err := current.file.Sync(); err != nil {
		return err
	}
	if !current.nameSynced && l.enforces(GuardSegmentNameSynced) {
		if err := l.fileSystem.SyncDirectory(l.directory); err != nil {
			return err
		}
		current.nameSynced = true
	}
	current.dirty = false
	return nil
}
