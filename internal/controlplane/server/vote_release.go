package server

import (
	"context"
	"slices"
	"sync"

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
	for _, state := range states {
		if inRange := state.Shard >= 0 && state.Shard < shards.ShardCount; inRange && !s.shards[state.Shard].group.Status().IsLeader() {
			notLed = append(notLed, state)
		}
	}
	return codec.Marshal(groupsSchema, notLed)
}

// awaitRelease waits until no membership change is in progress or due and no successor that is still catching up could take the vote.
func (s *Server) awaitRelease(ctx context.Context, shard *shard, leaving consensus.MemberID) {
	for {
		status := shard.group.Status()
		if !status.IsLeader() {
			return
		}
		observed := s.observeGroup(shard, status)
		_, found := nextMembershipChange(observed)
		catchingUp := len(observed.Successors) > 0 && (isVoter(status, leaving) || observed.hasFillableVacancy())
		if !found && !catchingUp && !shard.isReconciling() {
			return
		}
		s.startReconcile(shard)
		if !waitForChange(ctx, nil, releasePollInterval) {
			return
		}
	}
}

// forgetReturnedMembers drops the shutdown notices of members whose process runs again under the same ID: they were only restarted and
// keep their votes.
func (s *Server) forgetReturnedMembers(shard *shard, status replica.Status, leaving []consensus.MemberID) {
	for _, member := range status.Members {
		if !slices.Contains(leaving, member.ID) {
			continue
		}
		identity, err := s.queryIdentity(s.lifecycle.backgroundContext, member.Address)
		if err == nil && identity.ID == member.ID && !identity.ShuttingDown {
			shard.forgetLeaving(member.ID)
		}
	}
}

// successors returns the learners that were started at most successorMaxUptime ago and are therefore assumed to replace a leaving voter.
// A spare that has run for longer does not show that a replacement is planned: the voter may only be restarting.
func (s *Server) successors(status replica.Status) []consensus.MemberID {
	var found []consensus.MemberID
	for _, member := range status.Members {
		if member.Voter {
			continue
		}
		identity, err := s.queryIdentity(s.lifecycle.backgroundContext, member.Address)
		if err == nil && identity.ID == member.ID && !identity.ShuttingDown && identity.Age <= successorMaxUptime {
			found = append(found, member.ID)
		}
	}
	return found
}
