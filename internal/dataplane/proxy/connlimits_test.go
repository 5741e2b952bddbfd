package proxy

import (
	"slices"
	"testing"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/registry"
	"ospreybend/internal/dataplane/fleetview"
)

func worker(id, address string) *fleetview.Worker {
	return &fleetview.Worker{Instance: registry.Instance{ID: id, Service: "s", Address: address}}
}

func viewOf(maxConnections, nodes int, workers ...*fleetview.Worker) *fleetview.View {
	return &fleetview.View{
		EdgeNodeCount: nodes,
		Services:      map[string]*configuration.Service{"s": {Name: "s", MaxConnections: maxConnections}},
		Workers:       map[string][]*fleetview.Worker{"s": workers},
	}
}

func TestConnLimits_limit(t *testing.T) {
	for _, c := range []struct{ most, nodes, want int }{{360, 8, 40}, {10, 8, 2}, {0, 8, 0}, {100, 0, 50}} {
		var limits connLimits
		limits.update(viewOf(c.most, c.nodes, worker("a", "1:1")))
		if got := limits.limit("1:1"); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}

func TestConnLimits_update_returnsRemovedAddresses(t *testing.T) {
	var limits connLimits
	if limits.limit("1:1") != 0 || limits.update(viewOf(9, 1, worker("a", "1:1"), worker("b", "1:2"))) != nil {
		t.Fatal("something before the first view")
	}
	removed := limits.update(viewOf(9, 1, worker("b", "1:2"), worker("c", "1:3")))
	if !slices.Equal(removed, []string{"1:1"}) || limits.limit("1:1") != 0 || limits.limit("1:3") == 0 {
		t.Fatal(removed)
	}
}
