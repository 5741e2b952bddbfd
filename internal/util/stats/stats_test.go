package stats

import (
	"math"
	"testing"
	"time"
)

const (
	testTTL      = 10 * time.Second
	testCapacity = 24
)

func assertNear(t *testing.T, what string, got, want, within float64) {
	t.Helper()
	if math.IsNaN(got) || math.Abs(got-want) > within {
		t.Errorf("%s: got %v, want %v within %v", what, got, want, within)
	}
}

func TestWindow_Fit_recoversLine(t *testing.T) {
	var w Window
	for x := range 8 {
		w.Add(time.Duration(x)*time.Second/10, float64(x), 3-0.2*float64(x), testCapacity)
	}
	l := w.Fit(time.Second, testTTL, -1)
	assertNear(t, "slope", l.Slope, -0.2, 1e-9)
	assertNear(t, "value at 5", l.At(5), 2, 1e-9)
}

func TestFitLine_degenerateSamples(t *testing.T) {
	one := fitLine([]Sample{{0, 4, 2}}, -1)
	assertNear(t, "line through one sample", one.At(100), 2, 0)
	same := fitLine([]Sample{{0, 4, 1}, {0, 4, 2}, {0, 4, 3}}, -1)
	assertNear(t, "three samples with equal x", same.At(0), 2, 1e-9)
	wrong := fitLine([]Sample{{0, 0, 1}, {0, 1, 2}, {0, 2, 3}}, -1)
	assertNear(t, "slope against its sign", wrong.Slope, 0, 0)
	steep := fitLine([]Sample{{0, 0, 4}, {0, 1, 2}, {0, 2, 1}}, -1)
	assertNear(t, "steep line far below its lowest y", steep.At(1000), 0.5, 1e-9)
	assertNear(t, "steep line far above its highest y", steep.At(-1000), 8, 1e-9)
	if none := fitLine(nil, 1); none.N != 0 {
		t.Errorf("fitLine without samples: got N %v, want 0", none.N)
	}
}

func TestWindow_Fit_samplesExpire(t *testing.T) {
	var w Window
	w.Add(0, 1, 9, testCapacity)
	w.Add(5*time.Second, 1, 3, testCapacity)
	assertNear(t, "mean of both samples", w.Fit(6*time.Second, testTTL, -1).At(1), 6, 1e-9)
	assertNear(t, "first sample expired", w.Fit(testTTL, testTTL, -1).At(1), 3, 1e-9)
	if l := w.Fit(20*time.Second, testTTL, -1); l.N != 0 {
		t.Errorf("Fit after all samples expired: got N %v, want 0", l.N)
	}
}

func TestWindow_Add_isBounded(t *testing.T) {
	var w Window
	for i := range 10 * testCapacity {
		w.Add(time.Duration(i), 0, float64(i), testCapacity)
	}
	if len(w.Samples) != testCapacity {
		t.Errorf("window holds %d samples, want %d", len(w.Samples), testCapacity)
	}
}

func TestMean_Add_forgets(t *testing.T) {
	var m Mean
	for range 1000 {
		m.Add(1, 10)
	}
	for range 100 {
		m.Add(2, 10)
	}
	assertNear(t, "mean after a change", m.Blend(0, 0), 2, 0.01)
	var none Mean
	assertNear(t, "empty mean", none.Blend(7, 0), 7, 0)
}

func TestFailureRate_Probability_forgets(t *testing.T) {
	var r FailureRate
	r.Add(0, testTTL, true)
	r.Add(0, testTTL, false)
	if p := r.Probability(0, testTTL, 0, 0); p != 0.5 {
		t.Errorf("probability after one failure in two: got %v, want 0.5", p)
	}
	if p := r.Probability(0, testTTL, 0.2, 2); math.Abs(p-0.35) > 1e-9 {
		t.Errorf("probability with prior 0.2: got %v, want 0.35", p)
	}
	if p := r.Probability(100*testTTL, testTTL, 0.2, 2); math.Abs(p-0.2) > 1e-9 {
		t.Errorf("probability after 100 time constants: got %v, want the prior 0.2", p)
	}
	r.Add(testTTL, testTTL, false)
	if want := math.Exp(-1) / (2*math.Exp(-1) + 1); math.Abs(r.Probability(testTTL, testTTL, 0, 0)-want) > 1e-9 {
		t.Errorf("probability after one time constant and a success: got %v, want %v", r.Probability(testTTL, testTTL, 0, 0), want)
	}
}

func TestShares_Add(t *testing.T) {
	var s Shares
	if got := s.Add(7, 100, 4); got != 0 {
		t.Errorf("share of the first key: got %v, want 0", got)
	}
	for range 3 {
		s.Add(7, 100, 4)
		s.Add(8, 100, 4)
	}
	if got := s.Add(7, 100, 4); math.Abs(got-4./11) > 1e-9 {
		t.Errorf("share of a key with 4 of 7 counts and prior 4: got %v, want %v", got, 4./11)
	}
	for key := range uint64(10000) { // each occurs once
		s.Add(1000+key, 100, 4)
	}
	if len(s.counts) > 100 {
		t.Errorf("%d keys are counted, want at most 100", len(s.counts))
	}
	if got := s.Add(7, 100, 4); got != 0 {
		t.Errorf("share of a key that has not occurred for 10000 counts: got %v, want 0", got)
	}
}
