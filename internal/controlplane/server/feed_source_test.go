package server

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/controlplane/registry"
)

// view is what an agent holds of the feed.
type view struct {
	mutex     sync.Mutex
	items     [shards.Count]map[string]string
	current   bool
	keepers   int
	connected []string
}

func newView() *view {
	v := &view{}
	for i := range v.items {
		v.items[i] = map[string]string{}
	}
	return v
}

func (v *view) Snapshot(shard shards.ID, snapshot feed.Snapshot) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.items[shard] = map[string]string{}
	for _, item := range snapshot.Items {
		v.items[shard][item.Key] = string(item.Value)
	}
}

func (v *view) Change(shard shards.ID, change feed.Change) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for _, key := range change.Delete {
		delete(v.items[shard], key)
	}
	for _, item := range change.Put {
		v.items[shard][item.Key] = string(item.Value)
	}
}

func (v *view) Status(status feedtransport.Status) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.current, v.keepers = status.Current(), len(status.Servers)
}

func (v *view) Connected(address string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.connected = append(v.connected, address)
}

func (v *view) Disconnected(error) {}

// holds tells whether an item is there; an empty value matches any.
func (v *view) holds(shard shards.ID, key, value string) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	held, found := v.items[shard][key]
	return found && (value == "" || held == value)
}

func (v *view) reads() (current bool, keepers, connections int) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.current, v.keepers, len(v.connected)
}

// follow runs an agent's client against the fleet until the test ends.
func (f *fleet) follow(node string) *view {
	f.t.Helper()
	config := f.processes[0].config
	v := newView()
	client := feedtransport.NewClient(feedtransport.ClientOptions{
		Hello:    feedtransport.Hello{Node: node, Zone: "zone-0", IP: "127.0.0.1", Role: feedtransport.RoleAgent, Incarnation: 1},
		Selector: feedtransport.SelectorOptions{Node: node, Zone: "zone-0", Seeds: config.Seeds, FeedPort: config.PortRange[0]},
	}, v)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = client.Run(ctx)
	}()
	f.t.Cleanup(func() {
		cancel()
		<-ended
	})
	return v
}

func TestAgentsFollowAndAreRegistered(t *testing.T) {
	f := newFleet(t, 3)
	v := f.follow("edge-1") // before any keeper runs
	for i := range 3 {
		f.start(i)
	}
	f.await("a current view", func() bool {
		current, keepers, _ := v.reads()
		return current && keepers == 3
	})
	f.await("the node's registration", func() bool { return v.holds(shards.Of(registry.NodesService), "edge-1", "") })

	status, content := f.insist(0, http.MethodPost, "/-/Config.Replace", 0, configurationOf(1))
	f.expect(http.StatusOK, status, content)
	status, content = f.insist(1, http.MethodPost, "/-/Instances.Heartbeat/i-1", 0, beatOf("ready", 1))
	f.expect(http.StatusOK, status, content)
	f.await("both changes", func() bool {
		return v.holds(shards.Configuration, configuration.KeyGeneration, "1") && v.holds(shards.Of("s"), "i-1", "")
	})

	// One keeper after the other is stopped and comes back; the agent is led elsewhere at least once.
	_, _, before := v.reads()
	for i := range 3 {
		f.finish(i)
		f.start(i)
		f.await("the keeper's return", func() bool { return f.settled(i, 3) })
	}
	status, content = f.insist(2, http.MethodPost, "/-/Config.Replace", 1, configurationOf(2))
	f.expect(http.StatusOK, status, content)
	f.await("the next generation", func() bool { return v.holds(shards.Configuration, configuration.KeyGeneration, "2") })
	if _, _, after := v.reads(); after == before {
		t.Error("the agent was never led elsewhere, though every keeper was stopped once")
	}
}

func TestAllKeepersReturnWithTheirState(t *testing.T) {
	f := newFleet(t, 3)
	for i := range 3 {
		f.start(i)
	}
	f.await("formation", func() bool { return f.settled(0, 3) && f.settled(1, 3) && f.settled(2, 3) })
	status, content := f.insist(0, http.MethodPost, "/-/Config.Replace", 0, configurationOf(1))
	f.expect(http.StatusOK, status, content)
	status, content = f.insist(0, http.MethodPost, "/-/Instances.Heartbeat/i-1", 0, beatOf("ready", 1))
	f.expect(http.StatusOK, status, content)
	for i := range 3 {
		f.finish(i)
	}
	for i := range 3 {
		f.processes[i].config.Bootstrap = false
		f.start(i)
	}
	v := f.follow("edge-1")
	f.await("the state", func() bool {
		return v.holds(shards.Configuration, configuration.KeyGeneration, "1") && v.holds(shards.Of("s"), "i-1", "")
	})
	status, content = f.insist(2, http.MethodPost, "/-/Config.Replace", 1, configurationOf(2))
	f.expect(http.StatusOK, status, content)
}

func TestAReplacementAtAnotherAddressTakesTheGoneOnesPlace(t *testing.T) {
	f := newFleet(t, 4)
	f.processes[3].config.Bootstrap = false
	for i := range 3 {
		f.start(i)
	}
	f.await("formation", func() bool { return f.settled(0, 3) && f.settled(1, 3) && f.settled(2, 3) })
	status, content := f.insist(0, http.MethodPost, "/-/Config.Replace", 0, configurationOf(1))
	f.expect(http.StatusOK, status, content)
	f.finish(1)
	f.start(3)
	f.await("replacement", func() bool { return f.settled(0, 3) && f.settled(2, 3) && f.settled(3, 3) })
	f.finish(0) // the new member counts
	status, content = f.insist(3, http.MethodPost, "/-/Config.Replace", 1, configurationOf(2))
	f.expect(http.StatusOK, status, content)
}

func TestFiveKeepersFormFromThreeSeeds(t *testing.T) {
	f := newFleet(t, 5)
	for i, p := range f.processes {
		p.config.FaultTolerance.Machines = 2
		f.start(i)
	}
	for i := range f.processes {
		f.await("formation", func() bool { return f.settled(i, 5) })
	}
	status, content := f.insist(4, http.MethodPost, "/-/Config.Replace", 0, configurationOf(1))
	f.expect(http.StatusOK, status, content)
	f.finish(0)
	f.finish(1)
	status, content = f.insist(4, http.MethodPost, "/-/Config.Replace", 1, configurationOf(2))
	f.expect(http.StatusOK, status, content)
}
