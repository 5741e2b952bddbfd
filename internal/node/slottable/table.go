// Package slottable is a generational arena: a table of values whose slots are reused. Each use
// of a slot has a generation of its own, so that a stale handle finds nothing.
package slottable

// Handle identifies one use of one slot. The zero Handle is never valid.
type Handle uint64

func newHandle(index int, generation uint32) Handle {
	return Handle(generation)<<32 | Handle(uint32(index))
}

func (h Handle) index() int         { return int(uint32(h)) }
func (h Handle) generation() uint32 { return uint32(h >> 32) }

type slot[T any] struct {
	value      T
	generation uint32
	used       bool
}

// Table is a table of slots. Its zero value is empty and ready for use.
type Table[T any] struct {
	slots []slot[T]
	free  []int // indices of the free slots
}

// Add puts a value into a free slot and returns its handle.
func (t *Table[T]) Add(v T) Handle {
	var i int
	if n := len(t.free); n > 0 {
		i, t.free = t.free[n-1], t.free[:n-1]
	} else {
		i = len(t.slots)
		t.slots = append(t.slots, slot[T]{})
	}
	s := &t.slots[i]
	s.generation++
	if s.generation == 0 {
		s.generation = 1 // generation 0 would make the zero Handle valid
	}
	s.value, s.used = v, true
	return newHandle(i, s.generation)
}

// find returns the slot that a handle identifies, or nil if the handle is stale.
func (t *Table[T]) find(handle Handle) *slot[T] {
	i := handle.index()
	if i >= len(t.slots) || !t.slots[i].used || t.slots[i].generation != handle.generation() {
		return nil
	}
	return &t.slots[i]
}

// Get returns the value of a handle, or the zero value if the handle is stale.
func (t *Table[T]) Get(handle Handle) T {
	if s := t.find(handle); s != nil {
		return s.value
	}
	var zero T
	return zero
}

// Remove frees the slot of a handle. It returns false if the handle is stale.
func (t *Table[T]) Remove(handle Handle) bool {
	s := t.find(handle)
	if s == nil {
		return false
	}
	var zero T
	s.value, s.used = zero, false
	t.free = append(t.free, handle.index())
	return true
}

// Len returns the number of slots in use.
func (t *Table[T]) Len() int { return len(t.slots) - len(t.free) }

// All calls f for each value, in the order of the slots.
func (t *Table[T]) All(f func(Handle, T)) {
	for i := range t.slots {
		if s := &t.slots[i]; s.used {
			f(newHandle(i, s.generation), s.value)
		}
	}
}
