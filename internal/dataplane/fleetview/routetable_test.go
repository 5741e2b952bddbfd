package fleetview

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/configuration"
)

func TestView_MatchRoute_longestPrefix(t *testing.T) {
	builder := NewBuilder()
	from := configurationSource{store: configuration.NewStore()}
	builder.ApplyChange(shards.ConfigurationShard, from.replace(t, configurationJSON(1, "",
		routeJSON("all", "H.example:80", "/", 1), routeJSON("a", "h.example", "/a/", 1), routeJSON("ab", "h.example", "/a/b/", 1),
		routeJSON("other", "other.example", "/a/", 1))))
	for target, expected := range map[[2]string]string{
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
		name := ""
		if found := builder.View().MatchRoute(target[0], target[1]); found != nil {
			name = found.Name
		}
		if name != expected {
			t.Errorf("%v: %q, not %q", target, name, expected)
		}
	}
}

// TestView_MatchRoute_randomRoutes compares with a linear search, on random routes with a fixed seed.
func TestView_MatchRoute_randomRoutes(t *testing.T) {
	random := rand.New(rand.NewSource(11))
	path := func(parts int) string {
		text := "/"
		for range random.Intn(parts) {
			text += strings.Repeat("a", random.Intn(3)) + "/"
		}
		return text
	}
	for range 200 {
		routes := map[string]*configuration.Route{}
		for number := range 6 {
			prefix := path(4)
			routes[prefix] = &configuration.Route{Name: fmt.Sprint(number), Hostname: "h", PathPrefix: prefix}
		}
		view := &View{routes: newRouteTable(routes)}
		for range 20 {
			asked := path(6) + strings.Repeat("a", random.Intn(2))
			var expected *configuration.Route
			for prefix, candidate := range routes {
				if strings.HasPrefix(asked, prefix) && (expected == nil || len(prefix) > len(expected.PathPrefix)) {
					expected = candidate
				}
			}
			if view.MatchRoute("h", asked) != expected {
				t.Fatalf("%s among %v", asked, routes)
			}
		}
	}
}

func BenchmarkView_MatchRoute(b *testing.B) {
	routes := map[string]*configuration.Route{}
	for number := range 400 {
		prefix := fmt.Sprintf("/p%d/", number)
		routes[prefix] = &configuration.Route{Hostname: "h", PathPrefix: prefix}
	}
	view := &View{routes: newRouteTable(routes)}
	b.ReportAllocs()
	for b.Loop() {
		if view.MatchRoute("h", "/p399/2f") == nil {
			b.Fatal()
		}
	}
}
