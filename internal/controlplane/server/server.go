package server

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/coord/seglog"
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
func newServer(config bootconfig.Settings, self consensus.Member, outside Environment, log *zap.Logger) *Server {
	outside = outside.withDefaults()
	s := &Server{
		settings: config, environment: outside, logger: log, self: self, edgeNodes: newEdgeNodeTable(), liveness: newLivenessReports(), demands: newDemandReports(),
		feedEncoder: feedtransport.NewEncoder(), groupsOpened: make(chan struct{}), startedAt: outside.Now(),
	}
	place := serverInfo{Address: self.Address, Zone: config.Zone, Region: config.Region}
	s.directory = newDirectory(place, seedPeerAddresses(config))
	s.backgroundContext, s.cancelBackground = context.WithCancel(context.Background())
	s.feedContext, s.cancelFeed = context.WithCancel(context.Background())
	heartbeatInterval := time.Duration(config.HeartbeatMs) * time.Millisecond
	for i := range s.shards {
		s.shards[i] = &shard{id: shards.ID(i), stateMachine: newStateMachine(shards.ID(i), heartbeatInterval, outside)}
	}
	return s
}

func newStateMachine(id shards.ID, heartbeatInterval time.Duration, outside Environment) stateMachine {
	if id == shards.ConfigurationShard {
		return newConfigurationMachine(outside)
	}
	return newRegistryMachine(heartbeatInterval, outside)
}

// ownPeerAddress is where this keeper takes its peers: the IP of its control address, first port.
func ownPeerAddress(config bootconfig.Settings) string {
	control, err := netip.ParseAddrPort(config.Listen.Control)
	if err != nil {
		return config.PeerAddress()
	}
	return config.PeerAddressOf(control.Addr().String())
}

func seedPeerAddresses(config bootconfig.Settings) []string { return config.SeedPeerAddresses() }

// openPeerNetwork makes the connections' end of this keeper. It accepts nothing yet.
func (s *Server) openPeerNetwork() error {
	network, err := peertransport.New(peertransport.Options{
		Self: peertransport.Hello{
			Address: s.self.Address, Member: s.self.ID, Zone: s.settings.Zone, Region: s.settings.Region,
		},
		Handler: s, Logger: s.logger, Dial: s.environment.Dial, Now: s.environment.Now, Random: s.environment.Random,
	})
	if err != nil {
		return err
	}
	s.network, s.servePeers, s.closeNetwork = network, network.Serve, network.Close
	return nil
}

// openGroups opens all replicas. One that cannot be opened now, as with a full disk, is tried again
// until ctx ends; one that is damaged gives seglog.ErrDamaged.
func (s *Server) openGroups(ctx context.Context, founders []consensus.Member) error {
	for _, shard := range s.shards {
		for {
			err := s.openGroup(shard, founders)
			if err == nil {
				break
			}
			if errors.Is(err, seglog.ErrCorrupt) {
				return eris.Wrapf(err, "open the replica of shard %d", shard.id)
			}
			s.logger.Error("a replica cannot be opened", zap.Uint32("shard", uint32(shard.id)), zap.Error(err))
			if !waitForChange(ctx, nil, openRetryInterval) {
				return eris.Wrapf(err, "open the replica of shard %d", shard.id)
			}
		}
	}
	close(s.groupsOpened)
	return nil
}

func (s *Server) openGroup(shard *shard, founders []consensus.Member) error {
	group, err := replica.Open(replica.Options{
		Shard:            shard.id,
		Directory:        replicaDirectory(s.settings.DataDir, shard.id),
		FileSystem:       s.environment.FileSystem,
		Self:             s.self,
		BootstrapMembers: founders,
		StateMachine:     shard.stateMachine,
		Send: func(to consensus.Member, message consensus.Message) {
			s.network.Send(to, shard.id, message)
		},
		OnApplied:         func(uint64) { s.feedSubscribers.wake() },
		OnStatus:          func(status replica.Status) { s.onGroupStatus(shard, status) },
		ElectionTimeout:   electionTimeout,
		HeartbeatInterval: groupHeartbeatInterval,
		Logger:            s.logger,
		Clock:             groupClock{now: s.environment.Now, start: s.startedAt},
		OmitRules:         s.environment.OmitRules,
	})
	if err != nil {
		return err
	}
	shard.group = group
	s.closeGroups = append(s.closeGroups, group.Close)
	return nil
}

// Connected notes where a peer is.
func (s *Server) Connected(peer peertransport.Hello) {
	s.directory.learn(serverInfo{Address: peer.Address, Zone: peer.Zone, Region: peer.Region})
}

// Messages hands agreement messages to their groups. Those for an earlier member with this
// address are dropped.
func (s *Server) Messages(_ peertransport.Hello, batch []peertransport.GroupMessage) {
	for _, one := range batch {
		if one.Message.To == s.self.ID || !s.environment.guardEnabled(GuardMemberAddressed) {
			s.shards[one.Shard].group.Step(one.Message)
		}
	}
}

// Call carries out what another keeper asks.
func (s *Server) Call(ctx context.Context, peer peertransport.Hello, kind peertransport.CallKind, body []byte) ([]byte, error) {
	switch kind {
	case callJoin:
		return s.receiveJoin(peer, body)
	case callLeave:
		return s.receiveLeave(ctx, peer, body)
	case callIdentity:
		return encodeIdentity(identityReply{
			ID: s.self.ID, Age: s.environment.Now().Sub(s.startedAt), ShuttingDown: s.shuttingDown.Load(),
		})
	case callGroupStates:
		return codec.Marshal(groupsSchema, s.groupStates())
	}
	c, err := decodeShardRequest(body)
	if err != nil {
		return nil, err
	}
	return encodeShardResponse(s.execute(ctx, c))
}

// listenPeers opens the listener for peers and agents.
func (s *Server) listenPeers(ctx context.Context) (net.Listener, error) {
	listener, err := s.environment.Listen(ctx, s.self.Address)
	return listener, eris.Wrap(err, "listen for peers")
}
