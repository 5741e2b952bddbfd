package http1

const (
	initialReadBytes = 4 << 10  // bytes of an input's array at first
	maxRetainedBytes = 16 << 10 // an empty input's array is given back above it
)

// ReadBuffer holds what has come on a connection and is not used yet.
type ReadBuffer struct{ bytes []byte }

// Bytes returns what is there. It is valid until the next call of Space or Drop.
func (i *ReadBuffer) Bytes() []byte { return i.bytes }

// Len returns how many bytes are there.
func (i *ReadBuffer) Len() int { return len(i.bytes) }

// Free returns room to read into, behind what is there; never empty.
func (i *ReadBuffer) Free() []byte {
	if len(i.bytes) == cap(i.bytes) {
		grown := make([]byte, len(i.bytes), max(2*cap(i.bytes), initialReadBytes))
		copy(grown, i.bytes)
		i.bytes = grown
	}
	return i.bytes[len(i.bytes):cap(i.bytes)]
}

// Extend says that n bytes were read into Space.
func (i *ReadBuffer) Extend(n int) { i.bytes = i.bytes[:len(i.bytes)+n] }

// Discard removes the first n bytes.
func (i *ReadBuffer) Discard(n int) {
	rest := copy(i.bytes, i.bytes[n:])
	i.bytes = i.bytes[:rest]
	if rest == 0 && cap(i.bytes) > maxRetainedBytes {
		i.bytes = nil
	}
}
