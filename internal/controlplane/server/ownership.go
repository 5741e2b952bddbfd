package server

import (
	"context"

	"go.uber.org/zap"

	"ospreybend/coord/replica"
)

// onGroupStatus handles a change of a group's role, leader or members. It is called by the group's event loop and must not block.
func (s *Server) onGroupStatus(shard *shard, status replica.Status) {
	s.directory.setMembers(shard.id, status.Members)
	shard.setLeader(status.Leader)
	leaderTerm := uint64(0)
	if status.IsLeader() {
		leaderTerm = status.Term
	}
	shard.stateMachine.setLeaderTerm(leaderTerm)
	if shard.setLeading(status.IsLeader(), s.environment.Now()) {
		s.logger.Info("became shard leader", zap.Uint32("shard", uint32(shard.id)), zap.Uint64("term", status.Term))
		s.lifecycle.background.Go(func() { s.acquireOwnership(shard, leaderTerm) })
	}
	s.ownersChanged.notifyAll()
	s.feed.subscribers.wake()
	s.environment.OnGroupStatus(status)
}

// acquireOwnership waits until this replica has applied everything that earlier leaders acknowledged and then takes ownership of the
// shard. It gives up when this replica no longer leads in the given term.
func (s *Server) acquireOwnership(shard *shard, term uint64) {
	select {
	case <-s.groups.opened:
	case <-s.lifecycle.backgroundContext.Done():
		return
	}
	for s.lifecycle.backgroundContext.Err() == nil {
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
		waitForChange(s.lifecycle.backgroundContext, nil, ownerRetryInterval)
	}
}

// ownershipBarrier waits until this replica has applied everything that was committed when it was called.
func (s *Server) ownershipBarrier(shard *shard) error {
	if !s.environment.guardEnabled(GuardOwnershipBarrier) {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.lifecycle.backgroundContext, proposalTimeout)
	defer cancel()
	return shard.group.ReadBarrier(ctx)
}
