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

// beyondEveryRun is a time that no run reaches.
const beyondEveryRun = 24 * time.Hour

// edge is a machine of the edge: an agent, and the view that its proxy takes.
type edge struct {
	world     *world
	index     int
	ip        string
	processes [2]*simnet.Process // of the agent and the proxy
}

// run runs both processes until ctx ends.
func (e *edge) run(ctx context.Context) {
	own, proxy := e.world.network.NewProcess(e.ip), e.world.network.NewProcess(e.ip)
	e.processes = [2]*simnet.Process{own, proxy}
	e.world.running.Go(func() {
		options := agent.Options{
			Dial: own.Dial, Listen: own.Listen, Random: e.world.sharedRandom("agent", e.index), IntervalOrigin: time.Now(),
		}
		if e.world.omissions.leaveStale {
			options.StaleTimeout = beyondEveryRun
		}
		if err := agent.RunWith(ctx, e.settings(), options, e.world.log.With(zap.String("machine", e.ip))); err != nil {
			e.world.record.addFault("an agent ended by itself: " + err.Error())
		}
		own.Kill()
	})
	e.world.running.Go(func() {
		_ = e.client(proxy).Run(ctx)
		proxy.Kill()
	})
}

func (e *edge) settings() bootconfig.Settings {
	config := bootconfig.Defaults()
	config.NodeName, config.IP, config.Zone, config.Region = e.name(), e.ip, "zone", "region"
	config.PortRange = [2]int{peerPort, peerPort + 15}
	config.Seeds = e.world.seeds()
	return config
}

func (e *edge) name() string { return "edge-" + e.ip }

// client is the reader of the feed that a proxy is.
func (e *edge) client(process *simnet.Process) *feedtransport.Client {
	config := e.settings()
	random := e.world.random("proxy", e.index)
	return feedtransport.NewClient(feedtransport.ClientOptions{
		Hello: feedtransport.Hello{Node: e.name(), Zone: "zone", Region: "region", IP: e.ip, Role: feedtransport.RoleProxy, Incarnation: random.Uint64()},
		Selector: feedtransport.SelectorOptions{
			Node: e.name(), FixedServer: feedtransport.LoopbackAddress(config.PortRange[0] + 1), ReceiveTimeout: feedtransport.LoopbackReceiveTimeout,
		},
		Dial:   process.Dial,
		Random: random.Float64,
	}, newFollower(e))
}

// follower makes views as a proxy does, and records what they show.
type follower struct {
	edge      *edge
	builder   *fleetview.Builder
	complete  bool
	published history.View
	recorded  map[string]history.State // of workers, as recorded
	items     map[shards.ID]map[string]history.State
}

func newFollower(e *edge) *follower {
	return &follower{
		edge: e, builder: fleetview.NewBuilder(), recorded: make(map[string]history.State),
		items: make(map[shards.ID]map[string]history.State),
	}
}

// Snapshot implements feedtransport.Handler.
func (f *follower) Snapshot(shard shards.ID, snapshot feed.Snapshot) {
	before := f.builder.Indexes()[shard]
	f.builder.ApplySnapshot(shard, snapshot)
	if shard == shards.ConfigurationShard || snapshot.Index <= before {
		return
	}
	f.items[shard] = make(map[string]history.State)
	f.applyItems(shard, snapshot.Items)
}

// Change implements feedtransport.Handler.
func (f *follower) Change(shard shards.ID, change feed.Change) {
	before := f.builder.Indexes()[shard]
	f.builder.ApplyChange(shard, change)
	if shard == shards.ConfigurationShard || change.Index <= before {
		return
	}
	for _, key := range change.Delete {
		delete(f.items[shard], key)
	}
	f.applyItems(shard, change.Put)
}

func (f *follower) applyItems(shard shards.ID, items []feed.Item) {
	if f.items[shard] == nil {
		f.items[shard] = make(map[string]history.State)
	}
	for _, item := range items {
		instance, err := registry.DecodeItem(item.Value)
		if err != nil || instance.Service == registry.NodesService {
			continue
		}
		f.items[shard][item.Key] = stateOf(instance)
	}
}

func stateOf(instance registry.Instance) history.State {
	if instance.State == registry.Draining {
		return history.Draining
	}
	return history.Ready
}

// BatchDone implements feedtransport.BatchHandler.
func (f *follower) BatchDone() { f.publish() }

// Status implements feedtransport.Handler: no view is published before the first one.
func (f *follower) Status(feedtransport.Status) {
	f.complete = true
	f.publish()
}

// Connected implements feedtransport.Handler.
func (f *follower) Connected(string) {}

// Disconnected implements feedtransport.Handler.
func (f *follower) Disconnected(error) {}

// publish records what the view shows now, if that has changed.
func (f *follower) publish() {
	if !f.complete {
		return
	}
	record := f.edge.world.record
	view := f.builder.View()
	now := history.View{Agent: f.edge.index, Incarnation: 1, At: record.now(), Generation: view.Generation}
	if mark := view.Services[markService]; mark != nil {
		now.Order = strings.TrimPrefix(mark.HealthPath, "/")
	}
	if now.Generation != f.published.Generation || now.Order != f.published.Order {
		f.published = now
		record.addView(now)
	}
	f.publishStates(now.At)
}

func (f *follower) publishStates(at time.Duration) {
	states := make(map[string]history.State)
	for _, items := range f.items {
		maps.Copy(states, items)
	}
	for _, id := range slices.Sorted(maps.Keys(f.recorded)) {
		if _, there := states[id]; !there {
			f.recordState(at, id, history.Absent)
			delete(f.recorded, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(states)) {
		if f.recorded[id] != states[id] {
			f.recorded[id] = states[id]
			f.recordState(at, id, states[id])
		}
	}
}

func (f *follower) recordState(at time.Duration, id string, state history.State) {
	f.edge.world.record.addPresence(history.Presence{Agent: f.edge.index, Incarnation: 1, At: at, Instance: id, State: state})
}
