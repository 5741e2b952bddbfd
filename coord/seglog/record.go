package seglog

import (
	"encoding/binary"
	"hash/crc32"
	"sync"

	"ospreybend/coord/consensus"
)

// FormatVersion is the format version of all files that this package writes.
const FormatVersion uint32 = 1

// Magic numbers at the beginning of each kind of file.
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
	uint64Bytes       = 8 // sequence number, index, length of a snapshot, member ID
	recordLengthBytes = 4

	// Preamble of every file: magic number, format version, checksum of both.
	preambleChecksumOffset = magicBytes + versionBytes
	preambleBytes          = preambleChecksumOffset + checksumBytes

	// Header of a segment: preamble, sequence number, index after the last entry when the header was written, checksum of
	// the last record of the previous segment, checksum of the header.
	firstIndexOffset       = preambleBytes + uint64Bytes
	previousChecksumOffset = firstIndexOffset + uint64Bytes
	headerChecksumOffset   = previousChecksumOffset + checksumBytes
	segmentHeaderBytes     = headerChecksumOffset + checksumBytes

	// Prefix of a record: length of kind and body, checksum. The kind (one byte) and the body follow.
	recordChecksumOffset = recordLengthBytes
	recordPrefixBytes    = recordChecksumOffset + checksumBytes
	maxRecordBytes       = 1 << 30 // maximum length of kind and body

	// Header of a snapshot: preamble, length of the body, checksum of length and body. The body follows.
	snapshotChecksumOffset = preambleBytes + uint64Bytes
	snapshotHeaderBytes    = snapshotChecksumOffset + checksumBytes
)

// recordKind determines what the body of a record contains. Its values are part of the file format.
type recordKind byte

const (
	recordEntry recordKind = iota + 1
	recordHardState
)

// castagnoliTable returns the table of CRC-32C, which is built on first use like the schemas.
var castagnoliTable = sync.OnceValue(func() *crc32.Table { return crc32.MakeTable(crc32.Castagnoli) })

// checksum extends the CRC-32C sum by more data. The sum of no data is 0.
func checksum(sum uint32, data []byte) uint32 { return crc32.Update(sum, castagnoliTable(), data) }

// appendPreamble appends a preamble with the magic number to data.
func appendPreamble(data []byte, magic string) []byte {
	start := len(data)
	data = append(data, magic...)
	data = binary.LittleEndian.AppendUint32(data, FormatVersion)
	return binary.LittleEndian.AppendUint32(data, checksum(0, data[start:]))
}

// checkPreamble reports whether data starts with an intact preamble with the magic number. If the preamble is intact but
// has another format version, the error is a FormatError for the file called name.
func checkPreamble(name string, data []byte, magic string) (ok bool, err error) {
	if len(data) < preambleBytes || string(data[:magicBytes]) != magic {
		return false, nil
	}
	storedChecksum := binary.LittleEndian.Uint32(data[preambleChecksumOffset:])
	if storedChecksum != checksum(0, data[:preambleChecksumOffset]) {
		return false, nil
	}
	if found := binary.LittleEndian.Uint32(data[magicBytes:]); found != FormatVersion {
		return false, FormatError{File: name, Found: found, Supported: FormatVersion}
	}
	return true, nil
}

// recordWriter encodes a segment header and records into a buffer.
type recordWriter struct {
	data         []byte
	lastChecksum uint32 // checksum of the last record, or of the header if there is none
	err          error  // first error; once set, further records are ignored
}

// writeHeader appends the header of a segment. Its checksum starts the checksum chain of the records.
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

// writeRecord appends a record, unless encoding its body failed with err or an earlier record failed.
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
	w.data = binary.LittleEndian.AppendUint32(w.data, 0) // checksum; set below
	w.data = append(w.data, byte(kind))
	w.data = append(w.data, body...)
	w.lastChecksum = recordChecksum(w.lastChecksum, w.data[start:])
	binary.LittleEndian.PutUint32(w.data[start+recordChecksumOffset:], w.lastChecksum)
}

// recordChecksum computes the checksum of a record from sum, the checksum of the previous record, and from its own length,
// kind and body.
func recordChecksum(sum uint32, record []byte) uint32 {
	return checksum(checksum(sum, record[:recordLengthBytes]), record[recordPrefixBytes:])
}

// recordReader iterates over the records of a segment.
type recordReader struct {
	data             []byte
	offset           int    // end of the last accepted record, or of the header
	lastChecksum     uint32 // checksum of the last accepted record, or of the header
	previousChecksum uint32 // checksum of the last record of the previous segment
	firstIndex       uint64 // index after the last entry when the header was written
}

// newRecordReader checks the header of a segment and returns a reader at its first record. ok is false if the header is
// incomplete, corrupt or of a segment with another sequence number.
func newRecordReader(data []byte, sequence uint64) (reader *recordReader, ok bool) {
	if len(data) < segmentHeaderBytes {
		return nil, false
	}
	headerChecksum := checksum(0, data[:headerChecksumOffset])
	if headerChecksum != binary.LittleEndian.Uint32(data[headerChecksumOffset:]) {
		return nil, false
	}
	if binary.LittleEndian.Uint64(data[preambleBytes:]) != sequence {
		return nil, false
	}
	return &recordReader{
		data:             data,
		offset:           segmentHeaderBytes,
		lastChecksum:     headerChecksum,
		previousChecksum: binary.LittleEndian.Uint32(data[previousChecksumOffset:]),
		firstIndex:       binary.LittleEndian.Uint64(data[firstIndexOffset:]),
	}, true
}

// next returns the next record without advancing past it. ok is false at the end of the data and at an incomplete or
// corrupt record.
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

// accept advances past the record that next returned last.
func (r *recordReader) accept() {
	length := int(binary.LittleEndian.Uint32(r.data[r.offset:]))
	r.lastChecksum = binary.LittleEndian.Uint32(r.data[r.offset+recordChecksumOffset:])
	r.offset += recordPrefixBytes + length
}
