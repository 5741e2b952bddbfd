package seglog

import (
	"encoding/binary"
	"hash/crc32"
	"sync"

	"ospreybend/coord/consensus"
)

// FormatVersion is the format of all files that this package writes.
const FormatVersion uint32 = 1

// Kinds of files, the first bytes of each.
const (
	segmentMagic  = "OBSG"
	snapshotMagic = "OBSS"
	memberMagic   = "OBSM"
)

const (
	magicBytes          = 4
	preambleBytes       = magicBytes + 4 + 4            // kind, format number, check value
	segmentHeaderBytes  = preambleBytes + 8 + 8 + 4 + 4 // segment: and number, first index, check values of the segment before and of the header
	recordPrefixBytes   = 4 + 4                         // length of kind and body, check value
	snapshotHeaderBytes = preambleBytes + 8 + 4         // snapshot: and length of the body, check value
	maxRecordBytes      = 1 << 30                       // greatest length of kind and body, bytes
)

// recordKind tells what a record's body holds.
type recordKind byte

const (
	recordEntry recordKind = iota + 1
	recordHardState
)

// castagnoli is made at its first use, like the schemas.
var castagnoli = sync.OnceValue(func() *crc32.Table { return crc32.MakeTable(crc32.Castagnoli) })

func checksum(sum uint32, data []byte) uint32 { return crc32.Update(sum, castagnoli(), data) }

// appendPreamble adds the kind of the file, the format number and the check value of both.
func appendPreamble(data []byte, magic string) []byte {
	start := len(data)
	data = append(data, magic...)
	data = binary.LittleEndian.AppendUint32(data, FormatVersion)
	return binary.LittleEndian.AppendUint32(data, checksum(0, data[start:]))
}

// checkPreamble tells whether the data starts with an undamaged preamble of the kind. One of
// another format gives ErrFormat.
func checkPreamble(name string, data []byte, magic string) (ok bool, err error) {
	if len(data) < preambleBytes || string(data[:magicBytes]) != magic {
		return false, nil
	}
	check := binary.LittleEndian.Uint32(data[preambleBytes-4:])
	if check != checksum(0, data[:preambleBytes-4]) {
		return false, nil
	}
	if found := binary.LittleEndian.Uint32(data[magicBytes:]); found != FormatVersion {
		return false, FormatError{File: name, Found: found, Supported: FormatVersion}
	}
	return true, nil
}

// recordWriter collects the bytes of records. chain is the check value of the last one.
type recordWriter struct {
	data         []byte
	lastChecksum uint32
	err          error // the first one
}

// writeHeader adds a segment's header, whose check value starts the chain.
func (w *recordWriter) writeHeader(sequence, firstIndex uint64, previous uint32) {
	w.data = appendPreamble(w.data, segmentMagic)
	w.data = binary.LittleEndian.AppendUint64(w.data, sequence)
	w.data = binary.LittleEndian.AppendUint64(w.data, firstIndex)
	w.data = binary.LittleEndian.AppendUint32(w.data, previous)
	w.lastChecksum = checksum(0, w.data)
	w.data = binary.LittleEndian.AppendUint32(w.data, w.lastChecksum)
}

func (w *recordWriter) writeEntry(entry *consensus.Entry) {
	body, err := encodeEntry(entry)
	w.writeRecord(recordEntry, body, err)
}

func (w *recordWriter) writeHardState(state consensus.HardState) {
	body, err := encodeHardState(state)
	w.writeRecord(recordHardState, body, err)
}

func (w *recordWriter) writeRecord(kind recordKind, body []byte, err error) {
	if w.err != nil {
		return
	}
	if err == nil && len(body) >= maxRecordBytes {
		err = errRecordTooLong
	}
	if err != nil {
		w.err = err
		return
	}
	start := len(w.data)
	w.data = binary.LittleEndian.AppendUint32(w.data, uint32(1+len(body)))
	w.data = binary.LittleEndian.AppendUint32(w.data, 0) // the check value, known below
	w.data = append(w.data, byte(kind))
	w.data = append(w.data, body...)
	w.lastChecksum = recordChecksum(w.lastChecksum, w.data[start:])
	binary.LittleEndian.PutUint32(w.data[start+4:], w.lastChecksum)
}

// recordChecksum computes a record's check value from the one before it, its length, kind and body.
func recordChecksum(sum uint32, record []byte) uint32 {
	return checksum(checksum(sum, record[:4]), record[recordPrefixBytes:])
}

// recordReader walks through a segment's bytes.
type recordReader struct {
	data             []byte
	offset           int // after the last undamaged record
	lastChecksum     uint32
	previousChecksum uint32 // check value of the last record of the segment before
	firstIndex       uint64 // index of the entry after the last one when the segment was started
}

// newRecordReader checks the header. ok is false if it is missing, damaged or of another segment.
func newRecordReader(data []byte, sequence uint64) (reader *recordReader, ok bool) {
	if len(data) < segmentHeaderBytes {
		return nil, false
	}
	sum := checksum(0, data[:segmentHeaderBytes-4])
	if sum != binary.LittleEndian.Uint32(data[segmentHeaderBytes-4:]) {
		return nil, false
	}
	if binary.LittleEndian.Uint64(data[preambleBytes:]) != sequence {
		return nil, false
	}
	previous := binary.LittleEndian.Uint32(data[segmentHeaderBytes-8:])
	first := binary.LittleEndian.Uint64(data[preambleBytes+8:])
	return &recordReader{data: data, offset: segmentHeaderBytes, lastChecksum: sum, previousChecksum: previous, firstIndex: first}, true
}

// next returns the next record, which counts once accept is called. ok is false at the end of the
// data and at a record that is incomplete or damaged.
func (r *recordReader) next() (kind recordKind, body []byte, ok bool) {
	rest := r.data[r.offset:]
	if len(rest) <= recordPrefixBytes {
		return 0, nil, false
	}
	length := int(binary.LittleEndian.Uint32(rest))
	if length < 1 || length > len(rest)-recordPrefixBytes {
		return 0, nil, false
	}
	record := rest[:recordPrefixBytes+length]
	if recordChecksum(r.lastChecksum, record) != binary.LittleEndian.Uint32(record[4:]) {
		return 0, nil, false
	}
	return recordKind(record[recordPrefixBytes]), record[recordPrefixBytes+1:], true
}

// accept moves behind the record that next returned.
func (r *recordReader) accept() {
	length := int(binary.LittleEndian.Uint32(r.data[r.offset:]))
	r.lastChecksum = binary.LittleEndian.Uint32(r.data[r.offset+4:])
	r.offset += recordPrefixBytes + length
}
