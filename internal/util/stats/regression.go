package stats

import (
	"math"
	"time"
)

// minVariance is the variance of x below which a fitted line has slope 0.
const minVariance = 0.05

// Sample is one observation (X, Y) at a time.
type Sample struct {
	At   time.Duration
	X, Y float64
}

// Line is a least-squares fit y = Intercept + Slope*x over N samples.
type Line struct {
	Intercept, Slope, N float64
	SumX, SumY          float64
	Low, High           float64 // half the lowest and twice the highest y of the samples
}

// At returns the value of the line at x, clamped to Low and High, since the extrapolation of a steep line
// can be far off.
func (l Line) At(x float64) float64 { return min(max(l.Intercept+l.Slope*x, l.Low), l.High) }

// fitLine fits a line to samples. The slope is 0 if its sign would be opposite to sign (0 allows both), if
// there are fewer than three samples, or if their x hardly vary.
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
	if variance := sxx/n - sx*sx/n/n; n > 2 && variance > minVariance {
		l.Slope = (sxy/n - sx*sy/n/n) / variance
	}
	if l.Slope*sign < 0 {
		l.Slope = 0
	}
	l.Intercept, l.SumX, l.SumY = (sy-l.Slope*sx)/n, sx, sy
	return l
}

// Regression is a weighted linear regression over the samples of many workers, of which it keeps only the sums.
// Once the sum of the weights reaches a bound, older samples are scaled down. The zero value is empty.
type Regression struct{ N, SX, SY, SXX, SXY float64 }

// AddWeighted adds a sample. maxWeight bounds the sum of the weights.
func (p *Regression) AddWeighted(x, y, weight, maxWeight float64) {
	if p.N >= maxWeight {
		factor := (maxWeight - weight) / p.N
		p.N, p.SX, p.SY, p.SXX, p.SXY = p.N*factor, p.SX*factor, p.SY*factor, p.SXX*factor, p.SXY*factor
	}
	p.N, p.SX, p.SY = p.N+weight, p.SX+weight*x, p.SY+weight*y
	p.SXX, p.SXY = p.SXX+weight*x*x, p.SXY+weight*x*y
}

// At returns the fitted value at x. It is never negative and never increases with x.
func (p *Regression) At(x float64) float64 {
	if p.N == 0 {
		return 0
	}
	slope := 0.0
	if variance := p.SXX/p.N - p.SX*p.SX/p.N/p.N; p.N > 2 && variance > minVariance {
		slope = min(0, (p.SXY/p.N-p.SX*p.SY/p.N/p.N)/variance)
	}
	return max(0, (p.SY-slope*p.SX)/p.N+slope*x)
}
