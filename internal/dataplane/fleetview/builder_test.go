package fleetview

import (
	"fmt"
	"math/rand"
	"reflect"
	"sort"
	"strings"
	"testing"
	"time"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/registry"
)

const instanceShard shards.ID = 2

func routeJSON(name, host, prefix string, timeout int) string {
	return fmt.Sprintf(`{"name":%q,"hostname":%q,"pathPrefix":%q,"timeoutMs":%d,"service":"s"}`, name, host, prefix, timeout)
}

func configurationJSON(generation int, limits string, routes ...string) []byte {
	return []byte(fmt.Sprintf(`{"generation":%d,"routes":[%s],"services":[{"name":"s"}]%s}`, generation, strings.Join(routes, ","), limits))
}

// configurationSource is the configuration's shard that a builder follows.
type configurationSource struct {
	store *configuration.Store
	index uint64
}

func (s *configurationSource) replace(t testing.TB, body []byte) feed.Change {
	t.Helper()
	s.index++
	command := configuration.Command{Kind: configuration.CommandReplace, Base: s.store.Generation(), Body: body}
	outcome, change := s.store.Apply(s.index, configuration.EncodeCommand(command))
	if outcome.Code != configuration.CodeAccepted {
		t.Fatalf("%+v", outcome)
	}
	return change
}

func instanceItem(id, service, stage string, state registry.State) feed.Item {
	instance := registry.Instance{ID: id, Service: service, Address: "1.2.3.4:5", Stage: stage, State: state, Slots: 1}
	return feed.Item{Key: id, Value: registry.EncodeItem(instance)}
}

func ids(workers []*Worker) []string {
	var list []string
	for _, worker := range workers {
		list = append(list, worker.ID)
	}
	return list
}

func TestNewBuilder_emptyView(t *testing.T) {
	builder := NewBuilder()
	view := builder.View()
	if builder.HasConfiguration() || view.Generation != 0 || view.EdgeNodeCount != 1 || view.MatchRoute("h", "/") != nil {
		t.Fatalf("%+v", view)
	}
	if view.Limits != configuration.DefaultLimits() || len(builder.Indexes()) != 0 {
		t.Fatalf("%+v", view.Limits)
	}
}

func TestBuilder_ApplyChange_configurationIsAtomic(t *testing.T) {
	builder := NewBuilder()
	from := configurationSource{store: configuration.NewStore()}
	first := from.replace(t, configurationJSON(1, `,"limits":{"maxBodyBytes":9}`, routeJSON("a", "h", "/a/", 1000), routeJSON("b", "h", "/b/", 1000)))
	if !builder.ApplyChange(shards.ConfigurationShard, first) || !builder.HasConfiguration() {
		t.Fatal("not ready")
	}
	before := builder.View()
	if before.Limits.MaxBodyBytes != 9 || before.Services["s"].Name != "s" {
		t.Fatalf("%+v", before)
	}
	unchanged := before.MatchRoute("h", "/b/")
	builder.ApplyChange(shards.ConfigurationShard, from.replace(t, configurationJSON(4, "", routeJSON("c", "h", "/a/", 2000), routeJSON("b", "h", "/b/", 1000))))
	after := builder.View()
	if after.Generation != 4 || after.MatchRoute("h", "/a/x").Timeout != 2*time.Second || after.Limits != configuration.DefaultLimits() {
		t.Fatalf("%+v", after)
	}
	if after.MatchRoute("h", "/b/") != unchanged {
		t.Fatal("an unchanged route was parsed again")
	}
	if before.Generation != 1 || before.MatchRoute("h", "/a/x").Name != "a" {
		t.Fatal("a published view changed")
	}
}

