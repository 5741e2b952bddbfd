package configuration

import (
	"fmt"
	"strings"
	"testing"
)

const (
	manyRoutes         = 400
	largeDocumentBytes = 4 << 20
	addedRoutes        = 350
)

// configurationWithRoutes returns a configuration with that many routes, each with an unknown member of padding bytes.
func configurationWithRoutes(generation uint64, routes, padding int) string {
	list := make([]string, 0, routes)
	for number := 0; number < routes; number++ {
		route := strings.Replace(exampleRoute, "r-3d3zji9", fmt.Sprintf("r%d", number), 1)
		route = strings.Replace(route, "/lohu930/", fmt.Sprintf("/p%d/", number), 1)
		list = append(list, strings.Replace(route, "{", `{"fill":"`+strings.Repeat("x", padding)+`",`, 1))
	}
	return configurationOf(generation, list, []string{exampleService, examplePlainService})
}

// benchmarkReplace measures the replacement of a small configuration by one with 400 routes, each with an unknown member of
// padding bytes.
func benchmarkReplace(b *testing.B, padding int) {
	store := NewStore()
	mustAccept(b, store, replaceCommand(0, exampleConfiguration(1)))
	body := []byte(configurationWithRoutes(2, manyRoutes, padding))
	entry := EncodeCommand(Command{Kind: CommandReplace, Base: 1, Body: body})
	start := store.Snapshot()
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		fresh := NewStore()
		if err := fresh.Restore(start); err != nil {
			b.Fatalf("restore the initial snapshot: %v", err)
		}
		if outcome, change := fresh.Apply(2, entry); outcome.Code != CodeAccepted || len(change.Put) < manyRoutes {
			b.Fatalf("replace: got %+v with %d changed items, want code %s and at least %d items", outcome, len(change.Put), CodeAccepted, manyRoutes)
		}
	}
}

// BenchmarkReplaceManyRoutes measures a replacement by a configuration with 400 routes.
func BenchmarkReplaceManyRoutes(b *testing.B) { benchmarkReplace(b, 0) }

// BenchmarkReplaceFourMegabytes measures a replacement by a configuration with 400 routes of 4 MiB in total.
func BenchmarkReplaceFourMegabytes(b *testing.B) { benchmarkReplace(b, largeDocumentBytes/manyRoutes) }

// BenchmarkUpdateAddsRoutes measures one update that adds 350 routes to a configuration with 400.
func BenchmarkUpdateAddsRoutes(b *testing.B) {
	body := configurationWithRoutes(1, manyRoutes, 0)
	added := strings.NewReplacer(`"r`, `"q`, "/p", "/q").Replace(configurationWithRoutes(2, addedRoutes, 0))
	routes := added[strings.Index(added, "["):strings.Index(added, `,"services"`)]
	routes = strings.ReplaceAll(strings.ReplaceAll(routes, `"qoute`, `"route`), `"qesum`, `"resum`)
	entry := EncodeCommand(updateCommand(1, `{"generation":2,"upsert":{"routes":`+routes+`}}`))
	store := NewStore()
	mustAccept(b, store, replaceCommand(0, body))
	initial := *store
	b.ReportAllocs()
	for b.Loop() {
		fresh := initial
		fresh.accepted = map[commandDigest]struct{}{}
		fresh.acceptedOrder = nil
		if outcome, change := fresh.Apply(2, entry); outcome.Code != CodeAccepted || len(change.Put) != addedRoutes+1 {
			b.Fatalf("update that adds %d routes: got %+v with %d changed items, want code %s and %d items", addedRoutes, outcome, len(change.Put), CodeAccepted, addedRoutes+1)
		}
	}
}

// BenchmarkUpdateOfOneRoute measures an update that replaces one of 400 routes.
func BenchmarkUpdateOfOneRoute(b *testing.B) {
	store := NewStore()
	mustAccept(b, store, replaceCommand(0, configurationWithRoutes(1, manyRoutes, 0)))
	b.ReportAllocs()
	generation := uint64(1)
	for b.Loop() {
		route := routeNamed("r3", "h", "/p3/", "huvo11a", int(generation))
		entry := EncodeCommand(updateCommand(generation, fmt.Sprintf(`{"generation":%d,"upsert":{"routes":[%s]}}`, generation+1, route)))
		if outcome, _ := store.Apply(generation, entry); outcome.Code != CodeAccepted {
			b.Fatalf("update on generation %d: got %+v, want code %s", generation, outcome, CodeAccepted)
		}
		generation++
	}
}

// TestStore_Apply_largeDocuments applies replacements as large as those of the benchmarks once, and checks the number of
// items.
func TestStore_Apply_largeDocuments(t *testing.T) {
	store := NewStore()
	mustAccept(t, store, replaceCommand(0, configurationWithRoutes(1, manyRoutes, largeDocumentBytes/manyRoutes)))
	mustAccept(t, store, replaceCommand(1, configurationWithRoutes(2, manyRoutes+addedRoutes, 0)))
	if got, want := len(store.Items()), manyRoutes+addedRoutes+4; got != want {
		t.Fatalf("got %d feed items, want %d", got, want)
	}
}
