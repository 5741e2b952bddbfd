package server

import (
	"context"
	"errors"
	"net"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/coord/seglog"
	"ospreybend/internal/controlplane/peertransport"
	"ospreybend/internal/util/bootconfig"
	"ospreybend/internal/util/exposition"
	"runtime/debug"
	"sync"
)

// Run runs a control plane server until ctx ends and then shuts it down gracefully, which takes at most about two seconds, or nearly
// the grace period while a successor is catching up. It applies the settings received from changes. It returns an error if the disk
// cannot be used or a listener fails.
func Run(ctx context.Context, settings bootconfig.Settings, changes <-chan bootconfig.Settings, logger *zap.Logger) error {
	limitMemory(settings.Limits.MemoryMb)
	s, err := Open(ctx, settings, Environment{Workers: NewWorkerClient(DialWorker), SettingsChanges: changes, LimitMemory: true}, logger)
	if err != nil {
		return err
	}
	defer s.Close()
	control, err := listenControl(ctx, settings.Listen.Control)
	if err != nil {
		return err
	}
	defer func() { _ = control.Close() }() // needed if Serve fails before it runs the API server
	if address := settings.MetricsAddress(); address != "" {
		stopMetrics, err := exposition.Serve(address, s.families)
		if err != nil {
			logger.Error("metrics are not served", zap.Error(err))
		} else {
			defer stopMetrics()
		}
	}
	return s.Serve(ctx, newAPIServer(s, control))
}

// limitMemory derives the garbage collector's target percentage and memory limit from the machine's memory.
func limitMemory(memoryMb int) {
	if memoryMb <= 0 {
		return
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryMb) << 20 * memoryLimitPercent / 100)
}

// Open creates a server and opens its replicas. If a replica is damaged, the whole disk is treated as lost: the server takes a new
// member ID and starts without replicas, because it no longer knows which votes it cast and which entries it acknowledged.
func Open(ctx context.Context, settings bootconfig.Settings, environment Environment, logger *zap.Logger) (*Server, error) {
	for {
		s, err := openServer(ctx, settings, environment, logger)
		if !errors.Is(err, seglog.ErrCorrupt) {
			return s, err
		}
		logger.Error("replica damaged, disk treated as lost", zap.Error(err))
		if err := seglog.RemoveMemberID(environment.FileSystem, settings.DataDir); err != nil {
			return nil, err
		}
	}
}

// openServer determines this server's member ID and opens its peer network and replicas.
func openServer(ctx context.Context, settings bootconfig.Settings, environment Environment, logger *zap.Logger) (*Server, error) {
	resolver := &identityResolver{settings: settings, address: ownPeerAddress(settings), environment: environment.withDefaults()}
	self, founders, err := resolver.resolveWithRetry(ctx, logger)
	if err != nil {
		return nil, err
	}
	s := newServer(settings, self, environment, logger)
	if err := s.openPeerNetwork(); err != nil {
		return nil, err
	}
	if err := s.openGroups(ctx, founders); err != nil {
		s.Close()
		return nil, err
	}
	logger.Info("server opened", zap.String("address", self.Address), zap.Uint64("member", uint64(self.ID)),
		zap.Bool("founder", founders != nil))
	return s, nil
}

// openPeerNetwork creates this server's endpoint of the peer network. It does not accept
// connections yet.
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
	s.peers.network, s.peers.serve, s.peers.close = network, network.Serve, network.Close
	return nil
}

// openGroups opens all replicas. It retries a replica that cannot be opened at present, for example on a full disk, until ctx ends. If a
// replica is damaged, the error wraps seglog.ErrCorrupt.
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
			s.logger.Error("open replica failed, retrying", zap.Uint32("shard", uint32(shard.id)), zap.Error(err))
			if !waitForChange(ctx, nil, openRetryInterval) {
				return eris.Wrapf(err, "open the replica of shard %d", shard.id)
			}
		}
	}
	close(s.groups.opened)
	return nil
}

