package seglog_test

import (
	"testing"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog"
)

// benchmarkEntryBytes is the size of the data of each entry in the benchmark.
const benchmarkEntryBytes = 200

// BenchmarkSaveOne measures a Save of one entry on the file system of the operating system.
func BenchmarkSaveOne(b *testing.B) {
	log, _, err := seglog.Open(seglog.Options{Directory: b.TempDir()})
	if err != nil {
		b.Fatal(err)
	}
	data := make([]byte, benchmarkEntryBytes)
	b.ReportAllocs()
	index := uint64(0)
	for b.Loop() {
		index++
		entries := []consensus.Entry{{Term: 1, Index: index, Data: data}}
		if err := log.Save([]*consensus.PersistRequest{{Entries: entries}}); err != nil {
			b.Fatal(err)
		}
	}
	if err := log.Close(); err != nil {
		b.Fatal(err)
	}
}
