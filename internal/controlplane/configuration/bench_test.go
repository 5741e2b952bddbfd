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

// configurationWithRoutes is a configuration with many routes and a member of fill bytes in each.
func configurationWithRoutes(generation uint64, routes, padding int) string {
	list := make([]string, 0, routes)
	for number := 0; number < routes; number++ {
		route := strings.Replace(exampleRoute, "r-3d3zji9", fmt.Sprintf("r%d", number), 1)
		route = strings.Replace(route, "/lohu930/", fmt.Sprintf("/p%d/", number), 1)
		list = append(list, strings.Replace(route, "{", `{"fill":"`+strings.Repeat("x", padding)+`",`, 1))
	}
	return configurationOf(generation, list, []string{exampleService, examplePlainService})
}

// benchmarkReplace replaces a small configuration by one with many routes, each with fill bytes in an unknown member.
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
			b.Fatal(err)
		}
		if outcome, change := fresh.Apply(2, entry); outcome.Code != CodeAccepted || len(change.Put) < manyRoutes {
			b.Fatal(outcome)
		}
	}
}

// BenchmarkReplaceManyRoutes measures a replacement by 400 routes.
func BenchmarkReplaceManyRoutes(b *testing.B) { benchmarkReplace(b, 0) }

// BenchmarkReplaceFourMegabytes measures a replacement by 400 routes of 4 MiB in total.
func BenchmarkReplaceFourMegabytes(b *testing.B) { benchmarkReplace(b, largeDocumentBytes/manyRoutes) }

// BenchmarkUpdateAddsRoutes measures one update that adds 350 routes to 400.
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
			b.Fatal(outcome, len(change.Put))
		}
	}
}

// BenchmarkUpdateOfOneRoute measures an update of one of 400 routes.
func BenchmarkUpdateOfOneRoute(b *testing.B) {
	store := NewStore()
	mustAccept(b, store, replaceCommand(0, configurationWithRoutes(1, manyRoutes, 0)))
	b.ReportAllocs()
	generation := uint64(1)
	for b.Loop() {
		route := routeNamed("r3", "h", "/p3/", "huvo11a", int(generation))
		entry := EncodeCommand(updateCommand(generation, fmt.Sprintf(`{"generation":%d,"upsert":{"routes":[%s]}}`, generation+1, route)))
		if outcome, _ := store.Apply(generation, entry); outcome.Code != CodeAccepted {
			b.Fatal(outcome)
		}
		generation++
	}
}

// TestStore_Apply_largeDocuments applies what the benchmarks measure once.
func TestStore_Apply_largeDocuments(t *testing.T) {
	store := NewStore()
	mustAccept(t, store, replaceCommand(0, configurationWithRoutes(1, manyRoutes, largeDocumentBytes/manyRoutes)))
	mustAccept(t, store, replaceCommand(1, configurationWithRoutes(2, manyRoutes+addedRoutes, 0)))
	if len(store.Items()) != manyRoutes+addedRoutes+4 {
		t.Fatal(len(store.Items()))
	}
}