func TestBuilder_ApplyChange_ignoresOlderIndexes(t *testing.T) {
	builder := NewBuilder()
	put := func(index uint64, id string) feed.Change {
		return feed.Change{Index: index, Put: []feed.Item{instanceItem(id, "s", "", registry.Ready)}}
	}
	builder.ApplyChange(instanceShard, put(5, "a"))
	for _, index := range []uint64{4, 5} {
		if builder.ApplyChange(instanceShard, put(index, "b")) {
			t.Fatal("an older change was applied")
		}
		if builder.ApplySnapshot(instanceShard, feed.Snapshot{Index: index}) {
			t.Fatal("an older snapshot was applied")
		}
	}
	if !builder.ApplyChange(instanceShard+1, put(1, "c")) {
		t.Fatal("the index of one shard blocked another")
	}
	if builder.ApplyChange(instanceShard, feed.Change{Index: 7}) || builder.ApplyChange(instanceShard, put(8, "a")) {
		t.Fatal("reported a change of nothing")
	}
	expected := map[shards.ID]uint64{instanceShard: 8, instanceShard + 1: 1}
	if !reflect.DeepEqual(builder.Indexes(), expected) {
		t.Fatal(builder.Indexes())
	}
	if !builder.ApplySnapshot(instanceShard, feed.Snapshot{Index: 9}) || !reflect.DeepEqual(ids(builder.View().Workers["s"]), []string{"c"}) {
		t.Fatal(ids(builder.View().Workers["s"]))
	}
}

func TestBuilder_View_readyWorkersInOrder(t *testing.T) {
	builder := NewBuilder()
	builder.ApplySnapshot(instanceShard, feed.Snapshot{Index: 1, Items: []feed.Item{
		instanceItem("c", "s", "", registry.Ready),
		instanceItem("a", "s", "", registry.Ready),
		instanceItem("b", "s", "", registry.Draining),
		instanceItem("d", "other", "", registry.Ready),
	}})
	view := builder.View()
	if !reflect.DeepEqual(ids(view.Workers["s"]), []string{"a", "c"}) || !reflect.DeepEqual(ids(view.Workers["other"]), []string{"d"}) {
		t.Fatal(view.Workers)
	}
	a, c := view.Workers["s"][0], view.Workers["s"][1]
	builder.ApplyChange(instanceShard, feed.Change{Index: 2, Delete: []string{"d", "unknown"}, Put: []feed.Item{
		instanceItem("c", "s", "prefill", registry.Ready),
		instanceItem("a", "s", "", registry.Ready),
	}})
	next := builder.View()
	if next.Workers["s"][0] != a || next.Workers["s"][1] == c || next.Workers["s"][1].Stage != "prefill" {
		t.Fatal("an unchanged worker was replaced, or a changed one was not")
	}
	if next.Workers["other"] != nil || len(view.Workers["other"]) != 1 || c.Stage != "" {
		t.Fatal("a published view changed")
	}
	builder.ApplyChange(instanceShard, feed.Change{Index: 3, Put: []feed.Item{instanceItem("a", "s", "", registry.Draining), instanceItem("c", "other", "", registry.Ready)}})
	if moved := builder.View(); moved.Workers["s"] != nil || !reflect.DeepEqual(ids(moved.Workers["other"]), []string{"c"}) {
		t.Fatal(moved.Workers)
	}
	previous := builder.View().Workers["other"][0]
	builder.ApplySnapshot(instanceShard, feed.Snapshot{Index: 4, Items: []feed.Item{
		instanceItem("c", "other", "", registry.Ready),
		instanceItem("b", "other", "", registry.Ready),
	}})
	if list := builder.View().Workers["other"]; !reflect.DeepEqual(ids(list), []string{"b", "c"}) || list[1] != previous {
		t.Fatal("a snapshot with the same record replaced the worker")
	}
}

// TestBuilder_ApplyChange_randomChanges compares the lists with those of a simple model, on random changes with a
// fixed seed.
func TestBuilder_ApplyChange_randomChanges(t *testing.T) {
	random := rand.New(rand.NewSource(12))
	builder := NewBuilder()
	states := map[string]registry.Instance{}
	for index := uint64(1); index <= 500; index++ {
		change := feed.Change{Index: index}
		for range random.Intn(4) {
			id := fmt.Sprint("i", random.Intn(20))
			if random.Intn(3) == 0 {
				change.Delete = append(change.Delete, id)
				delete(states, id)
			}
		}
		for range random.Intn(4) {
			id := fmt.Sprint("i", random.Intn(20))
			item := instanceItem(id, []string{"s", "other"}[random.Intn(2)], "", registry.State(random.Intn(2)))
			change.Put = append(change.Put, item)
			states[id], _ = registry.DecodeItem(item.Value)
		}
		builder.ApplyChange(instanceShard, change)
		for _, service := range []string{"s", "other"} {
			var expected []string
			for id, instance := range states {
				if instance.Service == service && instance.State == registry.Ready {
					expected = append(expected, id)
				}
			}
			sort.Strings(expected)
			if got := ids(builder.View().Workers[service]); !reflect.DeepEqual(got, expected) {
				t.Fatalf("at %d: %v, not %v", index, got, expected)
			}
		}
	}
}

