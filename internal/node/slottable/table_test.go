package slottable

import "testing"

// A late response to a finished operation must not reach the operation that has its slot now.
func TestTable_Get_staleHandle(t *testing.T) {
	var table Table[string]
	first := table.Add("first")
	if !table.Remove(first) || table.Remove(first) {
		t.Fatal("Remove called twice: want true, then false")
	}
	second := table.Add("second")
	if first == second {
		t.Fatalf("two uses of a slot have the same handle %#x", first)
	}
	if got := table.Get(first); got != "" {
		t.Errorf("Get with the stale handle: got %q, want the zero value", got)
	}
	if got := table.Get(second); got != "second" || table.Len() != 1 {
		t.Errorf("Get with the valid handle: got %q, %d slots in use, want %q, 1 slot", got, table.Len(), "second")
	}
	if table.Get(0) != "" || table.Get(1<<32|7) != "" {
		t.Error("Get with a handle that Add never returned: got a value, want the zero value")
	}
}

func TestTable_All(t *testing.T) {
	var table Table[int]
	var handles []Handle
	for i := range 4 {
		handles = append(handles, table.Add(i))
	}
	table.Remove(handles[1])
	sum := 0
	table.All(func(handle Handle, v int) {
		if got := table.Get(handle); got != v {
			t.Errorf("All passes the value %d with a handle for which Get returns %d", v, got)
		}
		sum += v
	})
	if sum != 0+2+3 {
		t.Errorf("All: got values with the sum %d, want %d", sum, 0+2+3)
	}
}
