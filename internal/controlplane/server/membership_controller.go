package server

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
)

// startReconcile brings a group's members nearer to what is wanted, unless that is under way.
func (s *Server) startReconcile(shard *shard) {
	shard.mutex.Lock()
	busy := shard.reconciling || s.lifecycle.shuttingDown.Load()
	if !busy {
		shard.reconciling = true
	}
	shard.mutex.Unlock()
	if busy {
		return
	}
	s.lifecycle.background.Go(func() {
		defer func() {
			shard.mutex.Lock()
			shard.reconciling = false
			shard.mutex.Unlock()
		}()
		s.reconcile(shard)
	})
}

// reconcile makes changes of members until there is none to make or one fails; the next request to
// join, or the next round of maintenance, goes on.
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

// awaitMembershipChange returns the next step as the leader of a group. After a change it waits a little for a learner to hold that
// change, too, if a place is free: the place of a voter that went is to be taken at once, not at the next occasion.
func (s *Server) awaitMembershipChange(shard *shard, changed bool) (membershipChange, bool) {
	deadline := s.environment.Now().Add(vacancyFillTimeout)
	for {
		status := shard.group.Status()
		if !status.IsLeader() {
			return membershipChange{}, false
		}
		observed := s.observeGroup(shard, status)
		next, found := nextMembershipChange(observed)
		if found || !changed || !observed.hasFillableVacancy() || !s.environment.Now().Before(deadline) {
			return next, found
		}
		if !waitForChange(s.lifecycle.backgroundContext, nil, releasePollInterval) {
			return membershipChange{}, false
		}
	}
}

// confirmJoinRequest asks a candidate's address which member lives there now, and tells whether that is the candidate. The question
// is sent after this leader has learnt of the members that the step concerns, so whoever answers lives later than they
// did when they were taken in: a former member whose request was held up cannot answer it.
func (s *Server) confirmJoinRequest(request joinRequest) bool {
	if request.ID == 0 {
		return true
	}
	identity, err := s.queryIdentity(s.lifecycle.backgroundContext, request.Address)
	if err == nil && identity.ID == request.ID && !identity.ShuttingDown {
		return true
	}
	s.logger.Info("a request to join does not hold", zap.String("address", request.Address),
		zap.Uint64("asked", uint64(request.ID)), zap.Uint64("lives there", uint64(identity.ID)), zap.Error(err))
	return false
}

// queryIdentity asks an address which member lives there now.
func (s *Server) queryIdentity(ctx context.Context, address string) (identityReply, error) {
	ctx, cancel := context.WithTimeout(ctx, joinInterval)
	defer cancel()
	reply, err := s.peers.network.Call(ctx, address, callIdentity, nil)
	if err != nil {
		return identityReply{}, err
	}
	return decodeIdentity(reply)
}

func (s *Server) applyMembershipChange(shard *shard, change replica.Change) bool {
	ctx, cancel := context.WithTimeout(s.lifecycle.backgroundContext, membershipChangeTimeout)
	defer cancel()
	err := shard.group.ChangeMembers(ctx, change)
	s.logMembershipChange(shard, change, err)
	return err == nil
}

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
	s.forgetReturnedMembers(shard, status, s.leavingMembers(shard, now))
	observed.Stable = s.trackReadiness(shard, observed.PromotableLearners, now)
	if observed.Leaving = s.leavingMembers(shard, now); len(observed.Leaving) > 0 {
		observed.Successors = s.successors(status)
	}
	return observed
}

// trackReadiness notes since when learners have been able to be voters, and returns those that have been for some time. With
// each change of members they are unable for a moment, until they hold it.
func (s *Server) trackReadiness(shard *shard, ready []consensus.MemberID, now time.Time) (steady []consensus.MemberID) {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	if shard.learnerReadiness == nil {
		shard.learnerReadiness = make(map[consensus.MemberID]readiness)
	}
	for _, id := range ready {
		span, known := shard.learnerReadiness[id]
		if !known {
			span.since = now
		}
		span.lastSeen = now
		shard.learnerReadiness[id] = span
	}
	for id, span := range shard.learnerReadiness {
		switch {
		case now.Sub(span.lastSeen) > readinessGap:
			delete(shard.learnerReadiness, id)
		case now.Sub(span.since) >= stableAfter:
			steady = append(steady, id)
		}
	}
	slices.SortFunc(steady, func(a, b consensus.MemberID) int {
		return cmp.Or(shard.learnerReadiness[a].since.Compare(shard.learnerReadiness[b].since), cmp.Compare(a, b))
	})
	return steady
}

// sinceHeard returns how long nothing was heard of each member's address.
func (s *Server) sinceHeard(shard *shard, members []consensus.Member, now time.Time) map[consensus.MemberID]time.Duration {
	shard.mutex.Lock()
	leadingSince := shard.leadingSince
	shard.mutex.Unlock()
	sinceHeard := make(map[consensus.MemberID]time.Duration, len(members))
	for _, member := range members {
		sinceHeard[member.ID] = timeSinceHeard(now, s.peers.network.LastReceived(member.Address), leadingSince)
	}
	return sinceHeard
}

// desiredVoters is the number of voters that bears the losses of the settings, and no less than the
// groups are founded with.
func (s *Server) desiredVoters() int {
	return max(2*s.toleratedLosses()+1, len(s.settings.Seeds))
}

// toleratedLosses is how many voters may be lost at once by the settings.
func (s *Server) toleratedLosses() int {
	tolerated := s.settings.FaultTolerance
	return max(tolerated.Machines, tolerated.Zones, tolerated.Regions)
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
