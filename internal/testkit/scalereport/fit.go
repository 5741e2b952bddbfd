package scalereport

import (
	"math"
	"slices"
)

// Size is the size of a fleet.
type Size struct {
	Nodes   int `json:"nodes"`
	Workers int `json:"workers"`
}

// Observation is the value of a figure measured at a fleet size.
type Observation struct {
	Size  Size
	Value float64
}

// Fit is a least squares fit of a figure: Base + PerNode*nodes + PerWorker*workers. If nodes and workers are nearly
// proportional in the measured sizes, their effects cannot be separated: Together is then true, PerWorker is 0 and
// PerNode covers a node with its workers.
type Fit struct {
	Base         float64 `json:"base"`
	PerNode      float64 `json:"perNode"`
	PerWorker    float64 `json:"perWorker"`
	Together     bool    `json:"together"`
	Residual     float64 `json:"residual"` // standard deviation of the residuals
	Observations int     `json:"observations"`

	inverse [][]float64 // inverse of the matrix of the normal equations
}

const (
	minRelativePivot = 1e-9 // at or below this fraction of its diagonal element a pivot means a singular matrix
	normalQuantile   = 1.96 // two-sided 95% quantile of the normal distribution
)

// studentQuantiles holds the two-sided 95% quantiles of Student's t distribution for 1 to 30 degrees of freedom.
var studentQuantiles = []float64{12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16,
	2.14, 2.13, 2.12, 2.11, 2.10, 2.09, 2.09, 2.08, 2.07, 2.07, 2.06, 2.06, 2.06, 2.05, 2.05, 2.05, 2.04}

// FitObservations fits observations. ok is false if there are too few or all have the same size.
func FitObservations(observations []Observation) (fit Fit, ok bool) {
	if fit, ok := fitTerms(observations, 3); ok && !proportional(observations) {
		return fit, true
	}
	fit, ok = fitTerms(observations, 2)
	fit.Together = true
	return fit, ok
}

// proportional reports whether all sizes have about the same number of workers per node.
func proportional(observations []Observation) bool {
	for _, one := range observations {
		if proportionsDiffer(one.Size, observations[0].Size) {
			return false
		}
	}
	return true
}

// proportionsDiffer reports whether the workers per node of two sizes differ by a factor of 1.5 or more.
func proportionsDiffer(one, other Size) bool {
	left, right := one.Workers*other.Nodes, other.Workers*one.Nodes
	return left != right && 2*max(left, right) >= 3*min(left, right)
}

// terms returns the first count terms of the fit: 1, nodes, workers.
func terms(size Size, count int) []float64 {
	return []float64{1, float64(size.Nodes), float64(size.Workers)}[:count]
}

// fitTerms solves the normal equations for the first count terms.
func fitTerms(observations []Observation, count int) (Fit, bool) {
	if len(observations) < count {
		return Fit{}, false
	}
	matrix, right := make([][]float64, count), make([]float64, count)
	for i := range matrix {
		matrix[i] = make([]float64, count)
	}
	for _, one := range observations {
		row := terms(one.Size, count)
		for i := range row {
			right[i] += row[i] * one.Value
			for j := range row {
				matrix[i][j] += row[i] * row[j]
			}
		}
	}
	inverse, ok := invert(matrix)
	if !ok {
		return Fit{}, false
	}
	solved := make([]float64, 3)
	for i := range count {
		for j := range count {
			solved[i] += inverse[i][j] * right[j]
		}
	}
	fit := Fit{Base: solved[0], PerNode: solved[1], PerWorker: solved[2], Observations: len(observations), inverse: inverse}
	fit.Residual = fit.residual(observations)
	return fit, true
}

func (f Fit) residual(observations []Observation) float64 {
	freedom := len(observations) - len(f.inverse)
	if freedom < 1 {
		return math.NaN()
	}
	sum := 0.0
	for _, one := range observations {
		left := one.Value - f.value(one.Size)
		sum += left * left
	}
	return math.Sqrt(sum / float64(freedom))
}

func (f Fit) value(size Size) float64 {
	return f.Base + f.PerNode*float64(size.Nodes) + f.PerWorker*float64(size.Workers)
}

// At returns the fitted value at a size and the half width of the 95% prediction interval for a single measurement,
// which assumes normally distributed residuals. The half width is NaN without degrees of freedom.
func (f Fit) At(size Size) (value, half float64) {
	row := terms(size, len(f.inverse))
	spread := 1.0
	for i := range row {
		for j := range row {
			spread += row[i] * f.inverse[i][j] * row[j]
		}
	}
	return f.value(size), quantile(f.Observations-len(f.inverse)) * f.Residual * math.Sqrt(max(spread, 0))
}

func quantile(freedom int) float64 {
	switch {
	case freedom < 1:
		return math.NaN()
	case freedom > len(studentQuantiles):
		return normalQuantile
	}
	return studentQuantiles[freedom-1]
}

// invert returns the inverse of a small symmetric matrix by Gauss-Jordan elimination. ok is false if it is singular.
func invert(matrix [][]float64) (inverse [][]float64, ok bool) {
	count := len(matrix)
	rows := make([][]float64, count)
	for i := range rows {
		rows[i] = append(slices.Clone(matrix[i]), make([]float64, count)...)
		rows[i][count+i] = 1
	}
	for i := range rows {
		if math.Abs(rows[i][i]) <= minRelativePivot*math.Abs(matrix[i][i]) {
			return nil, false
		}
		scaleRow(rows[i], 1/rows[i][i])
		for j := range rows {
			if j != i {
				addRow(rows[j], rows[i], -rows[j][i])
			}
		}
	}
	for i := range rows {
		inverse = append(inverse, rows[i][count:])
	}
	return inverse, true
}

func scaleRow(row []float64, factor float64) {
	for i := range row {
		row[i] *= factor
	}
}

func addRow(row, other []float64, factor float64) {
	for i := range row {
		row[i] += factor * other[i]
	}
}

// Percentiles summarises a set of times in milliseconds.
type Percentiles struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// PercentilesOf computes percentiles by the nearest-rank method.
func PercentilesOf(values []float64) Percentiles {
	if len(values) == 0 {
		return Percentiles{}
	}
	sorted := slices.Sorted(slices.Values(values))
	at := func(share float64) float64 {
		return sorted[max(int(math.Ceil(share*float64(len(sorted))))-1, 0)]
	}
	return Percentiles{Count: len(sorted), P50: at(0.5), P95: at(0.95), P99: at(0.99), Max: sorted[len(sorted)-1]}
}
