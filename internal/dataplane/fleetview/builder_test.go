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

// configurationSource makes the changes of the configuration shard that a control plane would send to a builder.
type configurationSource struct {
	store *configuration.Store
	index uint64
}

// replace replaces the configuration and returns the change of the shard.
func (s *configurationSource) replace(t testing.TB, body []byte) feed.Change {
	t.Helper()
	s.index++
	command := configuration.Command{Kind: configuration.CommandReplace, Base: s.store.Generation(), Body: body}
	outcome, change := s.store.Apply(s.index, configuration.EncodeCommand(command))
	if outcome.Code != configuration.CodeAccepted {
		t.Fatalf("replacing the configuration: outcome %+v, want code %v", outcome, configuration.CodeAccepted)
	}
	return change
}

func instanceItem(id, service, stage string, state registry.State) feed.Item {
	instance := registry.Instance{ID: id, Service: service, Address: "1.2.3.4:5", Stage: stage, State: state, Slots: 1}
	return feed.Item{Key: id, Value: registry.EncodeItem(instance)}
}

func workerIDs(workers []*Worker) []string {
	var ids []string
	for _, worker := range workers {
		ids = append(ids, worker.ID)
	}
	return ids
}

func TestNewBuilder_emptyView(t *testing.T) {
	builder := NewBuilder()
	view := builder.View()
	if builder.HasConfiguration() || view.Generation != 0 || view.EdgeNodeCount != 1 || view.MatchRoute("h", "/") != nil {
		t.Fatalf("the view of a new builder is %+v, want no configuration, no route and 1 edge node", view)
	}
	if view.Limits != configuration.DefaultLimits() || len(builder.Indexes()) != 0 {
		t.Fatalf("a new builder has limits %+v and indexes %v, want the default limits and no index", view.Limits, builder.Indexes())
	}
}

func TestBuilder_ApplyChange_configurationIsAtomic(t *testing.T) {
	builder := NewBuilder()
	source := configurationSource{store: configuration.NewStore()}
	first := source.replace(t, configurationJSON(1, `,"limits":{"maxBodyBytes":9}`, routeJSON("a", "h", "/a/", 1000), routeJSON("b", "h", "/b/", 1000)))
	if !builder.ApplyChange(shards.ConfigurationShard, first) || !builder.HasConfiguration() {
		t.Fatal("the first configuration did not change the view, or HasConfiguration returned false after it")
	}
	before := builder.View()
	if before.Limits.MaxBodyBytes != 9 || before.Services["s"].Name != "s" {
		t.Fatalf("the view of generation 1 is %+v, want maxBodyBytes 9 and service s", before)
	}
	unchanged := before.MatchRoute("h", "/b/")
	builder.ApplyChange(shards.ConfigurationShard, source.replace(t, configurationJSON(4, "", routeJSON("c", "h", "/a/", 2000), routeJSON("b", "h", "/b/", 1000))))
	after := builder.View()
	if after.Generation != 4 || after.MatchRoute("h", "/a/x").Timeout != 2*time.Second || after.Limits != configuration.DefaultLimits() {
		t.Fatalf("the view after the second configuration is %+v, want generation 4, a timeout of 2 s at /a/ and the default limits", after)
	}
	if after.MatchRoute("h", "/b/") != unchanged {
		t.Fatal("an unchanged route was replaced by a new one")
	}
	if before.Generation != 1 || before.MatchRoute("h", "/a/x").Name != "a" {
		t.Fatal("the view of generation 1 was modified by the second configuration")
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
			t.Fatalf("a change of index %d was applied after one of index 5", index)
		}
		if builder.ApplySnapshot(instanceShard, feed.Snapshot{Index: index}) {
			t.Fatalf("a snapshot of index %d was applied after a change of index 5", index)
		}
	}
	if !builder.ApplyChange(instanceShard+1, put(1, "c")) {
		t.Fatal("a change of index 1 was ignored because of the index of another shard")
	}
	if builder.ApplyChange(instanceShard, feed.Change{Index: 7}) || builder.ApplyChange(instanceShard, put(8, "a")) {
		t.Fatal("a change without effect was reported as a change of the view")
	}
	want := map[shards.ID]uint64{instanceShard: 8, instanceShard + 1: 1}
	if !reflect.DeepEqual(builder.Indexes(), want) {
		t.Fatalf("indexes are %v, want %v", builder.Indexes(), want)
	}
	if !builder.ApplySnapshot(instanceShard, feed.Snapshot{Index: 9}) || !reflect.DeepEqual(workerIDs(builder.View().Workers["s"]), []string{"c"}) {
		t.Fatalf("workers after an empty snapshot of one shard are %v, want only c of the other shard", workerIDs(builder.View().Workers["s"]))
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
	if !reflect.DeepEqual(workerIDs(view.Workers["s"]), []string{"a", "c"}) || !reflect.DeepEqual(workerIDs(view.Workers["other"]), []string{"d"}) {
		t.Fatalf("ready workers are %v of s and %v of other, want [a c] and [d]", workerIDs(view.Workers["s"]), workerIDs(view.Workers["other"]))
	}
	a, c := view.Workers["s"][0], view.Workers["s"][1]
	builder.ApplyChange(instanceShard, feed.Change{Index: 2, Delete: []string{"d", "unknown"}, Put: []feed.Item{
		instanceItem("c", "s", "prefill", registry.Ready),
		instanceItem("a", "s", "", registry.Ready),
	}})
	next := builder.View()
	if next.Workers["s"][0] != a || next.Workers["s"][1] == c || next.Workers["s"][1].Stage != "prefill" {
		t.Fatal("the unchanged worker a was replaced, or the changed worker c was not")
	}
	if next.Workers["other"] != nil || len(view.Workers["other"]) != 1 || c.Stage != "" {
		t.Fatal("the deleted worker d is still in the new view, or the earlier view was modified")
	}
	builder.ApplyChange(instanceShard, feed.Change{Index: 3, Put: []feed.Item{instanceItem("a", "s", "", registry.Draining), instanceItem("c", "other", "", registry.Ready)}})
	if moved := builder.View(); moved.Workers["s"] != nil || !reflect.DeepEqual(workerIDs(moved.Workers["other"]), []string{"c"}) {
		t.Fatalf("after a drains and c moves, ready workers are %v of s and %v of other, want [] and [c]",
			workerIDs(moved.Workers["s"]), workerIDs(moved.Workers["other"]))
	}
	previous := builder.View().Workers["other"][0]
	builder.ApplySnapshot(instanceShard, feed.Snapshot{Index: 4, Items: []feed.Item{
		instanceItem("c", "other", "", registry.Ready),
		instanceItem("b", "other", "", registry.Ready),
	}})
	if list := builder.View().Workers["other"]; !reflect.DeepEqual(workerIDs(list), []string{"b", "c"}) || list[1] != previous {
		t.Fatalf("after a snapshot that adds b the workers are %v, want [b c] with the same Worker for c", workerIDs(list))
	}
}

