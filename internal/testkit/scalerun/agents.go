// Package scalerun runs complete fleets on one machine and measures them. Servers and some edges run as real processes;
// all other nodes and all workers are hollow, that is, emulated in this process. A hollow node runs the real feed client
// and health monitoring of an agent, a hollow worker the real registration of the fake worker. Neither serves requests.
package scalerun

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/feedtransport"
)

// feedTraffic counts the bytes and reads of the feed connections of all hollow agents.
type feedTraffic struct {
	in, out, reads atomic.Int64
}

// countedConnection adds the traffic of a connection to a feedTraffic.
type countedConnection struct {
	net.Conn
	traffic *feedTraffic
}

func (c countedConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.traffic.in.Add(int64(count))
		c.traffic.reads.Add(1)
	}
	return count, err
}

func (c countedConnection) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.traffic.out.Add(int64(count))
	return count, err
}

// hollowAgent is the feed client of an agent without the rest of the agent. It records when updates arrive.
type hollowAgent struct {
	client *feedtransport.Client

	mutex        sync.Mutex
	received     map[shards.ID]uint64
	generation   uint64
	generationAt time.Time
	server       string    // address of the connected feed; empty: none
	completeAt   time.Time // when all shards became complete and current; zero: they are not
}

// agentOptions identifies a hollow agent and its network link.
type agentOptions struct {
	node, zone, ip string
	seeds          []string
	feedPort       int
	relayAddresses map[string]string // relay address by server address for a far link; nil: direct connections
	traffic        *feedTraffic
}

func newHollowAgent(options agentOptions) *hollowAgent {
	agent := &hollowAgent{received: map[shards.ID]uint64{}}
	agent.client = feedtransport.NewClient(feedtransport.ClientOptions{
		Hello: feedtransport.Hello{Node: options.node, Zone: options.zone, Region: "local", IP: options.ip,
			Role: feedtransport.RoleAgent, Incarnation: rand.Uint64(), Compressed: true},
		Selector: feedtransport.SelectorOptions{Node: options.node, Zone: options.zone, Region: "local",
			Seeds: options.seeds, FeedPort: options.feedPort},
		Dial: options.dial,
	}, agent)
	return agent
}

func (o agentOptions) dial(ctx context.Context, address string) (net.Conn, error) {
	if relayed, ok := o.relayAddresses[address]; ok {
		address = relayed
	}
	connection, err := feedtransport.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return countedConnection{Conn: connection, traffic: o.traffic}, nil
}

// Snapshot implements feedtransport.Handler.
func (a *hollowAgent) Snapshot(shard shards.ID, snapshot feed.Snapshot) {
	a.applyItems(shard, snapshot.Index, snapshot.Items)
}

// Change implements feedtransport.Handler.
func (a *hollowAgent) Change(shard shards.ID, change feed.Change) {
	a.applyItems(shard, change.Index, change.Put)
}

func (a *hollowAgent) applyItems(shard shards.ID, index uint64, items []feed.Item) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.received[shard] = index
	if shard != shards.ConfigurationShard {
		return
	}
	for _, item := range items {
		if item.Key != configuration.KeyGeneration {
			continue
		}
		if generation, err := strconv.ParseUint(string(item.Value), 10, 64); err == nil {
			a.generation, a.generationAt = generation, time.Now()
		}
	}
}

// Status implements feedtransport.Handler.
func (a *hollowAgent) Status(status feedtransport.Status) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	complete := status.Current()
	for _, shard := range status.Shards {
		complete = complete && a.received[shard.Shard] >= shard.Index
	}
	switch {
	case !complete:
		a.completeAt = time.Time{}
	case a.completeAt.IsZero():
		a.completeAt = time.Now()
	}
}

// Connected implements feedtransport.Handler.
func (a *hollowAgent) Connected(address string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.server = address
}

// Disconnected implements feedtransport.Handler.
func (a *hollowAgent) Disconnected(error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.server, a.completeAt = "", time.Time{}
}

// agentState is a copy of the recorded state of a hollow agent.
type agentState struct {
	generation               uint64
	generationAt, completeAt time.Time
	server                   string
}

func (a *hollowAgent) state() agentState {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return agentState{a.generation, a.generationAt, a.completeAt, a.server}
}

// hollowAgents holds all hollow agents of a fleet.
type hollowAgents struct {
	options []agentOptions
	traffic *feedTraffic
	agents  []*hollowAgent
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// start starts all agents without state.
func (c *hollowAgents) start(ctx context.Context) {
	ctx, c.cancel = context.WithCancel(ctx)
	c.agents = make([]*hollowAgent, len(c.options))
	for i, options := range c.options {
		agent := newHollowAgent(options)
		c.agents[i] = agent
		c.running.Go(func() { _ = agent.client.Run(ctx) })
	}
}

// stop stops all agents and waits for them.
func (c *hollowAgents) stop() {
	if c.cancel != nil {
		c.cancel()
	}
	c.running.Wait()
}

// all reports whether a condition holds for every agent.
func (c *hollowAgents) all(check func(agentState) bool) bool {
	for _, agent := range c.agents {
		if !check(agent.state()) {
			return false
		}
	}
	return true
}

// complete reports whether every agent has all shards from a current server.
func (c *hollowAgents) complete() bool {
	return c.all(func(state agentState) bool { return !state.completeAt.IsZero() })
}

// servers returns the number of agents connected to each server, by address.
func (c *hollowAgents) servers() map[string]int {
	counts := map[string]int{}
	for _, agent := range c.agents {
		counts[agent.state().server]++
	}
	return counts
}

// elapsed returns the milliseconds from start to the time that at returns, for each chosen agent.
func (c *hollowAgents) elapsed(start time.Time, choose func(i int) bool, at func(agentState) time.Time) []float64 {
	var times []float64
	for i, agent := range c.agents {
		if choose(i) {
			times = append(times, milliseconds(at(agent.state()).Sub(start)))
		}
	}
	return times
}

func milliseconds(span time.Duration) float64 { return float64(span) / float64(time.Millisecond) }
