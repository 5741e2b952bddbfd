package server

import (
	"context"
	"net"
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

// edgeNodeTable counts the feed connections of each edge node whose agent is connected to this server.
type edgeNodeTable struct {
	mutex       sync.Mutex
	connections map[edgeNode]int
	added       chan struct{} // receives a token after add
}

func newEdgeNodeTable() *edgeNodeTable {
	return &edgeNodeTable{connections: make(map[edgeNode]int), added: make(chan struct{}, 1)}
}

// add counts a new connection of a node and wakes runNodeHeartbeats.
func (t *edgeNodeTable) add(node edgeNode) {
	t.mutex.Lock()
	t.connections[node]++
	t.mutex.Unlock()
	notify(t.added)
}

// remove subtracts a closed connection of a node. A node without connections is removed from the table.
func (t *edgeNodeTable) remove(node edgeNode) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.connections[node]--
	if t.connections[node] <= 0 {
		delete(t.connections, node)
	}
}

// list returns the connected nodes, sorted by ID.
func (t *edgeNodeTable) list() []edgeNode {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	nodes := make([]edgeNode, 0, len(t.connections))
	for node := range t.connections {
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(a, b edgeNode) int { return strings.Compare(a.ID, b.ID) })
	return nodes
}

// FeedConnection serves the feed on a connection whose first frame has been read, and returns when the session ends. A server that
// is shutting down closes the connection instead.
func (s *Server) FeedConnection(ctx context.Context, connection net.Conn, kind feedtransport.Kind, body []byte) {
	hello, err := feedtransport.DecodeHello(body)
	if kind != feedtransport.KindHello || err != nil || s.lifecycle.shuttingDown.Load() {
		_ = connection.Close()
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.lifecycle.feedContext, cancel)()
	if hello.Role == feedtransport.RoleAgent {
		node := edgeNode{ID: hello.Node, Address: s.settings.MonitorAddressOf(hello.IP), Zone: hello.Zone}
		s.feed.nodes.add(node)
		defer s.feed.nodes.remove(node)
	}
	s.metrics.feedSessions.Add(1)
	defer s.metrics.feedSessions.Add(-1)
	options := feedtransport.SessionOptions{Encoder: s.feed.encoder, IntervalOrigin: s.startedAt}
	_ = feedtransport.NewSession(connection, hello, s, options).Run(ctx)
}

// runNodeHeartbeats sends heartbeats for the connected edge nodes: immediately when a node connects, then every
// nodeHeartbeatInterval. It waits while no node is connected.
func (s *Server) runNodeHeartbeats(ctx context.Context) {
	timer := time.NewTimer(nodeHeartbeatInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.feed.nodes.added:
		case <-timer.C:
		}
		nodes := s.feed.nodes.list()
		if len(nodes) == 0 {
			continue // add wakes the loop when the next node connects
		}
		s.sendNodeHeartbeats(ctx, nodes)
		timer.Reset(nodeHeartbeatInterval)
	}
}

// sendNodeHeartbeats forwards heartbeats of edge nodes to the owner of their shard.
func (s *Server) sendNodeHeartbeats(ctx context.Context, nodes []edgeNode) {
	ctx, cancel := context.WithTimeout(ctx, smallCallTimeout)
	defer cancel()
	body, err := codec.Marshal(nodesSchema, nodes)
	if err != nil {
		return
	}
	s.forward(ctx, shardRequest{Kind: callNodeHeartbeats, Shard: shards.ForService(registry.NodesService), Body: body})
}

// executeNodeHeartbeats processes heartbeats of edge nodes as the owner of their shard.
func (s *Server) executeNodeHeartbeats(ctx context.Context, request shardRequest) shardResponse {
	var nodes []edgeNode
	if err := strictavro.Unmarshal(codec, nodesSchema, request.Body, &nodes); err != nil {
		return errorResponse(InternalFault)
	}
	responses := make([]shardResponse, len(nodes))
	var group errgroup.Group
	group.SetLimit(maxConcurrentProposals)
	for i, node := range nodes {
		group.Go(func() error {
			responses[i] = s.decideHeartbeat(ctx, request, nodeHeartbeat(node))
			return nil
		})
	}
	_ = group.Wait()
	return firstFailure(responses)
}

// nodeHeartbeat returns the heartbeat that registers an edge node.
func nodeHeartbeat(node edgeNode) registry.Heartbeat {
	return registry.Heartbeat{Instance: registry.Instance{
		ID: node.ID, Service: registry.NodesService, Address: node.Address, Zone: node.Zone, Slots: 1, State: registry.Ready,
	}}
}
