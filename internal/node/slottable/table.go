// Package slottable keeps things in numbered slots that are used again. Each use of
// a slot has a generation of its own, so that a stale number finds nothing.
package slottable

// Handle names one use of one slot. The zero Handle names nothing.
type Handle uint64

func newHandle(index int, generation uint32) Handle {
	return Handle(generation)<<32 | Handle(uint32(index))
}

func (r Handle) index() int         { return int(uint32(r)) }
func (r Handle) generation() uint32 { return uint32(r >> 32) }

type slot[T any] struct {
	value      T
	generation uint32
	used       bool
}

// Table is a table of slots. Its zero value is empty and ready for use.
type Table[T any] struct {
	slots []slot[T]
	free  []int
}

// Add puts a value into a free slot and returns its Ref.
func (t *Table[T]) Add(v T) Handle {
	var i int
	if n := len(t.free); n > 0 {
		i, t.free = t.free[n-1], t.free[:n-1]
	} else {
		i = len(t.slots)
		t.slots = append(t.slots, slot[T]{})
	}
	r := &t.slots[i]
	r.generation++
	if r.generation == 0 {
		r.generation = 1 // generation 0 would make the zero Ref valid
	}
	r.value, r.used = v, true
	return newHandle(i, r.generation)
}

func (t *Table[T]) find(handle Handle) *slot[T] {
	i := handle.index()
	if i >= len(t.slots) || !t.slots[i].used || t.slots[i].generation != handle.generation() {
		return nil
	}
	return &t.slots[i]
}

// Get returns the value that ref names, or the zero value where it is stale.
func (t *Table[T]) Get(handle Handle) T {
	if r := t.find(handle); r != nil {
		return r.value
	}
	var none T
	return none
}

// Remove empties the slot that ref names, and tells whether there was one.
func (t *Table[T]) Remove(handle Handle) bool {
	r := t.find(handle)
	if r == nil {
		return false
	}
	var none T
	r.value, r.used = none, false
	t.free = append(t.free, handle.index())
	return true
}

// Len returns the number of slots in use.
func (t *Table[T]) Len() int { return len(t.slots) - len(t.free) }

// All calls f for each value in use, in the order of the slots.
func (t *Table[T]) All(f func(Handle, T)) {
	for i := range t.slots {
		if r := &t.slots[i]; r.used {
			f(newHandle(i, r.generation), r.value)
		}
	}
}
