package http1

const (
	initialReadBytes = 4 << 10  // initial capacity
	maxRetainedBytes = 16 << 10 // capacity above which an empty buffer releases its array
)

// ReadBuffer holds the bytes of a connection that were received but not yet consumed. The zero value is an empty buffer.
type ReadBuffer struct{ bytes []byte }

// Bytes returns the unconsumed bytes. The slice is valid until the next call of Free or Discard.
func (b *ReadBuffer) Bytes() []byte { return b.bytes }

// Len returns the number of unconsumed bytes.
func (b *ReadBuffer) Len() int { return len(b.bytes) }

// Free returns the free space after the unconsumed bytes, to read into. It is never empty: a full buffer grows.
func (b *ReadBuffer) Free() []byte {
	if len(b.bytes) == cap(b.bytes) {
		grown := make([]byte, len(b.bytes), max(2*cap(b.bytes), initialReadBytes))
		copy(grown, b.bytes)
		b.bytes = grown
	}
	return b.bytes[len(b.bytes):cap(b.bytes)]
}

// Extend adds the n bytes that were read into the slice returned by Free.
func (b *ReadBuffer) Extend(n int) { b.bytes = b.bytes[:len(b.bytes)+n] }

// Discard consumes the first n bytes.
func (b *ReadBuffer) Discard(n int) {
	rest := copy(b.bytes, b.bytes[n:])
	b.bytes = b.bytes[:rest]
	if rest == 0 && cap(b.bytes) > maxRetainedBytes {
		b.bytes = nil
	}
}
