package server

import (
	"context"
	"slices"
	"sync"

	"go.uber.org/zap"

	"ospreybend/coord/shards"
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

// handOver transfers all leaderships of this server and then releases its votes, within leaderTransferTimeout.
func (s *Server) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), leaderTransferTimeout)
	defer cancel()
	startedAt := s.environment.Now()
	var waitGroup sync.WaitGroup
	for _, shard := range s.shards {
		if shard.group.Status().IsLeader() {
			waitGroup.Go(func() { s.transferLeadership(ctx, shard) })
		}
	}
	waitGroup.Wait()
	s.releaseVotes(ctx)
	s.logger.Info("shutting down", zap.Duration("handOverDuration", s.environment.Now().Sub(startedAt)))
}

// transferLeadership transfers the leadership of one shard. It retries while the group rejects the transfer, until ctx ends.
func (s *Server) transferLeadership(ctx context.Context, shard *shard) {
	for {
		err := shard.group.TransferLeadership(ctx)
		if err == nil || !shard.group.Status().IsLeader() {
			return
		}
		if !waitForChange(ctx, nil, ownerRetryInterval) {
			s.logger.Warn("leadership transfer failed", zap.Uint32("shard", uint32(shard.id)), zap.Error(err))
			return
		}
	}
}

// releaseVotes notifies the leaders of all groups in which this server votes that it is shutting down, and waits until each has
// reconciled its members. A leader without a successor for the vote answers immediately. Groups without a known leader, or whose
// leader has just changed, are retried until ctx ends.
func (s *Server) releaseVotes(ctx context.Context) {
	remaining := slices.Clone(allShards[:])
	for len(remaining) > 0 {
		var waitGroup sync.WaitGroup
		var mutex sync.Mutex
		votesByLeader, notLed := s.votesByLeader(ctx, remaining)
		for address, votes := range votesByLeader {
			waitGroup.Go(func() {
				rejected := s.requestRelease(ctx, address, votes)
				mutex.Lock()
				defer mutex.Unlock()
				notLed = append(notLed, rejected...)
			})
		}
		waitGroup.Wait()
		remaining = notLed
		if !waitForChange(ctx, nil, releasePollInterval) {
			return
		}
	}
}

// requestRelease notifies one leader and returns the groups that it does not lead, or all of them if the call failed.
func (s *Server) requestRelease(ctx context.Context, leader string, votes []groupState) []shards.ID {
	body, err := codec.Marshal(groupsSchema, votes)
	if err != nil {
		return nil
	}
	reply, err := s.peers.network.Call(ctx, leader, callLeave, body)
	if err != nil {
		s.logger.Debug("vote release request failed", zap.String("leader", leader), zap.Error(err))
		return shardsOf(votes)
	}
	var notLed []groupState
	if strictavro.Unmarshal(codec, groupsSchema, reply, &notLed) != nil {
		return nil
	}
	return shardsOf(notLed)
}

func shardsOf(states []groupState) []shards.ID {
	found := make([]shards.ID, 0, len(states))
	for _, state := range states {
		found = append(found, shards.ID(state.Shard))
	}
	return found
}

// votesByLeader returns those of the given shards in which this server is a voter, grouped by the address of their leader. Shards that
// still have no known leader after leaderDiscoveryTimeout are returned as unknown: after a transfer it takes a moment to learn of the
// new leader.
func (s *Server) votesByLeader(ctx context.Context, candidates []shards.ID) (found map[string][]groupState, unknown []shards.ID) {
	ctx, cancel := context.WithTimeout(ctx, leaderDiscoveryTimeout)
	defer cancel()
	found = make(map[string][]groupState)
	for _, id := range candidates {
		group := s.shards[id].group
		status := group.Status()
		for isVoter(status, s.self.ID) && status.Leader.Address == "" && waitForChange(ctx, nil, releasePollInterval) {
			status = group.Status()
		}
		leader := status.Leader.Address
		switch {
		case !isVoter(status, s.self.ID):
		case leader == "" || leader == s.self.Address:
			unknown = append(unknown, id)
		default:
			found[leader] = append(found[leader], groupState{Shard: int(id), Voter: true})
		}
	}
	return found, unknown
}
