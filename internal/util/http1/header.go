package http1

// HeaderField is one header field. Its name and value are kept as received.
type HeaderField struct{ Name, Value string }

// Header is a list of header fields in the order received. Unlike net/http.Header it preserves the order and the case of names, so
// that a message can be forwarded unchanged. Names are compared case-insensitively.
type Header []HeaderField

// Get returns the value of the first field with the given name, or "" if there is none.
func (h Header) Get(name string) string {
	for i := range h {
		if EqualFold(h[i].Name, name) {
			return h[i].Value
		}
	}
	return ""
}

// Has reports whether there is a field with the given name.
func (h Header) Has(name string) bool { return h.Count(name) > 0 }

// Count returns the number of fields with the given name.
func (h Header) Count(name string) int {
	matches := 0
	for i := range h {
		if EqualFold(h[i].Name, name) {
			matches++
		}
	}
	return matches
}

// With returns a copy in which one field at the end replaces all fields of the given name.
func (h Header) With(name, value string) Header {
	return append(h.Without(name), HeaderField{name, value})
}

// Without returns a copy without the fields of the given name. The copy has capacity for one more field.
func (h Header) Without(name string) Header {
	remaining := make(Header, 0, len(h)+1)
	for _, field := range h {
		if !EqualFold(field.Name, name) {
			remaining = append(remaining, field)
		}
	}
	return remaining
}

// EqualFold reports whether two strings are equal under ASCII case folding.
func EqualFold[A, B ~string | ~[]byte](a A, b B) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range len(a) {
		if toLower(a[i]) != toLower(b[i]) {
			return false
		}
	}
	return true
}

func toLower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}
