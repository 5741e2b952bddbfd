package server

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
)

// startReconcile starts reconciling a group's members with the desired ones in the background, unless this is already in progress. A
// leader that is shutting down does so too while it cannot pass on the leadership, until the control loops are stopped.
func (s *Server) startReconcile(shard *shard) {
	stopping := s.lifecycle.backgroundContext.Err() != nil
	if !s.environment.guardEnabled(GuardMajorityHandedOver) {
		stopping = s.lifecycle.shuttingDown.Load()
	}
	if stopping || !shard.beginReconcile() {
		return
	}
	s.lifecycle.background.Go(func() {
		defer shard.endReconcile()
		s.reconcile(shard)
	})
}

// reconcile makes membership changes until none is needed or one fails. After a failure the next join request or maintenance round starts
// it again.
func (s *Server) reconcile(shard *shard) {
	changed := false
	for s.lifecycle.backgroundContext.Err() == nil {
		next, found := s.awaitMembershipChange(shard, changed)
		if !found {
			return
		}
		if !s.confirmJoinRequest(next.Confirm) {
			s.joinRequests.forget(shard.id, next.Confirm)
			continue
		}
		if !s.applyMembershipChange(shard, next.Change) {
			return
		}
		changed = true
	}
}

// awaitMembershipChange returns the next change, if this server leads the group. After a change, and while there is a vacancy that a
// learner could fill, it waits up to vacancyFillTimeout for a learner to acknowledge that change. The vacancy of a lost voter is then
// filled immediately instead of in a later maintenance round.
func (s *Server) awaitMembershipChange(shard *shard, changed bool) (plannedChange, bool) {
	deadline := s.environment.Now().Add(vacancyFillTimeout)
	for {
		status := shard.group.Status()
		if !status.IsLeader() {
			return plannedChange{}, false
		}
		observed := s.observeGroup(shard, status)
		next, found := nextMembershipChange(observed)
		if found || !changed || !observed.hasFillableVacancy() || !s.environment.Now().Before(deadline) {
			return next, found
		}
		if !waitForChange(s.lifecycle.backgroundContext, nil, releasePollInterval) {
			return plannedChange{}, false
		}
	}
}

// confirmJoinRequest asks the server at the address of a join request for its member ID and reports whether it is the one in the request.
// This leader knew the members that the change concerns before it asked, so the server that answers started after they were added:
// a former member whose request was delayed cannot answer.
func (s *Server) confirmJoinRequest(request joinRequest) bool {
	if request.ID == 0 {
		return true
	}
	identity, err := s.queryIdentity(s.lifecycle.backgroundContext, request.Address)
	if err == nil && identity.ID == request.ID && !identity.ShuttingDown {
		return true
	}
	s.logger.Info("join request not confirmed", zap.String("address", request.Address),
		zap.Uint64("member", uint64(request.ID)), zap.Uint64("incarnation", uint64(identity.ID)), zap.Error(err))
	return false
}

// queryIdentity asks the server at an address which member it is.
func (s *Server) queryIdentity(ctx context.Context, address string) (identityReply, error) {
	ctx, cancel := context.WithTimeout(ctx, joinInterval)
	defer cancel()
	reply, err := s.peers.network.Call(ctx, address, callIdentity, nil)
	if err != nil {
		return identityReply{}, err
	}
	return decodeIdentity(reply)
}

// queryIdentities asks members concurrently for their identity. Members that do not answer in time, and those whose address now belongs to
// another member, are missing in the result.
func (s *Server) queryIdentities(ctx context.Context, members []consensus.Member) map[consensus.MemberID]identityReply {
	var waitGroup sync.WaitGroup
	var mutex sync.Mutex
	identities := make(map[consensus.MemberID]identityReply, len(members))
	for _, member := range members {
		waitGroup.Go(func() {
			identity, err := s.queryIdentity(ctx, member.Address)
			if err != nil || identity.ID != member.ID {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			identities[member.ID] = identity
		})
	}
	waitGroup.Wait()
	return identities
}

// applyMembershipChange proposes a change to the group and reports whether it was committed in time.
func (s *Server) applyMembershipChange(shard *shard, change replica.MembershipChange) bool {
	ctx, cancel := context.WithTimeout(s.lifecycle.backgroundContext, proposalTimeout)
	defer cancel()
	err := shard.group.ChangeMembers(ctx, change)
	s.logMembershipChange(shard, change, err)
	return err == nil
}

// observeGroup collects the observed state of a group that this server leads. It calls members for their identity while one is shutting
// down or a learner may be promoted, so it must not be called with a mutex held.
func (s *Server) observeGroup(shard *shard, status replica.Status) observedState {
	now := s.environment.Now()
	observed := observedState{
		Self: s.self.ID, Members: status.Members, Retired: status.Retired,
		DesiredVoters: s.desiredVoters(), SpareLearners: max(minSpareLearners, s.toleratedLosses()),
		JoinRequests: s.joinRequests.recent(shard.id, now), SinceHeard: s.sinceHeard(shard, status.Members, now),
		OmitGuards: s.environment.OmitGuards,
	}
	if observed.voterCount() < len(observed.Members) {
		observed.PromotableLearners = shard.group.PromotableLearners()
	}
	observed.Stable = shard.trackReadiness(observed.PromotableLearners, now)
	s.observeDepartures(shard, &observed, now)
	return observed
}

// sinceHeard returns, for each member, the time since its last message of this group. Messages of other groups do not count, so that a
// member is also replaced if only its replica of this group has stopped.
func (s *Server) sinceHeard(shard *shard, members []consensus.Member, now time.Time) map[consensus.MemberID]time.Duration {
	leadingSince := shard.leadershipStart()
	shard.pruneLastHeard(members)
	sinceHeard := make(map[consensus.MemberID]time.Duration, len(members))
	for _, member := range members {
		sinceHeard[member.ID] = timeSinceHeard(now, shard.heardFrom(member.ID), leadingSince)
	}
	return sinceHeard
}

// desiredVoters returns 2f+1, the number of voters that tolerates the f losses configured in the settings, but at least the number of
// seeds.
func (s *Server) desiredVoters() int {
	return max(2*s.toleratedLosses()+1, len(s.currentSettings().Seeds))
}

// toleratedLosses returns how many voters may be lost at the same time according to the settings.
func (s *Server) toleratedLosses() int {
	tolerated := s.currentSettings().FaultTolerance
	return max(tolerated.Machines, tolerated.Zones, tolerated.Regions)
}

// logMembershipChange logs a membership change and the error if it failed.
func (s *Server) logMembershipChange(shard *shard, change replica.MembershipChange, err error) {
	fields := []zap.Field{zap.Uint32("shard", uint32(shard.id)), zap.Error(err)}
	if change.Add != nil {
		fields = append(fields, zap.String("add", change.Add.Address), zap.Bool("voter", change.Add.Voter))
	} else {
		fields = append(fields, zap.Uint64("remove", uint64(change.Remove)))
	}
	s.logger.Info("membership change", fields...)
}
