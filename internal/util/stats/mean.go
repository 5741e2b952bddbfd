package stats

// Mean is a weighted running mean. Older samples are scaled down once the weights add up to a bound, so
// that the mean follows changes. The zero value is empty.
type Mean struct {
	N   float64 // sum of the weights
	Sum float64 // sum of the weighted samples
}

// Add adds a sample of weight 1. Memory bounds the sum of the weights.
func (m *Mean) Add(value, memory float64) { m.AddWeighted(value, 1, memory) }

// AddWeighted adds a sample. Memory bounds the sum of the weights.
func (m *Mean) AddWeighted(value, weight, memory float64) {
	if remaining := memory - weight; m.N > remaining {
		factor := max(0, remaining/m.N)
		m.N, m.Sum = m.N*factor, m.Sum*factor
	}
	m.N, m.Sum = m.N+weight, m.Sum+value*weight
}

// Or returns the mean, shrunk towards a prior that counts as a sample of that weight. Without samples it
// is the prior.
func (m *Mean) Or(prior, weight float64) float64 {
	if m.N+weight == 0 {
		return prior
	}
	return (m.Sum + prior*weight) / (m.N + weight)
}

// WeightedMean returns the mean of two values, the first of which has the given weight (0 to 1).
func WeightedMean(a, b, weight float64) float64 { return a*weight + b*(1-weight) }
