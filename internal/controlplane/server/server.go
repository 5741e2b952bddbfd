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

// peerNetwork is what a keeper uses of the network of keepers.
type peerNetwork interface {
	Send(to consensus.Member, shard shards.ID, message consensus.Message)
	Call(ctx context.Context, address string, kind peertransport.CallKind, body []byte) ([]byte, error)
	LastReceived(address string) time.Time
	Peers() []peertransport.PeerStatus
}

// Server is one process of the control plane.
type Server struct {
	settings    bootconfig.Settings
	environment Environment
	logger      *zap.Logger
	self        consensus.Member
	shards      [shards.ShardCount]*shard
	network     peerNetwork
	directory   *directory
	edgeNodes   *edgeNodeTable
	feedEncoder *feedtransport.Encoder // of the feed's sessions

	liveness        *livenessReports
	demands         *demandReports
	joinRequests    joinRequests
	ownersChanged   broadcast
	feedSubscribers subscribers
	metrics         metrics
	shuttingDown    atomic.Bool
	groupsOpened    chan struct{} // closed once all groups are open
	startedAt       time.Time

	backgroundContext  context.Context // of what the keeper does by itself
	feedContext        context.Context // of the feed's sessions
	cancelBackground   context.CancelFunc
	cancelFeed         context.CancelFunc
	background         sync.WaitGroup
	mutex              sync.Mutex
	lastLeaderTransfer time.Time // of maintain alone: when leadership was last handed to a preferred owner
	closeGroups        []func() error
	servePeers         func(net.Listener) error
	closeNetwork       func()
}

// newServer prepares a keeper that has no groups and no network yet.
func newServer(settings bootconfig.Settings, self consensus.Member, environment Environment, logger *zap.Logger) *Server {
	environment = environment.withDefaults()
	s := &Server{
		settings: settings, environment: environment, logger: logger, self: self, edgeNodes: newEdgeNodeTable(), liveness: newLivenessReports(), demands: newDemandReports(),
		feedEncoder: feedtransport.NewEncoder(), groupsOpened: make(chan struct{}), startedAt: environment.Now(),
	}
	info := serverInfo{Address: self.Address, Zone: settings.Zone, Region: settings.Region}
	s.directory = newDirectory(info, seedPeerAddresses(settings))
	s.backgroundContext, s.cancelBackground = context.WithCancel(context.Background())
	s.feedContext, s.cancelFeed = context.WithCancel(context.Background())
	heartbeatInterval := time.Duration(settings.HeartbeatMs) * time.Millisecond
	for i := range s.shards {
		s.shards[i] = &shard{id: shards.ID(i), stateMachine: newStateMachine(shards.ID(i), heartbeatInterval, environment)}
	}
	return s
}

func newStateMachine(id shards.ID, heartbeatInterval time.Duration, environment Environment) stateMachine {
	if id == shards.ConfigurationShard {
		return newConfigurationMachine(environment)
	}
	return newRegistryMachine(heartbeatInterval, environment)
}

// Self returns this keeper as a member of its groups.
func (s *Server) Self() consensus.Member { return s.self }

// Inspect returns the state of all groups without its age. It asks no clock.
func (s *Server) Inspect() []replica.Status {
	var all []replica.Status
	for _, shard := range s.shards {
		if group, ok := shard.group.(*replica.Group); ok {
			all = append(all, group.StatusWithoutAge())
		}
	}
	return all
}

// uptime is the time that the process has run, on its monotonic clock.
func (s *Server) uptime() time.Duration { return s.environment.Now().Sub(s.startedAt) }
