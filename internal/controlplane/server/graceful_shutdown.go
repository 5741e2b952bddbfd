package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/internal/util/strictavro"
)

// shutDown shuts the server down gracefully. It ends the feed sessions, so that agents switch to other servers immediately, hands over
// the leaderships and votes of this server, and only then stops the API and the control loops.
func (s *Server) shutDown(api APIServer) {
	s.lifecycle.shuttingDown.Store(true)
	s.lifecycle.cancelFeed()
	s.handOver()
	ctx, cancel := context.WithTimeout(context.Background(), apiShutdownTimeout)
	defer cancel()
	_ = api.Shutdown(ctx)
	s.lifecycle.cancelBackground()
}

// handOver transfers the leaderships of this server and releases its votes, all groups concurrently.
func (s *Server) handOver() {
	startedAt := s.environment.Now()
	s.lifecycle.background.Go(func() { s.announceLeaving(s.lifecycle.backgroundContext) })
	var waitGroup sync.WaitGroup
	for _, shard := range s.shards {
		waitGroup.Go(func() { s.leaveGroup(context.Background(), shard) })
	}
	waitGroup.Wait()
	s.logger.Info("shutting down", zap.Duration("handOverDuration", s.environment.Now().Sub(startedAt)))
}

// successionTimeout is how long a server that is shutting down waits for a successor that can be expected.
// It leaves a quarter of the time until SIGKILL for the rest of the shutdown.
func (s *Server) successionTimeout() time.Duration {
	grace := time.Duration(s.currentSettings().Bounds.GraceS * float64(time.Second))
	return max(handOverTimeout, grace*3/4)
}

// departure is how far a server that is shutting down has left a group.
type departure int

const (
	departureRefused departure = iota // the member asked does not lead the group or cannot be reached
	departurePending                  // a successor is catching up or a membership change is in progress
	departureSettled                  // the vote is released or nobody can take it
)

// leaveGroup gives up this server's leadership and vote in one group. It returns once the leader has released the vote or has no
// successor for it. If no leader answers within handOverTimeout, it returns unless a successor can be expected, and after
// successionTimeout in any case.
func (s *Server) leaveGroup(ctx context.Context, shard *shard) {
	ctx, cancel := context.WithTimeout(ctx, s.successionTimeout())
	defer cancel()
	deadline := s.environment.Now().Add(handOverTimeout)
	for {
		reached := s.tryLeaveGroup(ctx, shard)
		if reached == departureSettled {
			return
		}
		timedOut := reached == departureRefused && !s.environment.Now().Before(deadline)
		if timedOut && !s.isSuccessorExpected(ctx, shard) || !waitForChange(ctx, nil, releasePollInterval) {
			s.logger.Warn("vote not released", zap.Uint32("shard", uint32(shard.id)))
			return
		}
	}
}

// tryLeaveGroup takes the next step of leaving a group: a leader passes on the leadership, another member asks the leader to release its
// vote.
func (s *Server) tryLeaveGroup(ctx context.Context, shard *shard) departure {
	status := shard.group.Status()
	switch {
	case !isMember(status, s.self.ID):
		return departureSettled
	case status.IsLeader():
		return s.resign(ctx, shard, status)
	case status.Leader.Address == "" || status.Leader.Address == s.self.Address:
		return departureRefused
	}
	return s.requestRelease(ctx, status.Leader.Address, groupState{Shard: int(shard.id), Voter: isVoter(status, s.self.ID)})
}

// resign transfers the leadership of a group to a voter that stays. If all other voters are leaving too or cannot be reached, this
// server remains the leader and makes successors voters. The departure is settled if there are none.
func (s *Server) resign(ctx context.Context, shard *shard, status replica.Status) departure {
	staying, leaving := s.otherVoters(ctx, shard, status)
	if len(staying) == 0 && s.environment.guardEnabled(GuardMajorityHandedOver) {
		if s.isReleaseSettled(shard, status, s.self.ID) {
			return departureSettled
		}
		return departurePending
	}
	ctx, cancel := context.WithTimeout(ctx, leaderTransferTimeout)
	defer cancel()
	if err := shard.group.TransferLeadership(ctx, leaving...); err != nil {
		s.logger.Debug("leadership transfer failed", zap.Uint32("shard", uint32(shard.id)), zap.Error(err))
		waitForChange(ctx, nil, ownerRetryInterval)
	}
	return departureRefused
}

