package estimate

import (
	"math"
	"testing"
	"time"
)

func assertNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.IsNaN(got) || math.Abs(got-want) > 1e-6 {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func TestBlend(t *testing.T) {
	assertNear(t, "Blend without samples", Blend(9, 0, 2, 6), 2)
	assertNear(t, "Blend with as many samples as the prior weight", Blend(4, 6, 2, 6), 3)
}

func TestDelays_predictions(t *testing.T) {
	d := Delays{SampleTTL: time.Second}
	assertNear(t, "transfer without samples", d.Transfer(0, 5, 0.3), 0.3)
	assertNear(t, "process without samples", d.Process(0, 1, 5, 2), 2)
	for x := range 6 {
		d.AddTransfer(0, float64(x), 0.1*float64(x))
		d.AddProcess(0, 1, float64(x), 1+float64(x))
	}
	assertNear(t, "transfer at 4", d.Transfer(0, 4, 0.4), 0.4)
	assertNear(t, "process at 2", d.Process(0, 1, 2, 3), 3)
	assertNear(t, "process in a bucket without samples", d.Process(0, 2, 2, 7), 7)
	assertNear(t, "transfer after its samples expired", d.Transfer(2*time.Second, 4, 9), 9)
	assertNear(t, "process after its samples expired", d.Process(2*time.Second, 1, 4, 9), 9)
}

func TestRendezvousRank_spreadsKeysEvenly(t *testing.T) {
	counts := map[uint64]int{}
	for key := range uint64(3000) {
		first, lowestRank := uint64(0), math.Inf(1)
		for worker := uint64(10); worker < 16; worker++ {
			if rank := RendezvousRank(key, worker, 6); rank < lowestRank {
				first, lowestRank = worker, rank
			}
		}
		counts[first]++
	}
	for worker, n := range counts {
		if n < 400 || n > 600 {
			t.Errorf("worker %d is first for %d of 3000 keys, want 400 to 600", worker, n)
		}
	}
}
