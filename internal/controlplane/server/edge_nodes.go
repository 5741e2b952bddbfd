package server

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/controlplane/registry"
	"ospreybend/internal/util/strictavro"
)

// nodeTable holds the edge nodes whose agents read this keeper's feed.
type nodeTable struct {
	mutex  sync.Mutex
	counts map[node]int // connections
	came   chan struct{}
}

func newNodeTable() *nodeTable {
	return &nodeTable{counts: make(map[node]int), came: make(chan struct{}, 1)}
}

func (t *nodeTable) add(one node) {
	t.mutex.Lock()
	t.counts[one]++
	t.mutex.Unlock()
	kick(t.came)
}

func (t *nodeTable) remove(one node) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.counts[one]--
	if t.counts[one] <= 0 {
		delete(t.counts, one)
	}
}

// list returns the nodes by ID.
func (t *nodeTable) list() []node {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	listed := make([]node, 0, len(t.counts))
	for one := range t.counts {
		listed = append(listed, one)
	}
	slices.SortFunc(listed, func(a, b node) int { return strings.Compare(a.ID, b.ID) })
	return listed
}

// FeedConnection serves the feed to an agent over a connection whose first frame has been read.
func (k *Keeper) FeedConnection(ctx context.Context, connection net.Conn, kind feedtransport.Kind, body []byte) {
	hello, err := feedtransport.DecodeHello(body)
	if kind != feedtransport.KindHello || err != nil || k.leaving.Load() {
		_ = connection.Close()
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(k.feedContext, cancel)()
	if hello.Role == feedtransport.RoleAgent {
		one := node{ID: hello.Node, Address: k.settings.MonitorAddressOf(hello.IP), Zone: hello.Zone}
		k.nodes.add(one)
		defer k.nodes.remove(one)
	}
	k.metrics.feedSessions.Add(1)
	defer k.metrics.feedSessions.Add(-1)
	options := feedtransport.SessionOptions{Encoder: k.encoder, Origin: k.started}
	_ = feedtransport.NewSession(connection, hello, k, options).Run(ctx)
}

// beatNodes registers the nodes whose agents are connected, at once when one comes and then at an
// interval. It sleeps while there are none.
func (k *Keeper) beatNodes(ctx context.Context) {
	timer := time.NewTimer(nodesInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.nodes.came:
		case <-timer.C:
		}
		nodes := k.nodes.list()
		if len(nodes) == 0 {
			continue // the next one that comes sends a token
		}
		k.sendNodes(ctx, nodes)
		timer.Reset(nodesInterval)
	}
}

func (k *Keeper) sendNodes(ctx context.Context, nodes []node) {
	ctx, cancel := context.WithTimeout(ctx, smallCallBudget)
	defer cancel()
	body, err := codec.Marshal(nodesSchema, nodes)
	if err != nil {
		return
	}
	k.carry(ctx, call{Kind: callNodes, Shard: shards.Of(registry.NodesService), Body: body})
}

// takeNodes takes the heartbeats of edge nodes as the owner of their shard.
func (k *Keeper) takeNodes(ctx context.Context, c call) answer {
	var nodes []node
	if err := strictavro.Unmarshal(codec, nodesSchema, c.Body, &nodes); err != nil {
		return failed(InternalFault)
	}
	replies := make([]answer, len(nodes))
	var group errgroup.Group
	group.SetLimit(proposalsAtOnce)
	for i, one := range nodes {
		group.Go(func() error {
			replies[i] = k.decideBeat(ctx, c, nodeBeat(one))
			return nil
		})
	}
	_ = group.Wait()
	return worst(replies)
}

// worst returns an answer that is no success, if there is one.
func worst(replies []answer) answer {
	for _, reply := range replies {
		if reply.Status != http.StatusOK {
			return reply
		}
	}
	return succeeded(emptyObject)
}

func nodeBeat(one node) registry.Heartbeat {
	return registry.Heartbeat{Instance: registry.Instance{
		ID: one.ID, Service: registry.NodesService, Address: one.Address, Zone: one.Zone, Slots: 1, State: registry.Ready,
	}}
}
