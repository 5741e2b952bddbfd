package configuration

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// Sizes of configurations, in routes. The largest has about maxDocumentBytes of routes like those of the operators' pages.
const (
	fewRoutes  = 350
	mostRoutes = 28000
)

// smallChange is a kind of change that touches a fixed number of items.
type smallChange struct {
	name string
	want Code
	body func(generation uint64) string
}

// smallChanges returns changes of one item each, accepted and rejected ones: a rejected change is a log entry as well.
func smallChanges() []smallChange {
	upsert := func(route string) func(uint64) string {
		return func(generation uint64) string {
			return fmt.Sprintf(`{"generation":%d,"upsert":{"routes":[%s]}}`, generation, strings.ReplaceAll(route, "TIMEOUT", fmt.Sprint(1000+generation)))
		}
	}
	const members = `"timeoutMs":TIMEOUT,"service":`
	return []smallChange{
		{"replace a route", CodeAccepted, upsert(`{"name":"r3","hostname":"h","pathPrefix":"/p3/",` + members + `"s1"}`)},
		{"same match", CodeDuplicateMatch, upsert(`{"name":"new","hostname":"h","pathPrefix":"/p3/",` + members + `"s1"}`)},
		{"unknown service", CodeUnknownService, upsert(`{"name":"new","hostname":"h","pathPrefix":"/new/",` + members + `"s0"}`)},
		{"add and remove a route", CodeAccepted, func(generation uint64) string {
			return fmt.Sprintf(`{"generation":%d,"upsert":{"routes":[{"name":"a%d","hostname":"h","pathPrefix":"/a%d/","timeoutMs":9,"service":"s1"}]},"remove":{"routes":["a%d"]}}`,
				generation, generation, generation, generation-1)
		}},
		{"remove a used service", CodeUnknownService, func(generation uint64) string {
			return fmt.Sprintf(`{"generation":%d,"remove":{"services":["s1"]}}`, generation)
		}},
	}
}

// storeWithRoutes returns a store with that many routes of service s1.
func storeWithRoutes(t testing.TB, routes int) *Store {
	t.Helper()
	list := make([]string, routes)
	for number := range list {
		list[number] = routeNamed(fmt.Sprintf("r%d", number), "h", fmt.Sprintf("/p%d/", number), "s1", 1+number)
	}
	store := NewStore()
	mustAccept(t, store, replaceCommand(0, fmt.Sprintf(`{"generation":1,"routes":[%s],"services":[{"name":"s1"}]}`, strings.Join(list, ","))))
	return store
}

// applySmall applies a change to the store and checks its outcome.
func applySmall(t testing.TB, store *Store, index uint64, change smallChange) {
	base := store.Generation()
	outcome, _ := store.Apply(index, EncodeCommand(updateCommand(base, change.body(base+1))))
	if outcome.Code != change.want {
		t.Fatalf("%s: got %+v, want code %v", change.name, outcome, change.want)
	}
}

// bytesPerChange returns the memory that a change allocates on average in a store with that many routes.
func bytesPerChange(t *testing.T, routes int, change smallChange) uint64 {
	const changes = 200
	store := storeWithRoutes(t, routes)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for index := range uint64(changes) {
		applySmall(t, store, index+2, change)
	}
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / changes
}

// TestStore_Apply_costOfSmallChange guards against a small change that costs work in proportion to the whole configuration:
// servers that returned applied some thousand of them for longer than the operators' bounds, and answered nothing meanwhile. What
// a change allocates stands for its cost, since it does not depend on the load of the machine.
func TestStore_Apply_costOfSmallChange(t *testing.T) {
	const mostTimesAsMuch = 3 // routes grow 80 times; the depth of a tree grows by less than this
	for _, change := range smallChanges() {
		few, most := bytesPerChange(t, fewRoutes, change), bytesPerChange(t, mostRoutes, change)
		t.Logf("%s: %d bytes with %d routes, %d with %d", change.name, few, fewRoutes, most, mostRoutes)
		if most > mostTimesAsMuch*few {
			t.Errorf("%s: allocates %d bytes with %d routes and %d with %d, want at most %d times as much", change.name, few, fewRoutes, most, mostRoutes, mostTimesAsMuch)
		}
	}
}

// BenchmarkStore_Apply_smallChange measures small changes against the number of routes.
func BenchmarkStore_Apply_smallChange(b *testing.B) {
	for _, change := range smallChanges() {
		for _, routes := range []int{fewRoutes, 3000, 9100, mostRoutes} {
			b.Run(fmt.Sprintf("%s/routes=%d", strings.ReplaceAll(change.name, " ", "-"), routes), func(b *testing.B) {
				store := storeWithRoutes(b, routes)
				b.ReportAllocs()
				index := uint64(1)
				for b.Loop() {
					index++
					applySmall(b, store, index, change)
				}
			})
		}
	}
}

// BenchmarkStore_snapshot measures what taking and restoring a snapshot costs against the number of routes.
func BenchmarkStore_snapshot(b *testing.B) {
	for _, routes := range []int{fewRoutes, 3000, 9100, mostRoutes} {
		store := storeWithRoutes(b, routes)
		snapshot := store.Snapshot()
		b.Run(fmt.Sprintf("take/routes=%d", routes), func(b *testing.B) {
			for b.Loop() {
				store.Snapshot()
			}
		})
		b.Run(fmt.Sprintf("restore/routes=%d", routes), func(b *testing.B) {
			for b.Loop() {
				if err := store.Restore(snapshot); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