func TestBuilder_ApplySnapshot_keepsUnchangedWorkers(t *testing.T) {
	builder := NewBuilder()
	items := []feed.Item{instanceItem("a", "s", "", registry.Ready), instanceItem("b", "s", "", registry.Ready)}
	builder.ApplySnapshot(instanceShard, feed.Snapshot{Index: 1, Items: items})
	view := builder.View()
	if builder.ApplySnapshot(instanceShard, feed.Snapshot{Index: 2, Items: items}) || builder.View() != view {
		t.Fatal("the same items made a new view")
	}
}

func TestBuilder_View_edgeNodeCount(t *testing.T) {
	builder := NewBuilder()
	items := []feed.Item{}
	for number := range 3 {
		items = append(items, instanceItem(fmt.Sprint("n", number), registry.NodesService, "", registry.Ready))
	}
	builder.ApplySnapshot(instanceShard, feed.Snapshot{Index: 1, Items: items})
	if view := builder.View(); view.EdgeNodeCount != 3 || view.Workers[registry.NodesService] != nil {
		t.Fatalf("%+v", view)
	}
	builder.ApplyChange(instanceShard, feed.Change{Index: 2, Delete: []string{"n0", "n1", "n2"}})
	if builder.View().EdgeNodeCount != 1 {
		t.Fatal(builder.View().EdgeNodeCount)
	}
}

func TestBuilder_ApplyChange_skipsUndecodableItems(t *testing.T) {
	builder := NewBuilder()
	builder.ApplyChange(instanceShard, feed.Change{Index: 1, Put: []feed.Item{instanceItem("a", "s", "", registry.Ready)}})
	builder.ApplyChange(instanceShard, feed.Change{Index: 2, Put: []feed.Item{{Key: "a", Value: []byte{9}}, {Key: "b"}}})
	builder.ApplyChange(shards.ConfigurationShard, feed.Change{Index: 1, Put: []feed.Item{
		{Key: "route/x", Value: []byte("{")}, {Key: "service/x", Value: []byte("{")}, {Key: "limits", Value: []byte("{")},
		{Key: "generation", Value: []byte("x")}, {Key: "of_a_later_day", Value: []byte("x")},
	}})
	view := builder.View()
	if len(view.Workers) != 0 || len(view.Services) != 0 || builder.HasConfiguration() || builder.Undecodable() != 6 {
		t.Fatalf("%+v %d", view, builder.Undecodable())
	}
	builder.ApplyChange(instanceShard, feed.Change{Index: 3, Delete: []string{"b"}, Put: []feed.Item{instanceItem("a", "s", "", registry.Ready)}})
	if len(builder.View().Workers["s"]) != 1 {
		t.Fatal("a valid record after an undecodable one was ignored")
	}
}

// BenchmarkBuilder_ApplyChange_oneWorkerOfMany applies a change of one worker among 1,000 of its service.
func BenchmarkBuilder_ApplyChange_oneWorkerOfMany(b *testing.B) {
	builder := NewBuilder()
	items := []feed.Item{}
	for number := range 1000 {
		items = append(items, instanceItem(fmt.Sprintf("i%04d", number), "s", "", registry.Ready))
	}
	builder.ApplySnapshot(instanceShard, feed.Snapshot{Index: 1, Items: items})
	index := uint64(1)
	b.ReportAllocs()
	for b.Loop() {
		index++
		stage := []string{"prefill", "decode"}[index%2]
		builder.ApplyChange(instanceShard, feed.Change{Index: index, Put: []feed.Item{instanceItem("i0500", "s", stage, registry.Ready)}})
	}
}
