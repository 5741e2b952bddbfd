package stats

// Ensure returns the value for a key of the map. It adds a zero value if the map has none for the key.
func Ensure[K comparable, V any](m map[K]*V, key K) *V {
	if m[key] == nil {
		m[key] = new(V)
	}
	return m[key]
}
