package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/peertransport"
	"ospreybend/internal/util/strictavro"
)

// shutDown ends the feed's sessions, so that agents go elsewhere at once, hands over all leaderships and, where a successor
// stands by, the places in the groups, and stops the API, which until then takes calls.
func (s *Server) shutDown(api APIServer) {
	s.shuttingDown.Store(true)
	s.cancelFeed()
	s.handOver()
	ctx, cancel := context.WithTimeout(context.Background(), apiShutdownTimeout)
	defer cancel()
	_ = api.Shutdown(ctx)
	s.cancelBackground()
}

// handOver transfers the leadership of all shards that this keeper leads, and then its places.
func (s *Server) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), leaderTransferTimeout)
	defer cancel()
	started := s.environment.Now()
	var waitGroup sync.WaitGroup
	for _, shard := range s.shards {
		if shard.group.Status().IsLeader() {
			waitGroup.Go(func() { s.transferLeadership(ctx, shard) })
		}
	}
	waitGroup.Wait()
	s.releaseVotes(ctx)
	s.logger.Info("leaving", zap.Duration("handed over in", s.environment.Now().Sub(started)))
}

// transferLeadership transfers the leadership of one shard, and tries again while the group refuses.
func (s *Server) transferLeadership(ctx context.Context, shard *shard) {
	for {
		err := shard.group.TransferLeadership(ctx)
		if err == nil || !shard.group.Status().IsLeader() {
			return
		}
		if !waitForChange(ctx, nil, ownerRetryInterval) {
			s.logger.Warn("leadership is not handed over", zap.Uint32("shard", uint32(shard.id)), zap.Error(err))
			return
		}
	}
}

// releaseVotes tells the leaders of the groups in which this keeper votes that it is about to end, and waits for what
// they make of it. A leader without a successor at hand answers at once. Where none is known, or the one asked leads
// no more, the next one is awaited.
func (s *Server) releaseVotes(ctx context.Context) {
	remaining := slices.Clone(allShards[:])
	for len(remaining) > 0 {
		var waitGroup sync.WaitGroup
		var mutex sync.Mutex
		votes, elsewhere := s.votesByLeader(ctx, remaining)
		for address, votes := range votes {
			waitGroup.Go(func() {
				refused := s.requestRelease(ctx, address, votes)
				mutex.Lock()
				defer mutex.Unlock()
				elsewhere = append(elsewhere, refused...)
			})
		}
		waitGroup.Wait()
		remaining = elsewhere
		if !waitForChange(ctx, nil, releasePollInterval) {
			return
		}
	}
}

// requestRelease tells one leader, and returns the groups that it does not lead.
func (s *Server) requestRelease(ctx context.Context, leader string, votes []groupState) []shards.ID {
	body, err := codec.Marshal(groupsSchema, votes)
	if err != nil {
		return nil
	}
	reply, err := s.network.Call(ctx, leader, callLeave, body)
	if err != nil {
		s.logger.Debug("a leader does not take leave", zap.String("leader", leader), zap.Error(err))
		return shardsOf(votes)
	}
	var states []groupState
	if strictavro.Unmarshal(codec, groupsSchema, reply, &states) != nil {
		return nil
	}
	return shardsOf(states)
}

func shardsOf(states []groupState) []shards.ID {
	found := make([]shards.ID, 0, len(states))
	for _, state := range states {
		found = append(found, shards.ID(state.Shard))
	}
	return found
}

