package balance_test

import (
	"encoding/binary"
	"os"
	"path/filepath"
	"testing"
	"time"

	"ospreybend/balance"
)

// TestWriteFixtures has a dispatcher learn from some requests.
func TestWriteFixtures(t *testing.T) {
	b, now := newCompatible(t), time.Hour
	for id := balance.RequestID(1); id <= 60; id++ {
		for _, action := range b.Handle(now, balance.Request{ID: id, Cost: time.Duration(1+id%7) * 10 * time.Millisecond, HasCost: true, Deadline: now + 4*time.Second}) {
			if send, ok := action.(balance.Send); ok {
				took := time.Duration(send.Worker) * 20 * time.Millisecond
				now += took
				b.Handle(now, balance.AttemptDone{Request: id, Worker: send.Worker, Outcome: balance.Served, Elapsed: took, Over: true, Report: []float32{3}})
			}
		}
	}
	var content []byte
	for _, word := range b.Learned() {
		content = binary.BigEndian.AppendUint64(content, word)
	}
	if err := os.MkdirAll(filepath.Dir(compatibilityRow), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(compatibilityRow, content, 0o644); err != nil {
		t.Fatal(err)
	}
}
