package stats

import (
	"math"
	"time"
)

// minSpread is the variance of x below which no slope is fitted.
const minSpread = 0.05

// Sample is one observation (X, Y) at an instant.
type Sample struct {
	At   time.Duration
	X, Y float64
}

// Line is a least-squares fit y = A + B*x over N samples.
type Line struct {
	A, B, N    float64
	SumX, SumY float64
	Low, High  float64 // half the lowest and twice the highest y of the samples
}

// At returns the line's value at x, clamped to Low and High: a steep fit may be absurd far from its
// samples.
func (l Line) At(x float64) float64 { return min(max(l.A+l.B*x, l.Low), l.High) }

// fitLine fits a line to samples. Its slope is 0 if it would have the sign opposite to sign, or if there
// are too few samples to tell; a sign of 0 allows both.
func fitLine(samples []Sample, sign float64) Line {
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

// Pooled is a weighted regression over the samples of many workers, kept as its sums alone. Older samples
// are scaled down once the weights add up to a bound. The zero value is empty.
type Pooled struct{ N, SX, SY, SXX, SXY float64 }

// AddWeighted adds a sample. Memory bounds the sum of the weights.
func (p *Pooled) AddWeighted(x, y, weight, memory float64) {
	if p.N >= memory {
		k := (memory - weight) / p.N
		p.N, p.SX, p.SY, p.SXX, p.SXY = p.N*k, p.SX*k, p.SY*k, p.SXX*k, p.SXY*k
	}
	p.N, p.SX, p.SY = p.N+weight, p.SX+weight*x, p.SY+weight*y
	p.SXX, p.SXY = p.SXX+weight*x*x, p.SXY+weight*x*y
}

// At returns the fitted value at x. It is never negative and never rises with x.
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