// TestBuilder_ApplyChange_randomChanges applies random changes with a fixed seed and compares the ready workers with
// those of a simple model, a map of all instances.
func TestBuilder_ApplyChange_randomChanges(t *testing.T) {
	random := rand.New(rand.NewSource(12))
	builder := NewBuilder()
	instances := map[string]registry.Instance{}
	for index := uint64(1); index <= 500; index++ {
		change := feed.Change{Index: index}
		for range random.Intn(4) {
			id := fmt.Sprint("i", random.Intn(20))
			if random.Intn(3) == 0 {
				change.Delete = append(change.Delete, id)
				delete(instances, id)
			}
		}
		for range random.Intn(4) {
			id := fmt.Sprint("i", random.Intn(20))
			item := instanceItem(id, []string{"s", "other"}[random.Intn(2)], "", registry.State(random.Intn(2)))
			change.Put = append(change.Put, item)
			instances[id], _ = registry.DecodeItem(item.Value)
		}
		builder.ApplyChange(instanceShard, change)
		for _, service := range []string{"s", "other"} {
			var want []string
			for id, instance := range instances {
				if instance.Service == service && instance.State == registry.Ready {
					want = append(want, id)
				}
			}
			sort.Strings(want)
			if got := workerIDs(builder.View().Workers[service]); !reflect.DeepEqual(got, want) {
				t.Fatalf("workers of %s after change %d are %v, want %v", service, index, got, want)
			}
		}
	}
}

func TestBuilder_ApplySnapshot_keepsUnchangedView(t *testing.T) {
	builder := NewBuilder()
	items := []feed.Item{instanceItem("a", "s", "", registry.Ready), instanceItem("b", "s", "", registry.Ready)}
	builder.ApplySnapshot(instanceShard, feed.Snapshot{Index: 1, Items: items})
	view := builder.View()
	if builder.ApplySnapshot(instanceShard, feed.Snapshot{Index: 2, Items: items}) || builder.View() != view {
		t.Fatal("a snapshot with the same items led to a new view")
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
		t.Fatalf("the view of 3 edge nodes is %+v, want EdgeNodeCount 3 and no workers of %s", view, registry.NodesService)
	}
	builder.ApplyChange(instanceShard, feed.Change{Index: 2, Delete: []string{"n0", "n1", "n2"}})
	if builder.View().EdgeNodeCount != 1 {
		t.Fatalf("EdgeNodeCount without a registered edge node is %d, want 1", builder.View().EdgeNodeCount)
	}
}

func TestBuilder_ApplyChange_skipsUndecodableItems(t *testing.T) {
	builder := NewBuilder()
	builder.ApplyChange(instanceShard, feed.Change{Index: 1, Put: []feed.Item{instanceItem("a", "s", "", registry.Ready)}})
	builder.ApplyChange(instanceShard, feed.Change{Index: 2, Put: []feed.Item{{Key: "a", Value: []byte{9}}, {Key: "b"}}})
	builder.ApplyChange(shards.ConfigurationShard, feed.Change{Index: 1, Put: []feed.Item{
		{Key: "route/x", Value: []byte("{")}, {Key: "service/x", Value: []byte("{")}, {Key: "limits", Value: []byte("{")},
		{Key: "generation", Value: []byte("x")}, {Key: "unknown_key", Value: []byte("x")},
	}})
	view := builder.View()
	if len(view.Workers) != 0 || len(view.Services) != 0 || builder.HasConfiguration() || builder.Undecodable() != 6 {
		t.Fatalf("%d undecodable items and view %+v, want 6 items and no configuration, service or worker", builder.Undecodable(), view)
	}
	builder.ApplyChange(instanceShard, feed.Change{Index: 3, Delete: []string{"b"}, Put: []feed.Item{instanceItem("a", "s", "", registry.Ready)}})
	if len(builder.View().Workers["s"]) != 1 {
		t.Fatal("a valid record that follows an undecodable one of the same instance was ignored")
	}
}

// BenchmarkBuilder_ApplyChange_oneWorkerOfMany changes one of the 1,000 workers of a service.
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
