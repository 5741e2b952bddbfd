package queue

import (
	"cmp"
	"flag"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// The cases drawn are the same in each run; -rapid.seed=0 draws others.
func init() { _ = flag.Set("rapid.seed", "20261201") }

// The queue against a sorted list, with random calls of Put, Remove and First.
func TestQueue_order(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int]()
		var model []Key
		order := func(a, b Key) int {
			return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Start, b.Start), cmp.Compare(a.Seq, b.Seq),
				cmp.Compare(a.ID, b.ID))
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "calls") {
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0, 1:
				p := Key{rapid.IntRange(-2, 2).Draw(t, "priority"), int64(rapid.IntRange(0, 3).Draw(t, "start")),
					int64(rapid.IntRange(0, 3).Draw(t, "seq")), strconv.Itoa(i)}
				q.Put(p, i)
				model = append(model, p)
				slices.SortFunc(model, order)
			case 2:
				if len(model) > 0 {
					at := rapid.IntRange(0, len(model)-1).Draw(t, "which")
					if !q.Remove(model[at]) || q.Remove(model[at]) {
						t.Fatal("dropped not exactly once")
					}
					model = slices.Delete(model, at, at+1)
				}
			default:
				got, ok := q.First()
				if ok != (len(model) > 0) || ok && strconv.Itoa(got) != model[0].ID {
					t.Fatalf("first %d, %v, of %v", got, ok, model)
				}
			}
			var ids []string
			q.All(func(v int) bool { ids = append(ids, strconv.Itoa(v)); return true })
			if q.Len() != len(model) || !slices.EqualFunc(ids, model, func(id string, p Key) bool { return id == p.ID }) {
				t.Fatalf("%v in the queue, %v in the model", ids, model)
			}
		}
	})
}
