package seglog

import (
	"encoding/binary"
	"hash/crc32"
	"sync"

	"ospreybend/coord/consensus"
)

// FormatVersion is the version of the format of all files that this package writes.
const FormatVersion uint32 = 1

// Magic numbers: the first bytes of each kind of file.
const (
	segmentMagic  = "OBSG"
	snapshotMagic = "OBSS"
	memberMagic   = "OBSM"
)

// Sizes and offsets in bytes. All integers are little-endian.
const (
	magicBytes        = 4
	versionBytes      = 4
	checksumBytes     = 4 // CRC-32C
	numberBytes       = 8 // sequence number, index, length of a snapshot or member ID
	recordLengthBytes = 4

	// Preamble of each file: magic number, format version, checksum of both.
	preambleChecksumOffset = magicBytes + versionBytes
	preambleBytes          = preambleChecksumOffset + checksumBytes

	// Header of a segment: preamble, sequence number, index after the last entry when the segment was started, checksum of the
	// last record of the previous segment, checksum of the header.
	firstIndexOffset       = preambleBytes + numberBytes
	previousChecksumOffset = firstIndexOffset + numberBytes
	headerChecksumOffset   = previousChecksumOffset + checksumBytes
	segmentHeaderBytes     = headerChecksumOffset + checksumBytes

	// Prefix of a record: length of kind and body, checksum. Kind and body follow.
	recordChecksumOffset = recordLengthBytes
	recordPrefixBytes    = recordChecksumOffset + checksumBytes
	maxRecordBytes       = 1 << 30 // bound of the length of kind and body

	// Header of a snapshot: preamble, length of the body, checksum. The body follows.
	snapshotChecksumOffset = preambleBytes + numberBytes
	snapshotHeaderBytes    = snapshotChecksumOffset + checksumBytes
)

// recordKind determines what the body of a record contains. Its values are stored.
type recordKind byte

const (
	recordEntry recordKind = iota + 1
	recordHardState
)

// castagnoli is the table of CRC-32C, made at its first use like the schemas.
var castagnoli = sync.OnceValue(func() *crc32.Table { return crc32.MakeTable(crc32.Castagnoli) })

// checksum continues a CRC-32C with more data; 0 starts one.
func checksum(sum uint32, data []byte) uint32 { return crc32.Update(sum, castagnoli(), data) }

// appendPreamble appends the magic number, the format version and the checksum of both.
func appendPreamble(data []byte, magic string) []byte {
	start := len(data)
	data = append(data, magic...)
	data = binary.LittleEndian.AppendUint32(data, FormatVersion)
	return binary.LittleEndian.AppendUint32(data, checksum(0, data[start:]))
}

// checkPreamble reports whether the data starts with an intact preamble with the magic number. An intact one with another
// format version gives a FormatError.
func checkPreamble(name string, data []byte, magic string) (ok bool, err error) {
	if len(data) < preambleBytes || string(data[:magicBytes]) != magic {
		return false, nil
	}
	check := binary.LittleEndian.Uint32(data[preambleChecksumOffset:])
	if check != checksum(0, data[:preambleChecksumOffset]) {
		return false, nil
	}
	if found := binary.LittleEndian.Uint32(data[magicBytes:]); found != FormatVersion {
		return false, FormatError{File: name, Found: found, Supported: FormatVersion}
	}
	return true, nil
}

// recordWriter encodes records to a buffer. lastChecksum is the checksum of the last one.
type recordWriter struct {
	data         []byte
	lastChecksum uint32
	err          error // the first error; later calls do nothing
}

// writeHeader appends a segment's header. Its checksum starts the chain of the records' checksums.
func (w *recordWriter) writeHeader(sequence, firstIndex uint64, previous uint32) {
	w.data = appendPreamble(w.data, segmentMagic)
	w.data = binary.LittleEndian.AppendUint64(w.data, sequence)
	w.data = binary.LittleEndian.AppendUint64(w.data, firstIndex)
	w.data = binary.LittleEndian.AppendUint32(w.data, previous)
	w.lastChecksum = checksum(0, w.data)
	w.data = binary.LittleEndian.AppendUint32(w.data, w.lastChecksum)
}

// writeEntry appends an entry record.
func (w *recordWriter) writeEntry(entry *consensus.Entry) {
	body, err := encodeEntry(entry)
	w.writeRecord(recordEntry, body, err)
}

// writeHardState appends a hard state record.
func (w *recordWriter) writeHardState(state consensus.HardState) {
	body, err := encodeHardState(state)
	w.writeRecord(recordHardState, body, err)
}

// writeRecord appends a record, unless err or an earlier error is set.
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
	w.data = binary.LittleEndian.AppendUint32(w.data, 0) // the checksum, set below
	w.data = append(w.data, byte(kind))
	w.data = append(w.data, body...)
	w.lastChecksum = recordChecksum(w.lastChecksum, w.data[start:])
	binary.LittleEndian.PutUint32(w.data[start+recordChecksumOffset:], w.lastChecksum)
}

// recordChecksum computes a record's checksum from that of the previous one and the record's length, kind and body.
func recordChecksum(sum uint32, record []byte) uint32 {
	return checksum(checksum(sum, record[:recordLengthBytes]), record[recordPrefixBytes:])
}

// recordReader iterates over the records of a segment.
type recordReader struct {
	data             []byte
	offset           int // after the last accepted record
	lastChecksum     uint32
	previousChecksum uint32 // checksum of the last record of the previous segment
	firstIndex       uint64 // index after the last entry when the segment was started
}

// newRecordReader checks the segment's header. ok is false if it is missing, corrupt or of another segment.
func newRecordReader(data []byte, sequence uint64) (reader *recordReader, ok bool) {
	if len(data) < segmentHeaderBytes {
		return nil, false
	}
	sum := checksum(0, data[:headerChecksumOffset])
	if sum != binary.LittleEndian.Uint32(data[headerChecksumOffset:]) {
		return nil, false
	}
	if binary.LittleEndian.Uint64(data[preambleBytes:]) != sequence {
		return nil, false
	}
	return &recordReader{
		data:             data,
		offset:           segmentHeaderBytes,
		lastChecksum:     sum,
		previousChecksum: binary.LittleEndian.Uint32(data[previousChecksumOffset:]),
		firstIndex:       binary.LittleEndian.Uint64(data[firstIndexOffset:]),
	}, true
}

// next returns the next record without advancing. ok is false at the end of the data and at a record that is incomplete or
// corrupt.
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
	if recordChecksum(r.lastChecksum, record) != binary.LittleEndian.Uint32(record[recordChecksumOffset:]) {
		return 0, nil, false
	}
	return recordKind(record[recordPrefixBytes]), record[recordPrefixBytes+1:], true
}

// accept advances past the record that next returned.
func (r *recordReader) accept() {
	length := int(binary.LittleEndian.Uint32(r.data[r.offset:]))
	r.lastChecksum = binary.LittleEndian.Uint32(r.data[r.offset+recordChecksumOffset:])
	r.offset += recordPrefixBytes + length
}
