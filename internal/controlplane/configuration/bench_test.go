package configuration

import (
	"fmt"
	"strings"
	"testing"
)

const (
	manyRoutes  = 400
	largeBytes  = 4 << 20
	routesAdded = 350
)

// manyWhole is a configuration with many routes and a member of fill bytes in each.
func manyWhole(generation uint64, routes, fill int) string {
	list := make([]string, 0, routes)
	for number := 0; number < routes; number++ {
		route := strings.Replace(exampleRoute, "r-3d3zji9", fmt.Sprintf("r%d", number), 1)
		route = strings.Replace(route, "/lohu930/", fmt.Sprintf("/p%d/", number), 1)
		list = append(list, strings.Replace(route, "{", `{"fill":"`+strings.Repeat("x", fill)+`",`, 1))
	}
	return wholeOf(generation, list, []string{exampleService, examplePlainService})
}

func benchmarkReplace(b *testing.B, fill int) {
	store := NewStore()
	mustAccept(b, store, replaceCommand(0, exampleWhole(1)))
	body := []byte(manyWhole(2, manyRoutes, fill))
	entry := EncodeCommand(Command{Kind: Replace, Base: 1, Body: body})
	start := store.Snapshot()
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		fresh := NewStore()
		if err := fresh.Restore(start); err != nil {
			b.Fatal(err)
		}
		if outcome, change := fresh.Apply(2, entry); outcome.Code != Accepted || len(change.Put) < manyRoutes {
			b.Fatal(outcome)
		}
	}
}

func BenchmarkReplaceManyRoutes(b *testing.B) { benchmarkReplace(b, 0) }

func BenchmarkReplaceFourMegabytes(b *testing.B) { benchmarkReplace(b, largeBytes/manyRoutes) }

// BenchmarkUpdateAddsRoutes applies one update that adds many routes to many.
func BenchmarkUpdateAddsRoutes(b *testing.B) {
	whole := manyWhole(1, manyRoutes, 0)
	added := strings.NewReplacer(`"r`, `"q`, "/p", "/q").Replace(manyWhole(2, routesAdded, 0))
	routes := added[strings.Index(added, "["):strings.Index(added, `,"services"`)]
	routes = strings.ReplaceAll(strings.ReplaceAll(routes, `"qoute`, `"route`), `"qesum`, `"resum`)
	entry := EncodeCommand(updateCommand(1, `{"generation":2,"upsert":{"routes":`+routes+`}}`))
	store := NewStore()
	mustAccept(b, store, replaceCommand(0, whole))
	held := *store
	b.ReportAllocs()
	for b.Loop() {
		fresh := held
		fresh.accepted = map[digest]struct{}{}
		fresh.order = nil
		if outcome, change := fresh.Apply(2, entry); outcome.Code != Accepted || len(change.Put) != routesAdded+1 {
			b.Fatal(outcome, len(change.Put))
		}
	}
}

func BenchmarkUpdateOfOneRoute(b *testing.B) {
	store := NewStore()
	mustAccept(b, store, replaceCommand(0, manyWhole(1, manyRoutes, 0)))
	b.ReportAllocs()
	generation := uint64(1)
	for b.Loop() {
		route := routeNamed("r3", "h", "/p3/", "huvo11a", int(generation))
		entry := EncodeCommand(updateCommand(generation, fmt.Sprintf(`{"generation":%d,"upsert":{"routes":[%s]}}`, generation+1, route)))
		if outcome, _ := store.Apply(generation, entry); outcome.Code != Accepted {
			b.Fatal(outcome)
		}
		generation++
	}
}

// TestLargeConfigurations applies what the benchmarks measure once.
func TestLargeConfigurations(t *testing.T) {
	store := NewStore()
	mustAccept(t, store, replaceCommand(0, manyWhole(1, manyRoutes, largeBytes/manyRoutes)))
	mustAccept(t, store, replaceCommand(1, manyWhole(2, manyRoutes+routesAdded, 0)))
	if len(store.Items()) != manyRoutes+routesAdded+4 {
		t.Fatal(len(store.Items()))
	}
}