// votesByLeader returns the groups in which this keeper votes, out of some, by the address of their leader, and those whose
// leader is not known. Where leadership has just been handed over, the new leader may be known a moment later.
func (s *Server) votesByLeader(ctx context.Context, among []shards.ID) (found map[string][]groupState, unknown []shards.ID) {
	ctx, cancel := context.WithTimeout(ctx, leaderDiscoveryTimeout)
	defer cancel()
	found = make(map[string][]groupState)
	for _, id := range among {
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

// receiveLeave notes as the leader of groups that a voter is about to end, and returns once its place is taken or nobody is
// there to take it. The reply names the groups that this keeper does not lead.
func (s *Server) receiveLeave(ctx context.Context, peer peertransport.Hello, body []byte) ([]byte, error) {
	var states []groupState
	if err := strictavro.Unmarshal(codec, groupsSchema, body, &states); err != nil {
		return nil, err
	}
	var waitGroup sync.WaitGroup
	elsewhere := []groupState{}
	for _, state := range states {
		if state.Shard < 0 || state.Shard >= shards.ShardCount {
			continue
		}
		shard := s.shards[state.Shard]
		s.recordLeaving(shard, peer.Member)
		waitGroup.Go(func() { s.awaitRelease(ctx, shard, peer.Member) })
	}
	waitGroup.Wait()
	for _, state := range states {
		if known := state.Shard >= 0 && state.Shard < shards.ShardCount; known && !s.shards[state.Shard].group.Status().IsLeader() {
			elsewhere = append(elsewhere, state)
		}
	}
	return codec.Marshal(groupsSchema, elsewhere)
}

// awaitRelease waits until no change of members is under way or to be made, and no successor may still catch up.
func (s *Server) awaitRelease(ctx context.Context, shard *shard, leaving consensus.MemberID) {
	for {
		status := shard.group.Status()
		if !status.IsLeader() {
			return
		}
		observed := s.observeGroup(shard, status)
		_, found := nextMembershipChange(observed)
		catchingUp := len(observed.Successors) > 0 && (isVoter(status, leaving) || observed.hasFillableVacancy())
		if !found && !catchingUp && !s.isReconciling(shard) {
			return
		}
		s.startReconcile(shard)
		if !waitForChange(ctx, nil, releasePollInterval) {
			return
		}
	}
}

// isReconciling tells whether a change of members may be made that is not committed yet.
func (s *Server) isReconciling(shard *shard) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return shard.reconciling
}

func (s *Server) recordLeaving(shard *shard, member consensus.MemberID) {
	now := s.environment.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if shard.leavingNotices == nil {
		shard.leavingNotices = make(map[consensus.MemberID]time.Time)
	}
	shard.leavingNotices[member] = now
}

// leavingMembers returns the members that said not long ago that they are about to end.
func (s *Server) leavingMembers(shard *shard, now time.Time) []consensus.MemberID {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []consensus.MemberID
	for member, at := range shard.leavingNotices {
		if now.Sub(at) > leavingNoticeMaxAge {
			delete(shard.leavingNotices, member)
			continue
		}
		found = append(found, member)
	}
	slices.Sort(found)
	return found
}

// forgetReturnedMembers forgets that members are leaving whose process is back under the same ID: they only restarted, and their
// place is not to be given away.
func (s *Server) forgetReturnedMembers(shard *shard, status replica.Status, leaving []consensus.MemberID) {
	for _, member := range status.Members {
		if !slices.Contains(leaving, member.ID) {
			continue
		}
		if identity, err := s.queryIdentity(s.backgroundContext, member.Address); err != nil || identity.ID != member.ID || identity.ShuttingDown {
			continue
		}
		s.mutex.Lock()
		delete(shard.leavingNotices, member.ID)
		s.mutex.Unlock()
	}
}

// successors returns the learners whose process began so short a time ago that they were started to take the place of a
// voter that is leaving. A stand-by that has been there for long proves nothing of the kind: the voter may only restart.
func (s *Server) successors(status replica.Status) []consensus.MemberID {
	var found []consensus.MemberID
	for _, member := range status.Members {
		if member.Voter {
			continue
		}
		identity, err := s.queryIdentity(s.backgroundContext, member.Address)
		if err == nil && identity.ID == member.ID && !identity.ShuttingDown && identity.Age <= successorMaxUptime {
			found = append(found, member.ID)
		}
	}
	return found
}
