package http1

// HeaderField is one header field, name and value as they came.
type HeaderField struct{ Name, Value string }

// Header are header fields in the order in which they came.
type Header []HeaderField

// Get returns the first value of a field, compared without regard to case, and "" where there is none.
func (f Header) Get(name string) string {
	for i := range f {
		if EqualFold(f[i].Name, name) {
			return f[i].Value
		}
	}
	return ""
}

// Has tells whether a field is there.
func (f Header) Has(name string) bool { return f.Count(name) > 0 }

// Count returns how many fields have a name.
func (f Header) Count(name string) int {
	count := 0
	for i := range f {
		if EqualFold(f[i].Name, name) {
			count++
		}
	}
	return count
}

// With returns the fields without those of a name, and with one of that name and value at the end.
// The fields themselves stay as they are.
func (f Header) With(name, value string) Header {
	return append(f.Without(name), HeaderField{name, value})
}

// Without returns the fields that have another name, in an array of their own.
func (f Header) Without(name string) Header {
	remaining := make(Header, 0, len(f)+1)
	for _, field := range f {
		if !EqualFold(field.Name, name) {
			remaining = append(remaining, field)
		}
	}
	return remaining
}

// EqualFold compares field names without regard to case, in ASCII alone.
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
