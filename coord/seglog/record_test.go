package seglog

import (
	"slices"
	"testing"

	"ospreybend/coord/consensus"
)

// testSequence is the sequence number of the test segments.
const testSequence = 7

// writeRecords returns a segment with a number of entry records, and the offsets at which its header and each record end.
func writeRecords(count int) (data []byte, ends []int) {
	var writer recordWriter
	writer.writeHeader(testSequence, 1, 0)
	ends = append(ends, len(writer.data))
	for index := range count {
		writer.writeEntry(&consensus.Entry{Term: 1, Index: uint64(index + 1), Data: []byte("command")})
		ends = append(ends, len(writer.data))
	}
	return writer.data, ends
}

// countRecords returns the number of valid records in a segment, or -1 if its header is invalid.
func countRecords(data []byte) int {
	reader, ok := newRecordReader(data, testSequence)
	if !ok {
		return -1
	}
	for count := 0; ; count++ {
		if _, _, ok := reader.next(); !ok {
			return count
		}
		reader.accept()
	}
}

// TestRecordReader_stopsAtMissingRecord removes each record, as if one write had been lost: intact records that follow the
// gap must not be accepted.
func TestRecordReader_stopsAtMissingRecord(t *testing.T) {
	data, ends := writeRecords(5)
	for removed := range 5 {
		shorter := slices.Concat(data[:ends[removed]], data[ends[removed+1]:])
		if count := countRecords(shorter); count != removed {
			t.Fatalf("without record %d: %d records accepted, want %d", removed, count, removed)
		}
	}
}

// TestRecordReader_rejectsRecordsOfFailedWrite overwrites the first record of a failed write by one of the same length: the
// rest of the failed write must not be accepted.
func TestRecordReader_rejectsRecordsOfFailedWrite(t *testing.T) {
	old, ends := writeRecords(5)
	var writer recordWriter
	writer.writeHeader(testSequence, 1, 0)
	writer.writeEntry(&consensus.Entry{Term: 2, Index: 1, Data: []byte("COMMAND")})
	if len(writer.data) != ends[1] {
		t.Fatalf("header and record have %d bytes, want %d as in the failed write", len(writer.data), ends[1])
	}
	if count := countRecords(append(writer.data, old[ends[1]:]...)); count != 1 {
		t.Fatalf("%d records accepted, want 1", count)
	}
}

// TestNewRecordReader_rejectsOtherSegment checks that a header with another sequence number is rejected.
func TestNewRecordReader_rejectsOtherSegment(t *testing.T) {
	data, _ := writeRecords(1)
	if _, ok := newRecordReader(data, testSequence+1); ok {
		t.Fatalf("header with sequence number %d accepted, want %d", testSequence, testSequence+1)
	}
}
