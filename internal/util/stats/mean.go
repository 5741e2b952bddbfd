package stats

// Mean is a weighted running mean. Once the sum of the weights reaches a bound, older samples are scaled
// down so that the mean follows changes. The zero value is empty.
type Mean struct {
	N   float64 // sum of the weights
	Sum float64 // sum of the weighted samples
}

// Add adds a sample of weight 1. maxWeight bounds the sum of the weights.
func (m *Mean) Add(value, maxWeight float64) { m.AddWeighted(value, 1, maxWeight) }

// AddWeighted adds a sample. maxWeight bounds the sum of the weights.
func (m *Mean) AddWeighted(value, weight, maxWeight float64) {
	if remaining := maxWeight - weight; m.N > remaining {
		factor := max(0, remaining/m.N)
		m.N, m.Sum = m.N*factor, m.Sum*factor
	}
	m.N, m.Sum = m.N+weight, m.Sum+value*weight
}

// Blend returns the mean, shrunk towards a prior that counts as a sample of the given weight. Without samples
// it returns the prior.
func (m *Mean) Blend(prior, weight float64) float64 {
	if m.N+weight == 0 {
		return prior
	}
	return (m.Sum + prior*weight) / (m.N + weight)
}

// WeightedMean returns the weighted mean of a and b, where a has the given weight (0 to 1) and b the rest.
func WeightedMean(a, b, weight float64) float64 { return a*weight + b*(1-weight) }
