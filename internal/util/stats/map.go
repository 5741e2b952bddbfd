package stats

// Of returns the map's value for a key, which it creates if there is none.
func Of[K comparable, V any](m map[K]*V, k K) *V {
	if m[k] == nil {
		m[k] = new(V)
	}
	return m[k]
}
