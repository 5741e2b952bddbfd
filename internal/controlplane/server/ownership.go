package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
)

// onGroupStatus handles a change of a group's role, leader or members. The group's event loop calls it: it must not block.
func (s *Server) onGroupStatus(shard *shard, status replica.Status) {
	s.directory.setMembers(shard.id, status.Members)
	s.updateLeaderContext(shard, status.Leader)
	leading := uint64(0)
	if status.IsLeader() {
		leading = status.Term
	}
	shard.stateMachine.setLeaderTerm(leading)
	if s.updateLeadership(shard, status.IsLeader()) {
		s.logger.Info("became shard leader", zap.Uint32("shard", uint32(shard.id)), zap.Uint64("term", status.Term))
		s.lifecycle.background.Go(func() { s.acquireOwnership(shard, leading) })
	}
	s.ownersChanged.notifyAll()
	s.feed.subscribers.wake()
	s.environment.OnGroupStatus(status)
}

// updateLeaderContext cancels the calls to the earlier leader of a shard when the leader changes.
func (s *Server) updateLeaderContext(shard *shard, leader consensus.Member) {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	if shard.leader == leader && shard.leaderContext != nil {
		return
	}
	if shard.cancelLeaderContext != nil {
		shard.cancelLeaderContext()
	}
	shard.leader = leader
	shard.leaderContext, shard.cancelLeaderContext = context.WithCancel(context.Background())
}

// leaderContext returns a context that ends when the shard has another leader.
func (s *Server) leaderContext(shard *shard) context.Context {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	if shard.leaderContext == nil {
		return context.Background()
	}
	return shard.leaderContext
}

// updateLeadership records whether this server leads a shard, and reports whether it has just become the leader.
func (s *Server) updateLeadership(shard *shard, leads bool) (begun bool) {
	now := s.environment.Now()
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	begun = leads && shard.leadingSince.IsZero()
	switch {
	case begun:
		shard.leadingSince = now
	case !leads:
		shard.leadingSince = time.Time{}
	}
	return begun
}

// acquireOwnership waits until this replica has applied all that earlier leaders acknowledged, and then starts to own the shard,
// unless the leadership of the term has ended.
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

func (s *Server) ownershipBarrier(shard *shard) error {
	if !s.environment.guardEnabled(GuardOwnershipBarrier) {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.lifecycle.backgroundContext, membershipChangeTimeout)
	defer cancel()
	return shard.group.ReadBarrier(ctx)
}
