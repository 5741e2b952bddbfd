// Package stats holds plain statistics: means, lines and counts that forget, windows of
// samples that expire, and draws that two numbers fix. It decides nothing and has no clock.
package stats

import (
	"math"
	"time"
)

// minSpread is the variance of x below which a slope means nothing.
const minSpread = 0.05

// Of returns the map's value for a key, made anew where there is none.
func Of[K comparable, V any](m map[K]*V, k K) *V {
	if m[k] == nil {
		m[k] = new(V)
	}
	return m[k]
}

// Sample is one observation of a window.
type Sample struct {
	At   time.Duration
	X, Y float64
}

// Line is a fitted y = A + B*x over N samples.
type Line struct {
	A, B, N    float64
	SumX, SumY float64
	Low, High  float64 // bounds on what the line may say, from the samples seen
}

// At reads the line, within half the least and twice the largest sample: a steep fit may be absurd.
func (l Line) At(x float64) float64 { return min(max(l.A+l.B*x, l.Low), l.High) }

// Window is a moving window of samples that expire after a lifetime.
type Window struct {
	Samples     []Sample
	fitted      Line
	fittedUntil time.Duration // the fit holds until its oldest sample expires
	fitValid    bool
}

// Add takes in a sample, in place of the oldest where there are most already.
func (w *Window) Add(now time.Duration, x, y float64, capacity int) {
	if len(w.Samples) == capacity {
		copy(w.Samples, w.Samples[1:])
		w.Samples = w.Samples[:capacity-1]
	}
	w.Samples = append(w.Samples, Sample{now, x, y})
	w.fitValid = false
}

// Fit returns the least squares line over the samples younger than life, flat where it is against sign.
func (w *Window) Fit(now, ttl time.Duration, sign float64) Line {
	if w.fitValid && now < w.fittedUntil {
		return w.fitted
	}
	expired := 0
	for expired < len(w.Samples) && w.Samples[expired].At+ttl <= now {
		expired++
	}
	w.Samples = w.Samples[:copy(w.Samples, w.Samples[expired:])]
	w.fitted, w.fitValid, w.fittedUntil = FitLine(w.Samples, sign), true, math.MaxInt64
	if len(w.Samples) > 0 {
		w.fittedUntil = w.Samples[0].At + ttl
	}
	return w.fitted
}

// FitLine fits samples.
func FitLine(samples []Sample, sign float64) Line {
	n := float64(len(samples))
	if n == 0 {
		return Line{}
	}
	l := Line{N: n, Low: math.Inf(1)}
	var sx, sy, sxx, sxy float64
	for _, s := range samples {
		sx, sy, sxx, sxy = sx+s.X, sy+s.Y, sxx+s.X*s.X, sxy+s.X*s.Y
		l.Low, l.High = min(l.Low, s.Y/2), max(l.High, s.Y*2)
	}
	if spread := sxx/n - sx*sx/n/n; n > 2 && spread > minSpread {
		l.B = (sxy/n - sx*sy/n/n) / spread
	}
	if l.B*sign < 0 {
		l.B = 0
	}
	l.A, l.SumX, l.SumY = (sy-l.B*sx)/n, sx, sy
	return l
}

// Mean is a running weighted mean that forgets old samples beyond a weight.
type Mean struct{ N, Sum float64 }

// Add takes in a sample of weight 1.
func (m *Mean) Add(value, memory float64) { m.AddWeighted(value, 1, memory) }

// AddWeighted takes in a sample.
func (m *Mean) AddWeighted(value, weight, memory float64) {
	if remaining := memory - weight; m.N > remaining {
		factor := max(0, remaining/m.N)
		m.N, m.Sum = m.N*factor, m.Sum*factor
	}
	m.N, m.Sum = m.N+weight, m.Sum+value*weight
}

// Or returns the mean shrunk to a prior that counts as weight samples.
func (m *Mean) Or(prior, weight float64) float64 {
	if m.N+weight == 0 {
		return prior
	}
	return (m.Sum + prior*weight) / (m.N + weight)
}

// Pooled is a regression that forgets beyond a count.
type Pooled struct{ N, SX, SY, SXX, SXY float64 }

// AddWeighted takes in a sample.
func (p *Pooled) AddWeighted(x, y, w, memory float64) {
	if p.N >= memory {
		factor := (memory - w) / p.N
		p.N, p.SX, p.SY, p.SXX, p.SXY = p.N*factor, p.SX*factor, p.SY*factor, p.SXX*factor, p.SXY*factor
	}
	p.N, p.SX, p.SY, p.SXX, p.SXY = p.N+w, p.SX+w*x, p.SY+w*y, p.SXX+w*x*x, p.SXY+w*x*y
}

// At reads the line at x: never negative, and never rising with x.
func (p *Pooled) At(x float64) float64 {
	if p.N == 0 {
		return 0
	}
	b := 0.0
	if spread := p.SXX/p.N - p.SX*p.SX/p.N/p.N; p.N > 2 && spread > minSpread {
		b = min(0, (p.SXY/p.N-p.SX*p.SY/p.N/p.N)/spread)
	}
	return max(0, (p.SY-b*p.SX)/p.N+b*x)
}

// WeightedMean returns the mean of two values, the first of which has the weight given (0 to 1).
func WeightedMean(a, b, weight float64) float64 { return a*weight + b*(1-weight) }
