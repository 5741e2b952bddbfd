// Package slottable keeps things in numbered slots that are used again. Each use of
// a slot has a generation of its own, so that a stale number finds nothing.
package slottable

// Ref names one use of one slot. The zero Ref names nothing.
type Ref uint64

func refOf(index int, generation uint32) Ref {
	return Ref(generation)<<32 | Ref(uint32(index))
}

func (r Ref) index() int         { return int(uint32(r)) }
func (r Ref) generation() uint32 { return uint32(r >> 32) }

type row[T any] struct {
	value      T
	generation uint32
	used       bool
}

// Table is a table of slots. Its zero value is empty and ready for use.
type Table[T any] struct {
	rows []row[T]
	free []int
}

// Add puts a value into a free slot and returns its Ref.
func (t *Table[T]) Add(v T) Ref {
	var i int
	if n := len(t.free); n > 0 {
		i, t.free = t.free[n-1], t.free[:n-1]
	} else {
		i = len(t.rows)
		t.rows = append(t.rows, row[T]{})
	}
	r := &t.rows[i]
	r.generation++
	if r.generation == 0 {
		r.generation = 1 // generation 0 would make the zero Ref valid
	}
	r.value, r.used = v, true
	return refOf(i, r.generation)
}

func (t *Table[T]) find(ref Ref) *row[T] {
	i := ref.index()
	if i >= len(t.rows) || !t.rows[i].used || t.rows[i].generation != ref.generation() {
		return nil
	}
	return &t.rows[i]
}

// Get returns the value that ref names, or the zero value where it is stale.
func (t *Table[T]) Get(ref Ref) T {
	if r := t.find(ref); r != nil {
		return r.value
	}
	var none T
	return none
}

// Drop empties the slot that ref names, and tells whether there was one.
func (t *Table[T]) Drop(ref Ref) bool {
	r := t.find(ref)
	if r == nil {
		return false
	}
	var none T
	r.value, r.used = none, false
	t.free = append(t.free, ref.index())
	return true
}

// Len returns the number of slots in use.
func (t *Table[T]) Len() int { return len(t.rows) - len(t.free) }

// All calls f for each value in use, in the order of the slots.
func (t *Table[T]) All(f func(Ref, T)) {
	for i := range t.rows {
		if r := &t.rows[i]; r.used {
			f(refOf(i, r.generation), r.value)
		}
	}
}
