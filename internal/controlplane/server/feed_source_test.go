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

// recordingFeedHandler is what an agent holds of the feed.
type recordingFeedHandler struct {
	mutex     sync.Mutex
	items     [shards.ShardCount]map[string]string
	current   bool
	servers   int
	connected []string
}

func newRecordingFeedHandler() *recordingFeedHandler {
	v := &recordingFeedHandler{}
	for i := range v.items {
		v.items[i] = map[string]string{}
	}
	return v
}

func (v *recordingFeedHandler) Snapshot(shard shards.ID, snapshot feed.Snapshot) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.items[shard] = map[string]string{}
	for _, item := range snapshot.Items {
		v.items[shard][item.Key] = string(item.Value)
	}
}

func (v *recordingFeedHandler) Change(shard shards.ID, change feed.Change) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for _, key := range change.Delete {
		delete(v.items[shard], key)
	}
	for _, item := range change.Put {
		v.items[shard][item.Key] = string(item.Value)
	}
}

func (v *recordingFeedHandler) Status(status feedtransport.Status) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.current, v.servers = status.Current(), len(status.Servers)
}

func (v *recordingFeedHandler) Connected(address string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.connected = append(v.connected, address)
}

func (v *recordingFeedHandler) Disconnected(error) {}

// hasItem reports whether an item is there; an empty value matches any.
func (v *recordingFeedHandler) hasItem(shard shards.ID, key, value string) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	stored, found := v.items[shard][key]
	return found && (value == "" || stored == value)
}

func (v *recordingFeedHandler) observed() (current bool, servers, connections int) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.current, v.servers, len(v.connected)
}

// startAgent runs an agent's client against the fleet until the test ends.
func (f *testCluster) startAgent(node string) *recordingFeedHandler {
	f.t.Helper()
	config := f.processes[0].config
	v := newRecordingFeedHandler()
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

func TestCluster_agentsFollowFeedAndAreRegistered(t *testing.T) {
	f := newTestCluster(t, 3)
	v := f.startAgent("edge-1") // before any server runs
	for i := range 3 {
		f.start(i)
	}
	f.await("a current view", func() bool {
		current, servers, _ := v.observed()
		return current && servers == 3
	})
	f.await("the node's registration", func() bool { return v.hasItem(shards.ForService(registry.NodesService), "edge-1", "") })

	status, content := f.doUntilDefinitive(0, http.MethodPost, "/-/Config.Replace", 0, configurationJSON(1))
	f.requireStatus(http.StatusOK, status, content)
	status, content = f.doUntilDefinitive(1, http.MethodPost, "/-/Instances.Heartbeat/i-1", 0, heartbeatJSON("ready", 1))
	f.requireStatus(http.StatusOK, status, content)
	f.await("both changes", func() bool {
		return v.hasItem(shards.ConfigurationShard, configuration.KeyGeneration, "1") && v.hasItem(shards.ForService("s"), "i-1", "")
	})

	// One server after the other is stopped and comes back; the agent switches servers at least once.
	_, _, before := v.observed()
	for i := range 3 {
		f.terminate(i)
		f.start(i)
		f.await("the server's return", func() bool { return f.isConverged(i, 3) })
	}
	status, content = f.doUntilDefinitive(2, http.MethodPost, "/-/Config.Replace", 1, configurationJSON(2))
	f.requireStatus(http.StatusOK, status, content)
	f.await("the next generation", func() bool { return v.hasItem(shards.ConfigurationShard, configuration.KeyGeneration, "2") })
	if _, _, after := v.observed(); after == before {
		t.Error("the agent never switched, though every server was stopped once")
	}
}

func TestCluster_stateSurvivesRestartOfAllServers(t *testing.T) {
	f := newTestCluster(t, 3)
	f.bootstrap(3)
	status, content := f.doUntilDefinitive(0, http.MethodPost, "/-/Config.Replace", 0, configurationJSON(1))
	f.requireStatus(http.StatusOK, status, content)
	status, content = f.doUntilDefinitive(0, http.MethodPost, "/-/Instances.Heartbeat/i-1", 0, heartbeatJSON("ready", 1))
	f.requireStatus(http.StatusOK, status, content)
	for i := range 3 {
		f.terminate(i)
	}
	for i := range 3 {
		f.processes[i].config.Bootstrap = false
		f.start(i)
	}
	v := f.startAgent("edge-1")
	f.await("the state", func() bool {
		return v.hasItem(shards.ConfigurationShard, configuration.KeyGeneration, "1") && v.hasItem(shards.ForService("s"), "i-1", "")
	})
	status, content = f.doUntilDefinitive(2, http.MethodPost, "/-/Config.Replace", 1, configurationJSON(2))
	f.requireStatus(http.StatusOK, status, content)
}

func TestCluster_replacementAtAnotherAddressBecomesVoter(t *testing.T) {
	f := newTestCluster(t, 4)
	f.processes[3].config.Bootstrap = false
	f.bootstrap(3)
	status, content := f.doUntilDefinitive(0, http.MethodPost, "/-/Config.Replace", 0, configurationJSON(1))
	f.requireStatus(http.StatusOK, status, content)
	f.terminate(1)
	f.start(3)
	f.awaitConverged("replacement", 0, 2, 3)
	f.terminate(0) // the new member counts
	status, content = f.doUntilDefinitive(3, http.MethodPost, "/-/Config.Replace", 1, configurationJSON(2))
	f.requireStatus(http.StatusOK, status, content)
}

func TestCluster_fiveServersBootstrapFromThreeSeeds(t *testing.T) {
	f := newTestCluster(t, 5)
	for i, p := range f.processes {
		p.config.FaultTolerance.Machines = 2
		f.start(i)
	}
	for i := range f.processes {
		f.await("formation", func() bool { return f.isConverged(i, 5) })
	}
	status, content := f.doUntilDefinitive(4, http.MethodPost, "/-/Config.Replace", 0, configurationJSON(1))
	f.requireStatus(http.StatusOK, status, content)
	f.terminate(0)
	f.terminate(1)
	status, content = f.doUntilDefinitive(4, http.MethodPost, "/-/Config.Replace", 1, configurationJSON(2))
	f.requireStatus(http.StatusOK, status, content)
}
