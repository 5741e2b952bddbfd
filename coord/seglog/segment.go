package seglog

import (
	"fmt"
	"path/filepath"
	"strings"

	"ospreybend/coord/consensus"
)

// File names of segments.
const (
	segmentSuffix = ".segment"
	segmentFormat = "%020d" + segmentSuffix // sequence number
)

// segment describes the file of a segment.
type segment struct {
	sequence uint64
	name     string
	size     int64  // in bytes
	maxIndex uint64 // greatest index of its entries, including replaced ones; 0 if it has none
}

// activeSegment is the segment to which records are appended.
type activeSegment struct {
	segment
	file             File
	previousChecksum uint32 // checksum of the last record of the previous segment; 0 if there is none
	durableBytes     int64  // size up to the end of the last durable record; 0 if the header is not durable either
	lastChecksum     uint32 // checksum of the last durable record
	nameSynced       bool   // the directory entry of the segment is durable
	dirty            bool   // there may be data after durableBytes
}

// segmentName returns the file name of the segment with the sequence number.
func segmentName(sequence uint64) string { return fmt.Sprintf(segmentFormat, sequence) }

// parseSegmentName returns the sequence number in the file name of a segment. ok is false if the name is not one of a
// segment.
func parseSegmentName(name string) (sequence uint64, ok bool) {
	if !strings.HasSuffix(name, segmentSuffix) {
		return 0, false
	}
	if _, err := fmt.Sscanf(name, segmentFormat, &sequence); err != nil {
		return 0, false
	}
	return sequence, segmentName(sequence) == name
}

// prepareActiveSegment prepares a write: it truncates leftovers of a failed write, and starts a new segment if there is no
// active one or the active one has reached its size limit.
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

// truncate durably removes any data after the durable records.
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

// startSegment creates the file of a new segment and seals the previous one. The header is written with the first records.
// After an error, the next attempt uses the same sequence number, so that no empty file precedes a valid segment.
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

// sealActiveSegment seals and closes the active segment, which is completely durable, and returns the checksum of its last
// record, or 0 if there is no active segment.
func (l *Log) sealActiveSegment() uint32 {
	if l.active == nil {
		return 0
	}
	_ = l.active.file.Close() // its content is synced
	sealed := l.active.segment
	sealed.size = l.active.durableBytes
	l.sealed = append(l.sealed, sealed)
	sum := l.active.lastChecksum
	l.active = nil
	return sum
}

// appendBatch appends the records of the batch to the active segment, makes them durable, and updates the state of the log.
func (l *Log) appendBatch(batch []*consensus.PersistRequest) error {
	writer := recordWriter{lastChecksum: l.active.lastChecksum}
	if l.active.durableBytes == 0 {
		writer.writeHeader(l.active.sequence, l.lastIndex+1, l.active.previousChecksum)
	}
	state := batchState{hardState: l.hardState, lastIndex: l.lastIndex, maxIndex: l.active.maxIndex}
	for _, request := range batch {
		state.appendRequest(&writer, request)
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

// batchState is the state of the log after the requests of a batch encoded so far. The log adopts it once the batch is
// durable.
type batchState struct {
	hardState consensus.HardState
	lastIndex uint64
	maxIndex  uint64
}

// appendRequest encodes the records of one request and updates the state.
func (s *batchState) appendRequest(writer *recordWriter, request *consensus.PersistRequest) {
	for i := range request.Entries {
		writer.writeEntry(&request.Entries[i])
		s.lastIndex = request.Entries[i].Index
		s.maxIndex = max(s.maxIndex, s.lastIndex)
	}
	if request.HardState != nil {
		writer.writeHardState(*request.HardState)
		s.hardState = *request.HardState
	}
}

// writeDurably appends data to the active segment and syncs the segment, and the directory if the entry of the segment is
// not durable yet. If it returns no error, the data survives a power loss.
func (l *Log) writeDurably(data []byte) error {
	active := l.active
	active.dirty = true
	if _, err := active.file.Write(data); err != nil {
		return err
	}
	if err := active.file.Sync(); err != nil {
		return err
	}
	if !active.nameSynced && l.enforces(GuardSegmentNameSynced) {
		if err := l.fileSystem.SyncDirectory(l.directory); err != nil {
			return err
		}
		active.nameSynced = true
	}
	active.dirty = false
	return nil
}
