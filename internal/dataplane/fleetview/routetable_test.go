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
		view := &View{routes: newRouteTable(routes)}
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
			b.Fatal("MatchRoute returned no route for /p399/2f")
		}
	}
}
