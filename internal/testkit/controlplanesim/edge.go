package controlplanesim

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/agent"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/controlplane/registry"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/testkit/controlplanesim/history"
	"ospreybend/internal/testkit/controlplanesim/simnet"
	"ospreybend/internal/util/bootconfig"
)

// unreachableTimeout is longer than any run.
const unreachableTimeout = 24 * time.Hour

// edge is an edge machine with an agent and a proxy, of which only the fleet view is simulated.
type edge struct {
	simulation *simulation
	index      int
	ip         string
	processes  [2]*simnet.Process // of the agent and the proxy
	changes    chan bootconfig.Settings
}

// run starts both processes, which run until ctx ends.
func (e *edge) run(ctx context.Context) {
	agentProcess, proxyProcess := e.simulation.network.NewProcess(e.ip), e.simulation.network.NewProcess(e.ip)
	e.processes = [2]*simnet.Process{agentProcess, proxyProcess}
	e.changes = make(chan bootconfig.Settings, 1)
	e.simulation.goroutines.Go(func() {
		options := agent.Options{
			Dial: agentProcess.Dial, Listen: agentProcess.Listen, Random: e.simulation.sharedRandom("agent", e.index), IntervalOrigin: time.Now(),
			Changes: e.changes,
		}
		if e.simulation.omissions.leaveStale {
			options.StaleTimeout = unreachableTimeout
		}
		if err := agent.RunWith(ctx, e.settings(), options, e.simulation.log.With(zap.String("machine", e.ip))); err != nil {
			e.simulation.recorder.addFailure("an agent exited unexpectedly: " + err.Error())
		}
		agentProcess.Kill()
	})
	e.simulation.goroutines.Go(func() {
		_ = e.client(proxyProcess).Run(ctx)
		proxyProcess.Kill()
	})
}

func (e *edge) settings() bootconfig.Settings {
	config := bootconfig.Defaults()
	config.NodeName, config.IP, config.Zone, config.Region = e.name(), e.ip, "zone", "region"
	config.PortRange = [2]int{peerPort, peerPort + 15}
	config.Seeds = e.simulation.seeds()
	return config
}

func (e *edge) name() string { return "edge-" + e.ip }

// client returns the feed client of the proxy.
func (e *edge) client(process *simnet.Process) *feedtransport.Client {
	config := e.settings()
	random := e.simulation.random("proxy", e.index)
	return feedtransport.NewClient(feedtransport.ClientOptions{
		Hello: feedtransport.Hello{Node: e.name(), Zone: "zone", Region: "region", IP: e.ip, Role: feedtransport.RoleProxy, Incarnation: random.Uint64()},
		Selector: feedtransport.SelectorOptions{
			Node: e.name(), FixedServer: feedtransport.LoopbackAddress(config.PortRange[0] + 1), ReceiveTimeout: feedtransport.LoopbackReceiveTimeout,
		},
		Dial:   process.Dial,
		Random: random.Float64,
	}, newViewRecorder(e))
}

// viewRecorder builds views from the feed as a proxy does, and records their content.
type viewRecorder struct {
	edge           *edge
	builder        *fleetview.Builder
	complete       bool
	published      history.View
	recordedStates map[string]history.State // last recorded state of each worker instance
	itemStates     map[shards.ID]map[string]history.State
}

func newViewRecorder(e *edge) *viewRecorder {
	return &viewRecorder{
		edge: e, builder: fleetview.NewBuilder(), recordedStates: make(map[string]history.State),
		itemStates: make(map[shards.ID]map[string]history.State),
	}
}

// Snapshot implements feedtransport.Handler.
func (f *viewRecorder) Snapshot(shard shards.ID, snapshot feed.Snapshot) {
	before := f.builder.Indexes()[shard]
	f.builder.ApplySnapshot(shard, snapshot)
	if shard == shards.ConfigurationShard || snapshot.Index <= before {
		return
	}
	f.itemStates[shard] = make(map[string]history.State)
	f.applyItems(shard, snapshot.Items)
}

// Change implements feedtransport.Handler.
func (f *viewRecorder) Change(shard shards.ID, change feed.Change) {
	before := f.builder.Indexes()[shard]
	f.builder.ApplyChange(shard, change)
	if shard == shards.ConfigurationShard || change.Index <= before {
		return
	}
	for _, key := range change.Delete {
		delete(f.itemStates[shard], key)
	}
	f.applyItems(shard, change.Put)
}

func (f *viewRecorder) applyItems(shard shards.ID, items []feed.Item) {
	if f.itemStates[shard] == nil {
		f.itemStates[shard] = make(map[string]history.State)
	}
	for _, item := range items {
		instance, err := registry.DecodeItem(item.Value)
		if err != nil || instance.Service == registry.NodesService {
			continue
		}
		f.itemStates[shard][item.Key] = stateOf(instance)
	}
}

func stateOf(instance registry.Instance) history.State {
	if instance.State == registry.Draining {
		return history.Draining
	}
	return history.Ready
}

// BatchDone implements feedtransport.BatchHandler.
func (f *viewRecorder) BatchDone() { f.publish() }

// Status implements feedtransport.Handler. No view is published before the first status.
func (f *viewRecorder) Status(feedtransport.Status) {
	f.complete = true
	f.publish()
}

// Connected implements feedtransport.Handler.
func (f *viewRecorder) Connected(string) {}

// Disconnected implements feedtransport.Handler.
func (f *viewRecorder) Disconnected(error) {}

// publish records the content of the current view if it has changed.
func (f *viewRecorder) publish() {
	if !f.complete {
		return
	}
	record := f.edge.simulation.recorder
	view := f.builder.View()
	current := history.View{Agent: f.edge.index, Incarnation: 1, At: record.now(), Generation: view.Generation}
	if mark := view.Services[orderMarkerService]; mark != nil {
		current.Order = strings.TrimPrefix(mark.HealthPath, "/")
	}
	if current.Generation != f.published.Generation || current.Order != f.published.Order {
		f.published = current
		record.addView(current)
	}
	f.publishStates(current.At)
}

func (f *viewRecorder) publishStates(at time.Duration) {
	states := make(map[string]history.State)
	for _, items := range f.itemStates {
		maps.Copy(states, items)
	}
	for _, id := range slices.Sorted(maps.Keys(f.recordedStates)) {
		if _, there := states[id]; !there {
			f.recordState(at, id, history.Absent)
			delete(f.recordedStates, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(states)) {
		if f.recordedStates[id] != states[id] {
			f.recordedStates[id] = states[id]
			f.recordState(at, id, states[id])
		}
	}
}

func (f *viewRecorder) recordState(at time.Duration, id string, state history.State) {
	f.edge.simulation.recorder.addPresence(history.Presence{Agent: f.edge.index, Incarnation: 1, At: at, Instance: id, State: state})
}
