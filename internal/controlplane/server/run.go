package server

import (
	"context"
	"errors"
	"runtime/debug"
	"sync"

	"go.uber.org/zap"

	"ospreybend/coord/seglog"
	"ospreybend/internal/util/bootconfig"
)

// Run works as a keeper until ctx ends; it then hands over what it leads, within about two seconds.
// Errors: a listener or the disk cannot be used.
func Run(ctx context.Context, config bootconfig.Settings, log *zap.Logger) error {
	limitMemory(config.Limits.MemoryMb)
	workers, err := newHTTPWorkerClient()
	if err != nil {
		return err
	}
	s, err := Open(ctx, config, Environment{Workers: workers}, log)
	if err != nil {
		return err
	}
	defer s.Close()
	control, err := listenControl(ctx, config.Listen.Control)
	if err != nil {
		return err
	}
	defer func() { _ = control.Close() }() // if the server has not begun to run
	return s.Serve(ctx, newAPIServer(s, control))
}

// limitMemory has the collector work harder as the machine's memory fills.
func limitMemory(memoryMb int) {
	if memoryMb <= 0 {
		return
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryMb) << 20 * memoryLimitPercent / 100)
}

// Open prepares a keeper and opens its replicas. If one of them is damaged, the disk counts as lost: the keeper takes
// a new member ID and begins without any replica, since what it may have promised is not known any more.
func Open(ctx context.Context, config bootconfig.Settings, outside Environment, log *zap.Logger) (*Server, error) {
	for {
		s, err := openServer(ctx, config, outside, log)
		if !errors.Is(err, seglog.ErrCorrupt) {
			return s, err
		}
		log.Error("this disk counts as lost", zap.Error(err))
		if err := seglog.RemoveMemberID(outside.FileSystem, config.DataDir); err != nil {
			return nil, err
		}
	}
}

func openServer(ctx context.Context, config bootconfig.Settings, outside Environment, log *zap.Logger) (*Server, error) {
	start := &identityResolver{config: config, address: ownPeerAddress(config), environment: outside.withDefaults()}
	self, founders, err := start.resolveWithRetry(ctx, log)
	if err != nil {
		return nil, err
	}
	s := newServer(config, self, outside, log)
	if err := s.openPeerNetwork(); err != nil {
		return nil, err
	}
	if err := s.openGroups(ctx, founders); err != nil {
		s.Close()
		return nil, err
	}
	log.Info("keeper opened", zap.String("address", self.Address), zap.Uint64("member", uint64(self.ID)),
		zap.Bool("founder", founders != nil))
	return s, nil
}

// APIServer takes calls from outside the process and hands them to Handle. Run returns after Shutdown, or with a fault.
type APIServer interface {
	Run() error
	Shutdown(ctx context.Context) error
}

// Serve runs all parts until ctx ends or one of them fails; it then hands over what it leads. Errors: the listener for
// peers cannot be opened, or a listener fails.
func (s *Server) Serve(ctx context.Context, api APIServer) error {
	peers, err := s.listenPeers(ctx)
	if err != nil {
		return err
	}
	failed := make(chan error, 2)
	s.runGroups()
	s.background.Go(func() { s.runJoin(s.backgroundContext) })
	s.background.Go(func() { s.runNodeHeartbeats(s.backgroundContext) })
	s.background.Go(func() { s.runLivenessReports(s.backgroundContext) })
	s.background.Go(func() { s.runMaintenance(s.backgroundContext) })
	if s.environment.Workers != nil {
		s.background.Go(func() { s.forwardDemands(s.backgroundContext) })
		s.background.Go(func() { s.runRolePlanner(s.backgroundContext) })
	}
	s.background.Go(func() {
		if err := s.servePeers(peers); err != nil {
			failed <- err
		}
	})
	s.background.Go(func() {
		if err := api.Run(); err != nil && !s.shuttingDown.Load() {
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

// groupRunner is what runGroups needs beside replicaGroup.
type groupRunner interface {
	Run(ctx context.Context) error
}

// runGroups starts the groups' loops; they end when the groups are closed.
func (s *Server) runGroups() {
	for _, shard := range s.shards {
		group, ok := shard.group.(groupRunner)
		if !ok {
			continue
		}
		s.background.Go(func() {
			if err := group.Run(context.Background()); err != nil {
				s.logger.Error("a replica has stopped", zap.Uint32("shard", uint32(shard.id)), zap.Error(err))
			}
		})
	}
}

// closeAllGroups closes the replicas at the same time, since each may wait for a disk that hangs.
func (s *Server) closeAllGroups() {
	var waitGroup sync.WaitGroup
	for _, closeGroup := range s.closeGroups {
		waitGroup.Go(func() {
			if err := closeGroup(); err != nil {
				s.logger.Warn("a replica was not closed well", zap.Error(err))
			}
		})
	}
	waitGroup.Wait()
}

// Close ends everything that Open and Serve have begun, without a hand-over.
func (s *Server) Close() {
	s.shuttingDown.Store(true)
	s.cancelBackground()
	s.cancelFeed()
	s.closeAllGroups()
	if s.closeNetwork != nil {
		s.closeNetwork()
	}
	s.background.Wait()
}
