package server

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/controlplane/peertransport"
	"ospreybend/internal/util/bootconfig"
)

// peerNetwork is the subset of peertransport.Network that the server uses.
type peerNetwork interface {
	Send(to consensus.Member, shard shards.ID, message consensus.Message)
	Call(ctx context.Context, address string, kind peertransport.CallKind, body []byte) ([]byte, error)
	Peers() []peertransport.PeerStatus
}

// Server is one process of the control plane: a replica of each shard, and the connections of these replicas with peers, agents,
// workers and operators. Open creates a Server, Serve runs it and Close stops it.
//
// No mutex guards the Server itself. Its own fields are set before Serve starts any goroutine and only read afterwards;
// each part that changes later guards its own state, as documented at the part's type.
type Server struct {
	settings    bootconfig.Settings // as of the start, see currentSettings
	environment Environment
	logger      *zap.Logger
	self        consensus.Member
	startedAt   time.Time

	lifecycle lifecycle
	peers     peerEndpoint
	groups    replicaGroups
	shards    [shards.ShardCount]*shard
	feed      feedService

	// State that the control loops share with the API. Each of these has its own mutex.
	directory    *directory
	joinRequests joinRequests
	liveness     *livenessReports
	demands      *demandReports
	suspicions   suspicions
	metrics      metrics

	changedSettings atomic.Pointer[bootconfig.Settings] // nil: not changed since the start

	ownersChanged broadcast // notified whenever a group's status changes or this server gains the ownership of a shard

	// lastLeaderTransfer is the time at which this server last moved leadership to a preferred owner. Only the maintenance loop uses it.
	lastLeaderTransfer time.Time
}

// lifecycle owns the goroutines of a server. All of them are started by background.Go. They end when backgroundContext ends, when
// Close closes the groups, or when the peer network is closed.
type lifecycle struct {
	shuttingDown      atomic.Bool // set once, by shutDown or Close
	background        sync.WaitGroup
	backgroundContext context.Context // of the control loops
	cancelBackground  context.CancelFunc
	feedContext       context.Context // of the feed sessions, which end first
	cancelFeed        context.CancelFunc
}

// peerEndpoint is this server's end of the connections with the other servers. openPeerNetwork sets it; it does not change afterwards.
type peerEndpoint struct {
	network peerNetwork
	serve   func(net.Listener) error
	close   func()
}

// replicaGroups tells whether all replica groups are open, and how to close them. openGroups sets it.
type replicaGroups struct {
	opened chan struct{} // closed once all groups are open
	close  []func() error
}

// feedService serves the feed to agents. Each of its parts has its own mutex.
type feedService struct {
	encoder     *feedtransport.Encoder // shared by all feed sessions
	subscribers subscribers
	nodes       *edgeNodeTable
}

// newServer returns a server whose groups and peer network are not open yet.
func newServer(settings bootconfig.Settings, self consensus.Member, environment Environment, logger *zap.Logger) *Server {
	environment = environment.withDefaults()
	s := &Server{
		settings: settings, environment: environment, logger: logger, self: self, startedAt: environment.Now(),
		groups:   replicaGroups{opened: make(chan struct{})},
		feed:     feedService{encoder: feedtransport.NewEncoder(), nodes: newEdgeNodeTable()},
		liveness: newLivenessReports(),
		demands:  newDemandReports(),
	}
	info := serverInfo{Address: self.Address, Zone: settings.Zone, Region: settings.Region}
	s.directory = newDirectory(info, seedPeerAddresses(settings))
	s.lifecycle.backgroundContext, s.lifecycle.cancelBackground = context.WithCancel(context.Background())
	s.lifecycle.feedContext, s.lifecycle.cancelFeed = context.WithCancel(context.Background())
	heartbeatInterval := time.Duration(settings.HeartbeatMs) * time.Millisecond
	for i := range s.shards {
		s.shards[i] = &shard{id: shards.ID(i), stateMachine: newStateMachine(shards.ID(i), heartbeatInterval, environment)}
	}
	return s
}

// newStateMachine returns the empty state machine of a shard.
func newStateMachine(id shards.ID, heartbeatInterval time.Duration, environment Environment) stateMachine {
	if id == shards.ConfigurationShard {
		return newConfigurationMachine(environment)
	}
	return newRegistryMachine(heartbeatInterval, environment)
}

// Self returns this server as a member of its groups.
func (s *Server) Self() consensus.Member { return s.self }

// Inspect returns the status of all groups without the ages that depend on the current time. It reads no clock, so that a simulation
// may call it at any time.
func (s *Server) Inspect() []replica.Status {
	var all []replica.Status
	for _, shard := range s.shards {
		if group, ok := shard.group.(*replica.Group); ok {
			all = append(all, group.StatusWithoutAge())
		}
	}
	return all
}

// uptime returns the time since the server was opened, by its monotonic clock.
func (s *Server) uptime() time.Duration { return s.environment.Now().Sub(s.startedAt) }
