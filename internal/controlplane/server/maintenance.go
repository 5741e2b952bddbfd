package server

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// runMaintenance runs the periodic work of shard leaders until ctx ends: instance expiry, membership changes and leadership balance.
func (s *Server) runMaintenance(ctx context.Context) {
	runPeriodically(ctx, maintenanceInterval, func() {
		for _, shard := range s.shards {
			s.maintainShard(ctx, shard)
		}
		s.logSuspicions()
	})
}

// runPeriodically calls a function at a fixed interval until ctx ends. The first call is made after one interval.
func runPeriodically(ctx context.Context, interval time.Duration, function func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			function()
		}
	}
}

// maintainShard runs one maintenance round for a shard. A server that does not lead the shard only checks the replica's contact with a
// majority.
func (s *Server) maintainShard(ctx context.Context, shard *shard) {
	status := shard.group.Status()
	s.logMajorityContact(shard, status)
	if !status.IsLeader() {
		shard.preferredReadySince = time.Time{} // discard observations of an earlier leadership
		return
	}
	now := s.environment.Now()
	s.startExpiry(shard, shard.stateMachine.expiryCommands(now))
	if _, found := nextMembershipChange(s.observeGroup(shard, status)); found {
		s.startReconcile(shard)
	}
	s.balanceLeadership(ctx, shard, status, now)
}

// startExpiry proposes the removal of expired instances in the background. A later round proposes again what could not be committed.
func (s *Server) startExpiry(shard *shard, commands [][]byte) {
	if len(commands) == 0 {
		return
	}
	s.lifecycle.background.Go(func() {
		ctx, cancel := context.WithTimeout(s.lifecycle.backgroundContext, proposalTimeout)
		defer cancel()
		err := shard.proposeAll(ctx, commands, maxConcurrentProposals)
		s.logger.Info("instances expired",
			zap.Uint32("shard", uint32(shard.id)), zap.Int("count", len(commands)), zap.Error(err))
	})
}
