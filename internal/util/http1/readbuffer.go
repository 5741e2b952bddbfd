package http1

const (
	firstInput = 4 << 10  // bytes of an input's array at first
	keepInput  = 16 << 10 // an empty input's array is given back above it
)

// Input holds what has come on a connection and is not used yet.
type Input struct{ bytes []byte }

// Bytes returns what is there. It is valid until the next call of Space or Drop.
func (i *Input) Bytes() []byte { return i.bytes }

// Len returns how many bytes are there.
func (i *Input) Len() int { return len(i.bytes) }

// Space returns room to read into, behind what is there; never empty.
func (i *Input) Space() []byte {
	if len(i.bytes) == cap(i.bytes) {
		grown := make([]byte, len(i.bytes), max(2*cap(i.bytes), firstInput))
		copy(grown, i.bytes)
		i.bytes = grown
	}
	return i.bytes[len(i.bytes):cap(i.bytes)]
}

// Took says that n bytes were read into Space.
func (i *Input) Took(n int) { i.bytes = i.bytes[:len(i.bytes)+n] }

// Drop removes the first n bytes.
func (i *Input) Drop(n int) {
	rest := copy(i.bytes, i.bytes[n:])
	i.bytes = i.bytes[:rest]
	if rest == 0 && cap(i.bytes) > keepInput {
		i.bytes = nil
	}
}
