package slottable

import "testing"

// A late answer for an operation that is over must not reach the operation
// that has its slot now.
func TestTable_Get_staleHandle(t *testing.T) {
	var table Table[string]
	first := table.Add("first")
	if !table.Remove(first) || table.Remove(first) {
		t.Fatal("a slot is dropped once")
	}
	second := table.Add("second")
	if first == second {
		t.Fatal("two uses of a slot have one Ref")
	}
	if got := table.Get(first); got != "" {
		t.Errorf("the stale Ref finds %q", got)
	}
	if got := table.Get(second); got != "second" || table.Len() != 1 {
		t.Errorf("the slot holds %q, %d in use", got, table.Len())
	}
	if table.Get(0) != "" || table.Get(1<<32|7) != "" {
		t.Error("a Ref never given finds something")
	}
}

func TestTable_All(t *testing.T) {
	var table Table[int]
	var refs []Handle
	for i := range 4 {
		refs = append(refs, table.Add(i))
	}
	table.Remove(refs[1])
	sum := 0
	table.All(func(handle Handle, v int) {
		if table.Get(handle) != v {
			t.Errorf("All gives %d under a Ref of %d", v, table.Get(handle))
		}
		sum += v
	})
	if sum != 0+2+3 {
		t.Errorf("All visits values that sum to %d", sum)
	}
}
