package proxy

import (
	"slices"
	"testing"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/registry"
	"ospreybend/internal/dataplane/fleetview"
)

func testWorker(id, address string) *fleetview.Worker {
	return &fleetview.Worker{Instance: registry.Instance{ID: id, Service: "s", Address: address}}
}

func testView(maxConnections, nodes int, workers ...*fleetview.Worker) *fleetview.View {
	return &fleetview.View{
		EdgeNodeCount: nodes,
		Services:      map[string]*configuration.Service{"s": {Name: "s", MaxConnections: maxConnections}},
		Workers:       map[string][]*fleetview.Worker{"s": workers},
	}
}

func TestConnLimits_limit(t *testing.T) {
	for _, c := range []struct{ maxConnections, nodes, want int }{{360, 8, 40}, {10, 8, 2}, {0, 8, 0}, {100, 0, 50}} {
		var limits connLimits
		limits.update(testView(c.maxConnections, c.nodes, testWorker("a", "1:1")))
		if got := limits.limit("1:1"); got != c.want {
			t.Errorf("service with %d connections, %d edge nodes: limit %d, want %d", c.maxConnections, c.nodes, got, c.want)
		}
	}
}

func TestConnLimits_update_returnsRemovedAddresses(t *testing.T) {
	var limits connLimits
	if limits.limit("1:1") != 0 || limits.update(testView(9, 1, testWorker("a", "1:1"), testWorker("b", "1:2"))) != nil {
		t.Fatal("there was a limit before the first view, or the first view removed an address")
	}
	removed := limits.update(testView(9, 1, testWorker("b", "1:2"), testWorker("c", "1:3")))
	if !slices.Equal(removed, []string{"1:1"}) || limits.limit("1:1") != 0 || limits.limit("1:3") == 0 {
		t.Fatalf("removed addresses %v, limit %d of the removed worker and %d of the added one; want [1:1], 0 and a limit above 0",
			removed, limits.limit("1:1"), limits.limit("1:3"))
	}
}
