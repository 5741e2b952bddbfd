package http1

const (
	initialReadBytes = 4 << 10  // capacity of the first array
	maxRetainedBytes = 16 << 10 // an empty buffer releases a larger array
)

// ReadBuffer holds the bytes received on a connection that have not been consumed. The zero value is an empty buffer.
type ReadBuffer struct{ bytes []byte }

// Bytes returns the unconsumed bytes. The slice is valid until the next call of Free or Discard.
func (i *ReadBuffer) Bytes() []byte { return i.bytes }

// Len returns the number of unconsumed bytes.
func (i *ReadBuffer) Len() int { return len(i.bytes) }

// Free returns space to read into, behind the unconsumed bytes. It is never empty; the array grows when it is full.
func (i *ReadBuffer) Free() []byte {
	if len(i.bytes) == cap(i.bytes) {
		grown := make([]byte, len(i.bytes), max(2*cap(i.bytes), initialReadBytes))
		copy(grown, i.bytes)
		i.bytes = grown
	}
	return i.bytes[len(i.bytes):cap(i.bytes)]
}

// Extend adds the n bytes that were read into the slice returned by Free.
func (i *ReadBuffer) Extend(n int) { i.bytes = i.bytes[:len(i.bytes)+n] }

// Discard consumes the first n bytes.
func (i *ReadBuffer) Discard(n int) {
	rest := copy(i.bytes, i.bytes[n:])
	i.bytes = i.bytes[:rest]
	if rest == 0 && cap(i.bytes) > maxRetainedBytes {
		i.bytes = nil
	}
}
