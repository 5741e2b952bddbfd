package balance_test

import (
	"encoding/binary"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"ospreybend/balance"
)

// fixturePath is a state that a balancer of commit 8782861 exported, as 64-bit big-endian words.
const fixturePath = "testdata/v8782861/learned"

// newFixtureBalancer returns a balancer with the settings and workers of the fixture.
func newFixtureBalancer(t *testing.T) *balance.Balancer {
	t.Helper()
	class := balance.Class{LatencyTarget: time.Second, Timeout: 4 * time.Second, Value: 1, Kind: -1}
	b, err := balance.New(balance.Settings{
		Balancers: 1, Resolution: 2 * time.Millisecond, Classes: []balance.Class{class},
		ReportFields: []balance.ReportField{balance.FieldFreeSlots}, Limits: balance.Limits{MaxAttempts: 2},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	workers := []balance.WorkerListing{{Worker: 1}, {Worker: 3, Kind: 1}}
	b.Handle(time.Hour, balance.ListUpdate{Kind: balance.ListFull, Version: 1, Workers: workers})
	return b
}

// readFixture returns the words of the fixture.
func readFixture(t *testing.T) (words []uint64) {
	t.Helper()
	content, err := os.ReadFile(filepath.FromSlash(fixturePath))
	if err != nil {
		t.Fatal(err)
	}
	for word := range slices.Chunk(content, 8) {
		words = append(words, binary.BigEndian.Uint64(word))
	}
	return words
}

// A state of commit 8782861 is imported and exported again without a change. The order of the words is not
// compared, as maps are exported in random order.
func TestBalancer_ImportState_version8782861(t *testing.T) {
	fixture, b := readFixture(t), newFixtureBalancer(t)
	if err := b.ImportState(2*time.Hour, slices.Clone(fixture)); err != nil {
		t.Fatal(err)
	}
	exported := b.ExportState()
	if !slices.Equal(slices.Sorted(slices.Values(exported)), slices.Sorted(slices.Values(fixture))) {
		t.Errorf("exported after the import: got %v, want the fixture's words in any order: %v", exported, fixture)
	}
}
