package proxy

import (
	"slices"
	"testing"

	"go.uber.org/zap"

	"ospreybend/coord/feed"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/controlplane/registry"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/util/bootconfig"
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

func TestViewPublisher_publishesOnceSynced(t *testing.T) {
	var published []*fleetview.View
	f := newViewPublisher(func(view *fleetview.View) { published = append(published, view) }, new(configConfirmation), zap.NewNop())
	f.Snapshot(0, feed.Snapshot{Index: 3, Items: configurationItems("3")})
	f.BatchDone()
	if published != nil {
		t.Fatal("published a configuration without the workers")
	}
	f.Status(feedtransport.Status{})
	if len(published) != 1 || published[0].Generation != 3 {
		t.Fatalf("%d views", len(published))
	}
	f.Status(feedtransport.Status{})
	f.BatchDone()
	if len(published) != 1 {
		t.Fatal("published without a change")
	}
	f.Change(0, feed.Change{Index: 5, Put: []feed.Item{{Key: configuration.KeyGeneration, Value: []byte("5")}}})
	f.BatchDone()
	if len(published) != 2 || published[1].Generation != 5 {
		t.Fatalf("%d views", len(published))
	}
}

func TestAgentFeedPort(t *testing.T) {
	port, err := agentFeedPort(&bootconfig.Settings{PortRange: [2]int{7660, 7675}})
	if err != nil || port != 7661 {
		t.Fatal(port, err)
	}
}

func TestClientConnectionLimit(t *testing.T) {
	for fds, want := range map[int]int{4100: 1950, 100: 1, 100000: maxClientConnections} {
		if got := clientConnectionLimit(bootconfig.Limits{MaxFds: fds}); got != want {
			t.Errorf("%d: %d", fds, got)
		}
	}
}
