package stats

import (
	"math"
	"time"
)

// Window is a sliding window of samples that expire, with a cached fit. The zero value is empty.
type Window struct {
	Samples     []Sample // oldest first
	fitted      Line
	fittedUntil time.Duration // when the oldest sample of the fit expires
	fitValid    bool
}

// Add adds a sample. If the window already has capacity samples, the oldest is dropped.
func (w *Window) Add(now time.Duration, x, y float64, capacity int) {
	if len(w.Samples) == capacity {
		copy(w.Samples, w.Samples[1:])
		w.Samples = w.Samples[:capacity-1]
	}
	w.Samples = append(w.Samples, Sample{now, x, y})
	w.fitValid = false
}

// Fit drops the samples that are at least ttl old and returns the least-squares line over the rest. The
// slope is 0 if its sign would be opposite to sign; a sign of 0 allows both.
func (w *Window) Fit(now, ttl time.Duration, sign float64) Line {
	if w.fitValid && now < w.fittedUntil {
		return w.fitted
	}
	expired := 0
	for expired < len(w.Samples) && w.Samples[expired].At+ttl <= now {
		expired++
	}
	w.Samples = w.Samples[:copy(w.Samples, w.Samples[expired:])]
	w.fitted, w.fitValid, w.fittedUntil = fitLine(w.Samples, sign), true, math.MaxInt64
	if len(w.Samples) > 0 {
		w.fittedUntil = w.Samples[0].At + ttl
	}
	return w.fitted
}
