package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/peertransport"
	"ospreybend/internal/util/strictavro"
)

// receiveLeave records that a voter is shutting down, for each of the given groups. For groups that this server leads, it returns only
// after the vote has been released or if there is no successor for it. The reply lists the groups that this server does not lead.
func (s *Server) receiveLeave(ctx context.Context, peer peertransport.Hello, body []byte) ([]byte, error) {
	var states []groupState
	if err := strictavro.Unmarshal(codec, groupsSchema, body, &states); err != nil {
		return nil, err
	}
	var waitGroup sync.WaitGroup
	notLed := []groupState{}
	for _, state := range states {
		if state.Shard < 0 || state.Shard >= shards.ShardCount {
			continue
		}
		shard := s.shards[state.Shard]
		shard.recordLeaving(peer.Member, s.environment.Now())
		waitGroup.Go(func() { s.awaitRelease(ctx, shard, peer.Member) })
	}
	waitGroup.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err // no vote counts as released
	}
	for _, state := range states {
		if inRange := state.Shard >= 0 && state.Shard < shards.ShardCount; inRange && !s.shards[state.Shard].group.Status().IsLeader() {
			notLed = append(notLed, state)
		}
	}
	return codec.Marshal(groupsSchema, notLed)
}

// awaitRelease waits until this server no longer leads the group or the release of a leaving member's vote is settled.
func (s *Server) awaitRelease(ctx context.Context, shard *shard, leaving consensus.MemberID) {
	for {
		status := shard.group.Status()
		if !status.IsLeader() || s.isReleaseSettled(shard, status, leaving) || !waitForChange(ctx, nil, releasePollInterval) {
			return
		}
	}
}

// isReleaseSettled reports whether no membership change is in progress or due and no successor that is still catching up could take the
// vote of a leaving member. Otherwise it starts a reconcile.
func (s *Server) isReleaseSettled(shard *shard, status replica.Status, leaving consensus.MemberID) bool {
	observed := s.observeGroup(shard, status)
	_, found := nextMembershipChange(observed)
	catchingUp := len(observed.Successors) > 0 && (isVoter(status, leaving) || observed.hasFillableVacancy())
	if !found && !catchingUp && !shard.isReconciling() {
		return true
	}
	s.startReconcile(shard)
	return false
}

// observeDepartures completes the observed state of a group with the members that are shutting down and the learners that can succeed
// them. It asks the members that have announced their shutdown, since one that runs again under the same ID was only restarted and keeps
// its vote; and the learners that may be promoted, since this server may not have received their announcement.
func (s *Server) observeDepartures(shard *shard, observed *observedState, now time.Time) {
	announced := shard.leavingMembers(now)
	shuttingDown := s.lifecycle.shuttingDown.Load()
	askLearners := len(announced) > 0 || shuttingDown
	identities := s.queryIdentities(s.lifecycle.backgroundContext, slices.DeleteFunc(slices.Clone(observed.Members), func(member consensus.Member) bool {
		promotable := observed.promotionMayBeDue() && slices.Contains(observed.PromotableLearners, member.ID)
		asked := slices.Contains(announced, member.ID) || !member.Voter && (askLearners || promotable)
		return !asked || member.ID == s.self.ID
	}))
	for id, identity := range identities {
		if identity.ShuttingDown {
			shard.recordLeaving(id, now)
		} else {
			shard.forgetLeaving(id)
		}
	}
	observed.Leaving = slices.DeleteFunc(shard.leavingMembers(now), func(id consensus.MemberID) bool {
		_, answered := identities[id]
		return !answered && !slices.Contains(announced, id) // announced meanwhile: asked next time
	})
	if shuttingDown {
		observed.Leaving = append(observed.Leaving, s.self.ID)
	}
	if len(observed.Leaving) > 0 {
		observed.Successors = successors(observed, identities)
		observed.Established = s.established(shard, observed, identities, now)
	}
}

// established returns the successors and leaving members that have run for catchUpTime, the latter without interruption as far as this
// leader knows.
func (s *Server) established(shard *shard, observed *observedState, identities map[consensus.MemberID]identityReply, now time.Time) []consensus.MemberID {
	var found []consensus.MemberID
	for _, id := range slices.Concat(observed.Successors, observed.Leaving) {
		identity, answered := identities[id]
		interrupted := slices.Contains(observed.Leaving, id) && now.Sub(shard.lastInterruption(id)) < s.catchUpTime()
		if answered && identity.Age+serverStartTime >= s.catchUpTime() && !interrupted {
			found = append(found, id)
		}
	}
	return found
}

// catchUpTime is how long a server counts as lost after its start.
func (s *Server) catchUpTime() time.Duration {
	return time.Duration(s.currentSettings().Bounds.CatchUpS * float64(time.Second))
}

// successors returns the learners that were started at most successorMaxUptime ago and are therefore assumed to replace a leaving voter.
// A spare that has run for longer does not show that a replacement is planned: the voter may only be restarting. If so many voters are
// leaving that no majority would remain, every learner that runs is a successor.
func successors(observed *observedState, identities map[consensus.MemberID]identityReply) []consensus.MemberID {
	majorityLeaves := observed.majorityLeaves()
	var found []consensus.MemberID
	for _, member := range observed.Members {
		identity, answered := identities[member.ID]
		if !member.Voter && answered && !identity.ShuttingDown && (identity.Age <= successorMaxUptime || majorityLeaves) {
			found = append(found, member.ID)
		}
	}
	return found
}
