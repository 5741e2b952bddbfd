package seglog

import (
	"slices"
	"testing"

	"ospreybend/coord/consensus"
)

const testSequence = 7

// writeRecords returns a segment of single records and the offset at which each one ends.
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

// TestRecordReader_stopsAtMissingRecord removes each record, as if a write in between were missing: the complete records that
// follow are not valid.
func TestRecordReader_stopsAtMissingRecord(t *testing.T) {
	data, ends := writeRecords(5)
	for left := range 5 {
		shorter := slices.Concat(data[:ends[left]], data[ends[left+1]:])
		if count := countRecords(shorter); count != left {
			t.Fatalf("without record %d: %d records", left, count)
		}
	}
}

// TestRecordReader_rejectsRecordsOfFailedWrite leaves records of a failed write after others of the same length.
func TestRecordReader_rejectsRecordsOfFailedWrite(t *testing.T) {
	old, ends := writeRecords(5)
	var writer recordWriter
	writer.writeHeader(testSequence, 1, 0)
	writer.writeEntry(&consensus.Entry{Term: 2, Index: 1, Data: []byte("COMMAND")})
	if len(writer.data) != ends[1] {
		t.Fatal("the records differ in length")
	}
	if count := countRecords(append(writer.data, old[ends[1]:]...)); count != 1 {
		t.Fatalf("%d records", count)
	}
}

// TestNewRecordReader_rejectsOtherSegment rejects the content of another segment.
func TestNewRecordReader_rejectsOtherSegment(t *testing.T) {
	data, _ := writeRecords(1)
	if _, ok := newRecordReader(data, testSequence+1); ok {
		t.Fatal("accepted")
	}
}
