package stats

// Of returns the map's value for a key, which it creates if there is none.
func Of[K comparable, V any](m map[K]*V, key K) *V {
	if m[key] == nil {
		m[key] = new(V)
	}
	return m[key]
}
