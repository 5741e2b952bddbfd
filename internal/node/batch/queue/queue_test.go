package queue

import (
	"cmp"
	"flag"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// A fixed seed makes every run draw the same cases; -rapid.seed=0 draws others.
func init() { _ = flag.Set("rapid.seed", "20261201") }

// Under random calls of Put, Remove and First the queue has the order and the jobs of a sorted list.
func TestQueue_order(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int]()
		var model []Key
		compareKeys := func(a, b Key) int {
			return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Start, b.Start), cmp.Compare(a.Seq, b.Seq),
				cmp.Compare(a.ID, b.ID))
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "calls") {
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0, 1:
				key := Key{rapid.IntRange(-2, 2).Draw(t, "priority"), int64(rapid.IntRange(0, 3).Draw(t, "start")),
					int64(rapid.IntRange(0, 3).Draw(t, "seq")), strconv.Itoa(i)}
				q.Put(key, i)
				model = append(model, key)
				slices.SortFunc(model, compareKeys)
			case 2:
				if len(model) > 0 {
					index := rapid.IntRange(0, len(model)-1).Draw(t, "which")
					if !q.Remove(model[index]) || q.Remove(model[index]) {
						t.Fatalf("removing %+v twice: want true, then false", model[index])
					}
					model = slices.Delete(model, index, index+1)
				}
			default:
				got, ok := q.First()
				if ok != (len(model) > 0) || ok && strconv.Itoa(got) != model[0].ID {
					t.Fatalf("First returned job %d, %v; want the first of %v", got, ok, model)
				}
			}
			var ids []string
			q.All(func(v int) bool { ids = append(ids, strconv.Itoa(v)); return true })
			if q.Len() != len(model) || !slices.EqualFunc(ids, model, func(id string, p Key) bool { return id == p.ID }) {
				t.Fatalf("the queue has %d jobs, in order %v; want %v", q.Len(), ids, model)
			}
		}
	})
}
