package stats

import (
	"math"
	"testing"
	"time"
)

const (
	life = 10 * time.Second
	most = 24
)

func near(t *testing.T, what string, got, want, within float64) {
	t.Helper()
	if math.IsNaN(got) || math.Abs(got-want) > within {
		t.Errorf("%s: got %v, want %v within %v", what, got, want, within)
	}
}

func TestFitRecoversALine(t *testing.T) {
	var w Window
	for x := range 8 {
		w.Add(time.Duration(x)*time.Second/10, float64(x), 3-0.2*float64(x), most)
	}
	l := w.Fit(time.Second, life, -1)
	near(t, "slope", l.B, -0.2, 1e-9)
	near(t, "at 5", l.At(5), 2, 1e-9)
}

func TestFitDegeneratesSafely(t *testing.T) {
	one := FitLine([]Sample{{0, 4, 2}}, -1)
	near(t, "one sample", one.At(100), 2, 0)
	same := FitLine([]Sample{{0, 4, 1}, {0, 4, 2}, {0, 4, 3}}, -1)
	near(t, "equal loads", same.At(0), 2, 1e-9)
	wrong := FitLine([]Sample{{0, 0, 1}, {0, 1, 2}, {0, 2, 3}}, -1)
	near(t, "slope against its sign", wrong.B, 0, 0)
	steep := FitLine([]Sample{{0, 0, 4}, {0, 1, 2}, {0, 2, 1}}, -1)
	near(t, "far below", steep.At(1000), 0.5, 1e-9)
	near(t, "far above", steep.At(-1000), 8, 1e-9)
	if none := FitLine(nil, 1); none.N != 0 {
		t.Errorf("no samples: n is %v", none.N)
	}
}

func TestSamplesExpire(t *testing.T) {
	var w Window
	w.Add(0, 1, 9, most)
	w.Add(5*time.Second, 1, 3, most)
	near(t, "both", w.Fit(6*time.Second, life, -1).At(1), 6, 1e-9)
	near(t, "the first expired", w.Fit(life, life, -1).At(1), 3, 1e-9)
	if l := w.Fit(20*time.Second, life, -1); l.N != 0 {
		t.Errorf("all expired: %v samples left", l.N)
	}
}

func TestWindowIsBounded(t *testing.T) {
	var w Window
	for i := range 10 * most {
		w.Add(time.Duration(i), 0, float64(i), most)
	}
	if len(w.Samples) != most {
		t.Errorf("%d samples kept, want %d", len(w.Samples), most)
	}
}

func TestMeanForgets(t *testing.T) {
	var m Mean
	for range 1000 {
		m.Add(1, 10)
	}
	for range 100 {
		m.Add(2, 10)
	}
	near(t, "mean after a change", m.Or(0, 0), 2, 0.01)
	var none Mean
	near(t, "empty mean", none.Or(7, 0), 7, 0)
}

func TestOddsForget(t *testing.T) {
	var o Odds
	o.Add(0, life, true)
	o.Add(0, life, false)
	if c := o.Chance(0, life, 0, 0); c != 0.5 {
		t.Errorf("one of two: %v", c)
	}
	if c := o.Chance(0, life, 0.2, 2); math.Abs(c-0.35) > 1e-9 {
		t.Errorf("shrunk to 0.2: %v", c)
	}
	if c := o.Chance(100*life, life, 0.2, 2); math.Abs(c-0.2) > 1e-9 {
		t.Errorf("after a long time: %v", c)
	}
	o.Add(life, life, false)
	if want := math.Exp(-1) / (2*math.Exp(-1) + 1); math.Abs(o.Chance(life, life, 0, 0)-want) > 1e-9 {
		t.Errorf("%v, not %v", o.Chance(life, life, 0, 0), want)
	}
}

func TestSharesOfKeys(t *testing.T) {
	var s Shares
	if got := s.Add(7, 100, 4); got != 0 {
		t.Errorf("a first one has a share of %v", got)
	}
	for range 3 {
		s.Add(7, 100, 4)
		s.Add(8, 100, 4)
	}
	if got := s.Add(7, 100, 4); math.Abs(got-4./11) > 1e-9 {
		t.Errorf("four of seven and four others: %v", got)
	}
	for key := range uint64(10000) { // many that come once each
		s.Add(1000+key, 100, 4)
	}
	if len(s.counts) > 100 {
		t.Errorf("%d keys are counted", len(s.counts))
	}
	if got := s.Add(7, 100, 4); got != 0 {
		t.Errorf("one that has long not come has a share of %v", got)
	}
}