// otherVoters asks the other voters of a group whether they are shutting down. staying are those that are not, leaving those that are or
// have announced it; voters that do not answer are in neither.
func (s *Server) otherVoters(ctx context.Context, shard *shard, status replica.Status) (staying, leaving []consensus.MemberID) {
	if !s.environment.guardEnabled(GuardMajorityHandedOver) {
		return nil, nil
	}
	var others []consensus.Member
	for _, member := range status.Members {
		if member.Voter && member.ID != s.self.ID {
			others = append(others, member)
		}
	}
	identities := s.queryIdentities(ctx, others)
	now := s.environment.Now()
	for _, member := range others {
		identity, answered := identities[member.ID]
		switch {
		case answered && !identity.ShuttingDown:
			staying = append(staying, member.ID)
		case answered:
			shard.recordLeaving(member.ID, now)
			leaving = append(leaving, member.ID)
		}
	}
	return staying, leaving
}

// isSuccessorExpected reports whether a server waits that could take this server's vote, or the voters that stay need this one for a
// majority.
func (s *Server) isSuccessorExpected(ctx context.Context, shard *shard) bool {
	status := shard.group.Status()
	if !isVoter(status, s.self.ID) || !s.environment.guardEnabled(GuardMajorityHandedOver) {
		return false
	}
	asked := slices.Clone(status.Members)
	for _, request := range s.joinRequests.recent(shard.id, s.environment.Now()) {
		asked = append(asked, consensus.Member{ID: request.ID, Address: request.Address})
	}
	voters, stayingVoters, successors := 0, 0, 0
	identities := s.queryIdentities(ctx, asked)
	for _, member := range asked {
		identity, answered := identities[member.ID]
		stays := answered && !identity.ShuttingDown && member.ID != s.self.ID
		switch {
		case member.Voter && stays:
			voters++
			stayingVoters++
		case member.Voter:
			voters++
		case stays:
			successors++
		}
	}
	return successors > 0 || stayingVoters > 0 && stayingVoters <= voters/2
}

// requestRelease asks the leader of a group to release this server's vote. A leader answers once it has done so or if it has no successor
// for it.
func (s *Server) requestRelease(ctx context.Context, leader string, state groupState) departure {
	body, err := codec.Marshal(groupsSchema, []groupState{state})
	if err != nil {
		return departureSettled
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	reply, err := s.peers.network.Call(ctx, leader, callLeave, body)
	if err != nil {
		s.logger.Debug("vote release request failed", zap.String("leader", leader), zap.Error(err))
		if ctx.Err() != nil {
			return departurePending
		}
		return departureRefused
	}
	var notLed []groupState
	if strictavro.Unmarshal(codec, groupsSchema, reply, &notLed) == nil && len(notLed) > 0 {
		return departureRefused
	}
	return departureSettled
}

// announceLeaving tells the other members of all groups, until ctx ends, that this server is shutting down, so that each of them knows
// it should it become the leader.
func (s *Server) announceLeaving(ctx context.Context) {
	body, err := codec.Marshal(groupsSchema, s.groupStates())
	if err != nil {
		return
	}
	for {
		for _, other := range s.directory.serving() {
			if other.Address != s.self.Address {
				s.lifecycle.background.Go(func() { s.sendLeaving(ctx, other.Address, body) })
			}
		}
		if !waitForChange(ctx, nil, leavingNoticeInterval) {
			return
		}
	}
}

// sendLeaving sends one announcement. The answer does not matter: a leader gives it only once it has released the votes.
func (s *Server) sendLeaving(ctx context.Context, address string, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, joinInterval)
	defer cancel()
	_, _ = s.peers.network.Call(ctx, address, callLeave, body)
}
