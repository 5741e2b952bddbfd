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

// recordingFeedHandler records the state of the feed as an agent sees it.
type recordingFeedHandler struct {
	mutex     sync.Mutex
	items     [shards.ShardCount]map[string]string // values by key
	current   bool                                 // from the last status
	servers   int                                  // number of servers in the last status
	connected []string                             // addresses of all connections so far
}

func newRecordingFeedHandler() *recordingFeedHandler {
	h := &recordingFeedHandler{}
	for i := range h.items {
		h.items[i] = map[string]string{}
	}
	return h
}

func (h *recordingFeedHandler) Snapshot(shard shards.ID, snapshot feed.Snapshot) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.items[shard] = map[string]string{}
	for _, item := range snapshot.Items {
		h.items[shard][item.Key] = string(item.Value)
	}
}

func (h *recordingFeedHandler) Change(shard shards.ID, change feed.Change) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, key := range change.Delete {
		delete(h.items[shard], key)
	}
	for _, item := range change.Put {
		h.items[shard][item.Key] = string(item.Value)
	}
}

func (h *recordingFeedHandler) Status(status feedtransport.Status) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.current, h.servers = status.Current(), len(status.Servers)
}

func (h *recordingFeedHandler) Connected(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.connected = append(h.connected, address)
}

func (h *recordingFeedHandler) Disconnected(error) {}

// hasItem reports whether a shard has an item; an empty value matches any value.
func (h *recordingFeedHandler) hasItem(shard shards.ID, key, value string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	stored, found := h.items[shard][key]
	return found && (value == "" || stored == value)
}

// observed returns the last status and the number of connections so far.
func (h *recordingFeedHandler) observed() (current bool, servers, connections int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.current, h.servers, len(h.connected)
}

// startAgent runs an agent's feed client against the cluster until the test ends.
func (f *testCluster) startAgent(node string) *recordingFeedHandler {
	f.t.Helper()
	config := f.processes[0].config
	handler := newRecordingFeedHandler()
	client := feedtransport.NewClient(feedtransport.ClientOptions{
		Hello:    feedtransport.Hello{Node: node, Zone: "zone-0", IP: "127.0.0.1", Role: feedtransport.RoleAgent, Incarnation: 1},
		Selector: feedtransport.SelectorOptions{Node: node, Zone: "zone-0", Seeds: config.Seeds, FeedPort: config.PortRange[0]},
	}, handler)
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
	return handler
}

func TestCluster_agentsFollowFeedAndAreRegistered(t *testing.T) {
	f := newTestCluster(t, 3)
	agent := f.startAgent("edge-1") // before any server runs
	for i := range 3 {
		f.start(i)
	}
	f.await("agent's status is current and lists three servers", func() bool {
		current, servers, _ := agent.observed()
		return current && servers == 3
	})
	f.await("registration of the agent's edge node", func() bool { return agent.hasItem(shards.ForService(registry.NodesService), "edge-1", "") })

	status, content := f.doUntilDefinitive(0, http.MethodPost, "/-/Config.Replace", 0, configurationJSON(1))
	f.requireStatus(http.StatusOK, status, content)
	status, content = f.doUntilDefinitive(1, http.MethodPost, "/-/Instances.Heartbeat/i-1", 0, heartbeatJSON("ready", 1))
	f.requireStatus(http.StatusOK, status, content)
	f.await("configuration and instance in the agent's feed", func() bool {
		return agent.hasItem(shards.ConfigurationShard, configuration.KeyGeneration, "1") && agent.hasItem(shards.ForService("s"), "i-1", "")
	})

	// Servers are stopped and restarted one after the other, so that the agent must switch servers at least once.
	_, _, before := agent.observed()
	for i := range 3 {
		f.terminate(i)
		f.start(i)
		f.await("server has rejoined after its restart", func() bool { return f.isConverged(i, 3) })
	}
	status, content = f.doUntilDefinitive(2, http.MethodPost, "/-/Config.Replace", 1, configurationJSON(2))
	f.requireStatus(http.StatusOK, status, content)
	f.await("generation 2 in the agent's feed", func() bool { return agent.hasItem(shards.ConfigurationShard, configuration.KeyGeneration, "2") })
	if _, _, after := agent.observed(); after == before {
		t.Error("the agent never switched servers, although each server was stopped once")
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
	agent := f.startAgent("edge-1")
	f.await("configuration and instance in the agent's feed after the restart of all servers", func() bool {
		return agent.hasItem(shards.ConfigurationShard, configuration.KeyGeneration, "1") && agent.hasItem(shards.ForService("s"), "i-1", "")
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
	f.terminate(0) // a change now needs the new voter
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
		f.await("formation of a cluster of five", func() bool { return f.isConverged(i, 5) })
	}
	status, content := f.doUntilDefinitive(4, http.MethodPost, "/-/Config.Replace", 0, configurationJSON(1))
	f.requireStatus(http.StatusOK, status, content)
	f.terminate(0)
	f.terminate(1)
	status, content = f.doUntilDefinitive(4, http.MethodPost, "/-/Config.Replace", 1, configurationJSON(2))
	f.requireStatus(http.StatusOK, status, content)
}
