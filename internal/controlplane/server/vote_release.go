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

// receiveLeave records, as the leader of groups, that a voter is shutting down. It returns once the vote was released or there is no
// successor for it. The reply lists the groups that this server does not lead.
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
		s.recordLeaving(shard, peer.Member)
		waitGroup.Go(func() { s.awaitRelease(ctx, shard, peer.Member) })
	}
	waitGroup.Wait()
	for _, state := range states {
		if known := state.Shard >= 0 && state.Shard < shards.ShardCount; known && !s.shards[state.Shard].group.Status().IsLeader() {
			notLed = append(notLed, state)
		}
	}
	return codec.Marshal(groupsSchema, notLed)
}

// awaitRelease waits until no membership change is in progress or due, and no successor may still catch up.
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

// isReconciling reports whether a membership change may be in progress that is not committed yet.
func (s *Server) isReconciling(shard *shard) bool {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	return shard.reconciling
}

// recordLeaving records that a member is shutting down.
func (s *Server) recordLeaving(shard *shard, member consensus.MemberID) {
	now := s.environment.Now()
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	if shard.leavingNotices == nil {
		shard.leavingNotices = make(map[consensus.MemberID]time.Time)
	}
	shard.leavingNotices[member] = now
}

// leavingMembers returns the members that announced a shutdown within leavingNoticeMaxAge, sorted.
func (s *Server) leavingMembers(shard *shard, now time.Time) []consensus.MemberID {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
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

// forgetReturnedMembers drops the notices of members whose process runs again under the same ID: they only restarted, and keep
// their votes.
func (s *Server) forgetReturnedMembers(shard *shard, status replica.Status, leaving []consensus.MemberID) {
	for _, member := range status.Members {
		if !slices.Contains(leaving, member.ID) {
			continue
		}
		if identity, err := s.queryIdentity(s.lifecycle.backgroundContext, member.Address); err != nil || identity.ID != member.ID || identity.ShuttingDown {
			continue
		}
		shard.mutex.Lock()
		delete(shard.leavingNotices, member.ID)
		shard.mutex.Unlock()
	}
}

// successors returns the learners that were started at most successorMaxUptime ago, and so to replace a voter that leaves. A spare
// that has run for longer proves no such plan: the voter may only restart.
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