// openGroup opens the replica of one shard.
func (s *Server) openGroup(shard *shard, founders []consensus.Member) error {
	group, err := replica.Open(replica.Options{
		Shard:            shard.id,
		Directory:        replicaDirectory(s.settings.DataDir, shard.id),
		FileSystem:       s.environment.FileSystem,
		Self:             s.self,
		BootstrapMembers: founders,
		StateMachine:     s.environment.stateMachine(shard),
		Send: func(to consensus.Member, message consensus.Message) {
			s.peers.network.Send(to, shard.id, message)
		},
		OnApplied:         func(uint64) { s.feed.subscribers.wake() },
		OnStatus:          func(status replica.Status) { s.onGroupStatus(shard, status) },
		ElectionTimeout:   electionTimeout,
		HeartbeatInterval: groupHeartbeatInterval,
		Logger:            s.logger,
		Clock:             groupClock{now: s.environment.Now, start: s.startedAt},
		SnapshotEntries:   s.environment.SnapshotEntries,
		OmitRules:         s.environment.OmitConsensusRules,
	})
	if err != nil {
		return err
	}
	shard.group = group
	s.groups.close = append(s.groups.close, group.Close)
	return nil
}

// APIServer accepts API calls from other processes and passes them to Server.Handle. Run returns after Shutdown or with the error that
// stopped it.
type APIServer interface {
	Run() error
	Shutdown(ctx context.Context) error
}

// Serve runs the opened server until ctx ends or a listener fails, and then shuts down gracefully. It returns an error if the listener
// for peers cannot be opened or a listener fails.
func (s *Server) Serve(ctx context.Context, api APIServer) error {
	peers, err := s.listenPeers(ctx)
	if err != nil {
		return err
	}
	failed := make(chan error, 2)
	s.runGroups()
	s.startControlLoops()
	s.lifecycle.background.Go(func() {
		if err := s.peers.serve(peers); err != nil {
			failed <- err
		}
	})
	s.lifecycle.background.Go(func() {
		if err := api.Run(); err != nil && !s.lifecycle.shuttingDown.Load() {
			failed <- err
		}
	})
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-failed:
	}
	s.shutDown(api)
	return failure
}

// startControlLoops starts the loops that run until backgroundContext ends.
func (s *Server) startControlLoops() {
	loops := []func(context.Context){s.followSettings, s.runJoin, s.runNodeHeartbeats, s.runLivenessReports, s.runMaintenance}
	if s.environment.Workers != nil {
		loops = append(loops, s.forwardDemands, s.runRolePlanner)
	}
	for _, loop := range loops {
		s.lifecycle.background.Go(func() { loop(s.lifecycle.backgroundContext) })
	}
}

// groupRunner is a group with an event loop. The scripted groups in tests have none.
type groupRunner interface {
	Run(ctx context.Context) error
}

// runGroups starts the groups' event loops, which end when closeAllGroups closes the groups.
func (s *Server) runGroups() {
	for _, shard := range s.shards {
		group, ok := shard.group.(groupRunner)
		if !ok {
			continue
		}
		s.lifecycle.background.Go(func() {
			if err := group.Run(context.Background()); err != nil {
				s.logger.Error("replica stopped", zap.Uint32("shard", uint32(shard.id)), zap.Error(err))
			}
		})
	}
}

// listenPeers opens the listener for peers and agents.
func (s *Server) listenPeers(ctx context.Context) (net.Listener, error) {
	listener, err := s.environment.Listen(ctx, s.self.Address)
	return listener, eris.Wrap(err, "listen for peers")
}

// closeAllGroups closes the replicas concurrently, since closing one may block on a disk that does not respond.
func (s *Server) closeAllGroups() {
	var waitGroup sync.WaitGroup
	for _, closeGroup := range s.groups.close {
		waitGroup.Go(func() {
			if err := closeGroup(); err != nil {
				s.logger.Warn("close replica failed", zap.Error(err))
			}
		})
	}
	waitGroup.Wait()
}

// Close stops everything that Open and Serve have started, without handing over leaderships or votes, and waits until it has ended.
func (s *Server) Close() {
	s.lifecycle.shuttingDown.Store(true)
	s.lifecycle.cancelBackground()
	s.lifecycle.cancelFeed()
	s.closeAllGroups()
	if s.peers.close != nil {
		s.peers.close()
	}
	s.lifecycle.background.Wait()
}
