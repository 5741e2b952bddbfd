package server

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
)

// runMaintenance does at an interval what only the owners of shards do, until ctx ends.
func (s *Server) runMaintenance(ctx context.Context) {
	runPeriodically(ctx, maintenanceInterval, func() {
		for _, shard := range s.shards {
			s.maintainShard(ctx, shard)
		}
	})
}

// runPeriodically calls a function at an interval until ctx ends.
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

func (s *Server) maintainShard(ctx context.Context, shard *shard) {
	status := shard.group.Status()
	if !status.IsLeader() {
		shard.preferredReadySince = time.Time{} // what it saw in an earlier leadership says nothing
		return
	}
	now := s.environment.Now()
	s.startExpiry(shard, shard.stateMachine.expiryCommands(now))
	if _, found := nextMembershipChange(s.observeGroup(shard, status)); found {
		s.startReconcile(shard)
	}
	s.balanceLeadership(ctx, shard, status, now)
}

// startExpiry proposes the removal of instances that fell silent. What fails is decided on anew later.
func (s *Server) startExpiry(shard *shard, commands [][]byte) {
	if len(commands) == 0 {
		return
	}
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(s.backgroundContext, membershipChangeTimeout)
		defer cancel()
		var group errgroup.Group
		group.SetLimit(maxConcurrentProposals)
		for _, command := range commands {
			group.Go(func() error {
				_, _, err := shard.group.Propose(ctx, command)
				return err
			})
		}
		err := group.Wait()
		s.logger.Info("instances expired",
			zap.Uint32("shard", uint32(shard.id)), zap.Int("count", len(commands)), zap.Error(err))
	})
}

// onGroupStatus follows a group's role and members. Called by the group's loop: it must not block.
func (s *Server) onGroupStatus(shard *shard, status replica.Status) {
	s.directory.setMembers(shard.id, status.Members)
	s.updateLeaderContext(shard, status.Leader)
	leading := uint64(0)
	if status.IsLeader() {
		leading = status.Term
	}
	shard.stateMachine.setLeaderTerm(leading)
	if s.updateLeadership(shard, status.IsLeader()) {
		s.logger.Info("leads a shard", zap.Uint32("shard", uint32(shard.id)), zap.Uint64("term", status.Term))
		s.background.Go(func() { s.acquireOwnership(shard, leading) })
	}
	s.ownersChanged.notifyAll()
	s.feedSubscribers.wake()
	s.environment.OnGroupStatus(status)
}

// updateLeaderContext ends the calls that wait for an owner of the shard who is no longer the leader.
func (s *Server) updateLeaderContext(shard *shard, leader consensus.Member) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if shard.leader == leader && shard.leaderContext != nil {
		return
	}
	if shard.cancelLeaderContext != nil {
		shard.cancelLeaderContext()
	}
	shard.leader = leader
	shard.leaderContext, shard.cancelLeaderContext = context.WithCancel(context.Background())
}

// leaderContext ends when the leader of the shard is another one.
func (s *Server) leaderContext(shard *shard) context.Context {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if shard.leaderContext == nil {
		return context.Background()
	}
	return shard.leaderContext
}

// updateLeadership records whether a shard is led, and tells whether that has just begun.
func (s *Server) updateLeadership(shard *shard, leads bool) (begun bool) {
	now := s.environment.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	begun = leads && shard.leadingSince.IsZero()
	switch {
	case begun:
		shard.leadingSince = now
	case !leads:
		shard.leadingSince = time.Time{}
	}
	return begun
}

// acquireOwnership waits until this replica has applied all that earlier leaders acknowledged, and
// then starts to own the shard, unless it no longer leads in the term.
func (s *Server) acquireOwnership(shard *shard, term uint64) {
	select {
	case <-s.groupsOpened:
	case <-s.backgroundContext.Done():
		return
	}
	for s.backgroundContext.Err() == nil {
		err := s.ownershipBarrier(shard)
		status := shard.group.Status()
		if err == nil {
			shard.stateMachine.ownershipGained(s.environment.Now(), term)
			s.ownersChanged.notifyAll()
			return
		}
		if !status.IsLeader() || status.Term != term {
			return
		}
		waitForChange(s.backgroundContext, nil, ownerRetryInterval)
	}
}

func (s *Server) ownershipBarrier(shard *shard) error {
	if !s.environment.guardEnabled(GuardOwnershipBarrier) {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.backgroundContext, membershipChangeTimeout)
	defer cancel()
	return shard.group.ReadBarrier(ctx)
}

func (s *Server) logMembershipChange(shard *shard, change replica.Change, err error) {
	fields := []zap.Field{zap.Uint32("shard", uint32(shard.id)), zap.Error(err)}
	if change.Add != nil {
		fields = append(fields, zap.String("add", change.Add.Address), zap.Bool("voter", change.Add.Voter))
	} else {
		fields = append(fields, zap.Uint64("remove", uint64(change.Remove)))
	}
	s.logger.Info("membership change", fields...)
}
