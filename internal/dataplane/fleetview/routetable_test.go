package fleetview

import (
	"fmt"
	"maps"
	"math/rand"
	"runtime"
	"strings"
	"testing"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/configuration"
)

// viewOfRoutes returns a view with the given routes.
func viewOfRoutes(routes map[string]*configuration.Route) *View {
	table := newRouteTable()
	for _, route := range routes {
		table.put(route)
	}
	return &View{routes: table}
}

func TestView_MatchRoute_longestPrefix(t *testing.T) {
	builder := NewBuilder()
	source := configurationSource{store: configuration.NewStore()}
	builder.ApplyChange(shards.ConfigurationShard, source.replace(t, configurationJSON(1, "",
		routeJSON("all", "H.example:80", "/", 1), routeJSON("a", "h.example", "/a/", 1), routeJSON("ab", "h.example", "/a/b/", 1),
		routeJSON("other", "other.example", "/a/", 1))))
	for target, want := range map[[2]string]string{
		{"h.example", "/"}:          "all",
		{"h.example", "/a"}:         "all",
		{"h.example", "/a/"}:        "a",
		{"h.example", "/a/b"}:       "a",
		{"h.example", "/a/b/"}:      "ab",
		{"h.example", "/a/b/c/d"}:   "ab",
		{"h.example", "/ab/"}:       "all",
		{"h.example", "/a//b/"}:     "a",
		{"other.example", "/a/x"}:   "other",
		{"other.example", "/b/"}:    "",
		{"h.example", ""}:           "",
		{"h.example", "*"}:          "",
		{"unknown.example", "/a/x"}: "",
	} {
		got := ""
		if found := builder.View().MatchRoute(target[0], target[1]); found != nil {
			got = found.Name
		}
		if got != want {
			t.Errorf("MatchRoute(%q, %q) = %q, want %q", target[0], target[1], got, want)
		}
	}
}

// TestView_MatchRoute_randomRoutes compares MatchRoute with a linear search, on random routes and paths with a fixed
// seed.
func TestView_MatchRoute_randomRoutes(t *testing.T) {
	random := rand.New(rand.NewSource(11))
	randomPath := func(segmentLimit int) string { // fewer segments than segmentLimit
		path := "/"
		for range random.Intn(segmentLimit) {
			path += strings.Repeat("a", random.Intn(3)) + "/"
		}
		return path
	}
	for range 200 {
		routes := map[string]*configuration.Route{}
		for number := range 6 {
			prefix := randomPath(4)
			routes[prefix] = &configuration.Route{Name: fmt.Sprint(number), Hostname: "h", PathPrefix: prefix}
		}
		view := viewOfRoutes(routes)
		for range 20 {
			requestPath := randomPath(6) + strings.Repeat("a", random.Intn(2))
			var want *configuration.Route
			for prefix, candidate := range routes {
				if strings.HasPrefix(requestPath, prefix) && (want == nil || len(prefix) > len(want.PathPrefix)) {
					want = candidate
				}
			}
			if view.MatchRoute("h", requestPath) != want {
				t.Fatalf("MatchRoute of %s returned another route than the longest matching prefix of %v", requestPath, routes)
			}
		}
	}
}

// matchLinearly returns the name of the route with the longest prefix that matches a request, "" if none does.
func matchLinearly(routes map[string]*configuration.Route, host, path string) string {
	var longest *configuration.Route
	for _, route := range routes {
		if route.Hostname == host && strings.HasPrefix(path, route.PathPrefix) && (longest == nil || len(route.PathPrefix) > len(longest.PathPrefix)) {
			longest = route
		}
	}
	if longest == nil {
		return ""
	}
	return longest.Name
}

// TestBuilder_ApplyChange_randomRoutes applies random changes of routes, many of which take each other's place, and compares the
// new view and an earlier one with a linear search.
func TestBuilder_ApplyChange_randomRoutes(t *testing.T) {
	random := rand.New(rand.NewSource(14))
	prefixes := []string{"/", "/a/", "/a/a/", "/a/b/", "/ab/", "/b/", "/b/a/a/"}
	paths := append([]string{"", "/a/a", "/a/b/c", "/abc/", "/b/a/", "/c/"}, prefixes...)
	hosts := []string{"g", "h", "hh"}
	builder := NewBuilder()
	routes := map[string]*configuration.Route{}
	var earlier *View
	var earlierMatches map[[2]string]string
	matches := func(view *View) map[[2]string]string {
		found := map[[2]string]string{}
		for _, host := range hosts {
			for _, path := range paths {
				if route := view.MatchRoute(host, path); route != nil {
					found[[2]string{host, path}] = route.Name
				}
			}
		}
		return found
	}
	for index := uint64(1); index <= 400; index++ {
		change := feed.Change{Index: index}
		places := random.Perm(len(hosts) * len(prefixes))
		for number := range 10 { // a permutation gives each route a place of its own
			name := fmt.Sprint("r", number)
			if random.Intn(3) == 0 {
				change.Delete = append(change.Delete, configuration.KeyRoutePrefix+name)
				delete(routes, name)
				continue
			}
			place := places[number]
			raw := routeJSON(name, hosts[place%len(hosts)], prefixes[place/len(hosts)], 1+int(index))
			change.Put = append(change.Put, feed.Item{Key: configuration.KeyRoutePrefix + name, Value: []byte(raw)})
			route, err := configuration.ParseRoute([]byte(raw))
			if err != nil {
				t.Fatal(err)
			}
			routes[name] = &route
		}
		builder.ApplyChange(shards.ConfigurationShard, change)
		current := matches(builder.View())
		for _, host := range hosts {
			for _, path := range paths {
				if got, want := current[[2]string{host, path}], matchLinearly(routes, host, path); got != want {
					t.Fatalf("change %d: MatchRoute(%q, %q) = %q, want %q", index, host, path, got, want)
				}
			}
		}
		if earlier != nil && !maps.Equal(matches(earlier), earlierMatches) {
			t.Fatalf("change %d modified the view before it", index)
		}
		earlier, earlierMatches = builder.View(), current
	}
}

// builderWithRoutes returns a builder with that many routes.
func builderWithRoutes(count int) *Builder {
	items := []feed.Item{}
	for number := range count {
		raw := routeJSON(fmt.Sprint("r", number), "h", fmt.Sprintf("/p%d/", number), 1)
		items = append(items, feed.Item{Key: configuration.KeyRoutePrefix + fmt.Sprint("r", number), Value: []byte(raw)})
	}
	builder := NewBuilder()
	builder.ApplySnapshot(shards.ConfigurationShard, feed.Snapshot{Index: 1, Items: items})
	return builder
}

// changeOneRoute applies a change of one route.
func changeOneRoute(builder *Builder, index uint64) {
	builder.ApplyChange(shards.ConfigurationShard, feed.Change{Index: index, Put: []feed.Item{
		{Key: configuration.KeyGeneration, Value: fmt.Append(nil, index)},
		{Key: configuration.KeyRoutePrefix + "r3", Value: []byte(routeJSON("r3", "h", "/p3/", int(index)))},
	}})
}

// TestBuilder_ApplyChange_costOfOneRoute guards against a view that costs work in proportion to all routes for a change of one. What
// a change allocates stands for its cost, since it does not depend on the load of the machine.
func TestBuilder_ApplyChange_costOfOneRoute(t *testing.T) {
	const fewRoutes, mostRoutes, changes, mostTimesAsMuch = 350, 28000, 200, 3
	cost := func(routes int) uint64 {
		builder := builderWithRoutes(routes)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for index := range uint64(changes) {
			changeOneRoute(builder, index+2)
		}
		runtime.ReadMemStats(&after)
		return (after.TotalAlloc - before.TotalAlloc) / changes
	}
	if few, most := cost(fewRoutes), cost(mostRoutes); most > mostTimesAsMuch*few {
		t.Errorf("a change of one route allocates %d bytes with %d routes and %d with %d, want at most %d times as much", few, fewRoutes, most, mostRoutes, mostTimesAsMuch)
	}
}

// BenchmarkBuilder_ApplyChange_oneRouteOfMany measures a change of one route against the number of routes.
func BenchmarkBuilder_ApplyChange_oneRouteOfMany(b *testing.B) {
	for _, routes := range []int{350, 3000, 9100, 28000} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			builder := builderWithRoutes(routes)
			index := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				index++
				changeOneRoute(builder, index)
			}
		})
	}
}

func BenchmarkView_MatchRoute(b *testing.B) {
	routes := map[string]*configuration.Route{}
	for number := range 400 {
		prefix := fmt.Sprintf("/p%d/", number)
		routes[prefix] = &configuration.Route{Hostname: "h", PathPrefix: prefix}
	}
	view := viewOfRoutes(routes)
	b.ReportAllocs()
	for b.Loop() {
		if view.MatchRoute("h", "/p399/2f") == nil {
			b.Fatal("MatchRoute returned no route for /p399/2f")
		}
	}
}
