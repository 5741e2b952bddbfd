package server

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/feed"
	"ospreybend/coord/replica"
	"ospreybend/coord/shards"

	"golang.org/x/sync/errgroup"
)

// replicaGroup is the subset of replica.Group that the server uses.
type replicaGroup interface {
	Step(message consensus.Message)
	Propose(ctx context.Context, data []byte) (result any, index uint64, err error)
	ReadBarrier(ctx context.Context) error
	ChangeMembers(ctx context.Context, change replica.MembershipChange) error
	PromotableLearners() []consensus.MemberID
	TransferLeadership(ctx context.Context, excluded ...consensus.MemberID) error
	Status() replica.Status
}

// leadershipTransferrer is a group that can transfer leadership to a chosen voter. The scripted groups of most tests do not implement
// it.
type leadershipTransferrer interface {
	TransferLeadershipTo(ctx context.Context, to consensus.MemberID) error
}

// stateMachine is the interface that the configuration shard's and the registry shards' state machines share.
type stateMachine interface {
	replica.StateMachine
	changesSince(index uint64) ([]feed.Change, *feed.Snapshot)
	index() uint64
	setLeaderTerm(term uint64)
	ownershipGained(now time.Time, term uint64)
	expiryCommands(now time.Time) [][]byte
}

// shard is this server's replica of one shard. id, group and stateMachine are fixed once the group is open.
type shard struct {
	id           shards.ID
	group        replicaGroup
	stateMachine stateMachine

	preferredReadySince time.Time       // since when the preferred owner has been able to take over; used by the maintenance loop only
	majority            majorityContact // used by the maintenance loop only

	mutex               sync.Mutex                       // guards all fields below
	leadingSince        time.Time                        // zero while this replica does not lead
	reconciling         bool                             // a membership reconcile is running
	leavingNotices      map[consensus.MemberID]time.Time // when each leaving member announced its shutdown
	learnerReadiness    map[consensus.MemberID]readiness // since when each learner has been promotable
	lastHeard           map[consensus.MemberID]time.Time // when each member last sent a message of this group
	interruptions       map[consensus.MemberID]time.Time // when each member last sent one again after it had missed heartbeats of this leader
	leader              consensus.Member                 // from the group's last status
	leaderContext       context.Context                  // ends when the leader changes
	cancelLeaderContext context.CancelFunc
}

// proposeAll proposes commands, at most limit at a time, and waits until all are applied or ctx ends. It returns the first error.
func (s *shard) proposeAll(ctx context.Context, commands [][]byte, limit int) error {
	var group errgroup.Group
	group.SetLimit(limit)
	for _, command := range commands {
		group.Go(func() error {
			_, _, err := s.group.Propose(ctx, command)
			return err
		})
	}
	return group.Wait()
}

// readiness is the latest period in which a learner was promotable without a gap longer than readinessGap.
type readiness struct{ since, lastSeen time.Time }

// setLeader records the leader of the shard. When the leader changes, the calls to the earlier leader are canceled.
func (s *shard) setLeader(leader consensus.Member) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leader == leader && s.leaderContext != nil {
		return
	}
	if s.cancelLeaderContext != nil {
		s.cancelLeaderContext()
	}
	s.leader = leader
	s.leaderContext, s.cancelLeaderContext = context.WithCancel(context.Background())
}

// untilLeaderChanges returns a context that ends when this replica learns of another leader of the shard.
func (s *shard) untilLeaderChanges() context.Context {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leaderContext == nil {
		return context.Background()
	}
	return s.leaderContext
}

// setLeading records whether this replica leads the shard, and reports whether it has just become the leader.
func (s *shard) setLeading(leads bool, now time.Time) (becameLeader bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	becameLeader = leads && s.leadingSince.IsZero()
	switch {
	case becameLeader:
		s.leadingSince = now
	case !leads:
		s.leadingSince = time.Time{}
	}
	return becameLeader
}

// leadershipStart returns the time at which this replica became the shard's leader, zero if it does not lead.
func (s *shard) leadershipStart() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.leadingSince
}

// recordHeard records the time at which a member has sent a message of this group.
func (s *shard) recordHeard(member consensus.MemberID, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.lastHeard == nil {
		s.lastHeard = make(map[consensus.MemberID]time.Time)
		s.interruptions = make(map[consensus.MemberID]time.Time)
	}
	expectedSince := s.lastHeard[member]
	if expectedSince.Before(s.leadingSince) {
		expectedSince = s.leadingSince
	}
	if !s.leadingSince.IsZero() && now.Sub(expectedSince) >= missedHeartbeatsAge {
		s.interruptions[member] = now
	}
	s.lastHeard[member] = now
}

// lastInterruption returns when a member was heard again after it had missed heartbeats of this leader, zero if it never did.
func (s *shard) lastInterruption(member consensus.MemberID) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.interruptions[member]
}

// heardFrom returns when a member last sent a message of this group, zero if it never did.
func (s *shard) heardFrom(member consensus.MemberID) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lastHeard[member]
}

// pruneLastHeard removes the recorded times of all but the given members.
func (s *shard) pruneLastHeard(members []consensus.Member) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	isFormerMember := func(id consensus.MemberID, _ time.Time) bool {
		return !slices.ContainsFunc(members, func(member consensus.Member) bool { return member.ID == id })
	}
	maps.DeleteFunc(s.lastHeard, isFormerMember)
	maps.DeleteFunc(s.interruptions, isFormerMember)
}

// beginReconcile marks the start of a membership reconcile. It returns false if one is running already; only one runs at a time.
func (s *shard) beginReconcile() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.reconciling {
		return false
	}
	s.reconciling = true
	return true
}

// endReconcile marks the end of the reconcile that beginReconcile has started.
func (s *shard) endReconcile() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reconciling = false
}

// isReconciling reports whether a reconcile is running, so that a membership change may be proposed and not committed yet.
func (s *shard) isReconciling() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reconciling
}

// recordLeaving records that a member has announced its shutdown.
func (s *shard) recordLeaving(member consensus.MemberID, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leavingNotices == nil {
		s.leavingNotices = make(map[consensus.MemberID]time.Time)
	}
	s.leavingNotices[member] = now
}

// forgetLeaving removes the record of a member's announced shutdown.
func (s *shard) forgetLeaving(member consensus.MemberID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.leavingNotices, member)
}

// leavingMembers returns the members that announced a shutdown within leavingNoticeMaxAge, sorted.
func (s *shard) leavingMembers(now time.Time) []consensus.MemberID {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []consensus.MemberID
	for member, announcedAt := range s.leavingNotices {
		if now.Sub(announcedAt) > leavingNoticeMaxAge {
			delete(s.leavingNotices, member)
			continue
		}
		found = append(found, member)
	}
	slices.Sort(found)
	return found
}

// trackReadiness records the learners that are promotable now, and returns those that have been promotable for stableAfter, the
// longest first. After each membership change, learners are not promotable until they have acknowledged it, so gaps of up to
// readinessGap are ignored.
func (s *shard) trackReadiness(promotable []consensus.MemberID, now time.Time) (stable []consensus.MemberID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.learnerReadiness == nil {
		s.learnerReadiness = make(map[consensus.MemberID]readiness)
	}
	for _, id := range promotable {
		period, known := s.learnerReadiness[id]
		if !known {
			period.since = now
		}
		period.lastSeen = now
		s.learnerReadiness[id] = period
	}
	for id, period := range s.learnerReadiness {
		switch {
		case now.Sub(period.lastSeen) > readinessGap:
			delete(s.learnerReadiness, id)
		case now.Sub(period.since) >= stableAfter:
			stable = append(stable, id)
		}
	}
	slices.SortFunc(stable, func(a, b consensus.MemberID) int {
		return cmp.Or(s.learnerReadiness[a].since.Compare(s.learnerReadiness[b].since), cmp.Compare(a, b))
	})
	return stable
}

// isCurrent reports whether a replica's contact with a majority of its group was confirmed within currentMaxAge. A replica that is not
// current may be behind the shard's owner by an unknown amount.
func isCurrent(status replica.Status) bool { return status.ConfirmedAge <= currentMaxAge }

// isMember reports whether a member is a voter or learner in the membership that this replica knows.
func isMember(status replica.Status, id consensus.MemberID) bool {
	return slices.ContainsFunc(status.Members, func(member consensus.Member) bool { return member.ID == id })
}

// isVoter reports whether a member is a voter in the membership that this replica knows.
func isVoter(status replica.Status, id consensus.MemberID) bool {
	for _, member := range status.Members {
		if member.ID == id {
			return member.Voter
		}
	}
	return false
}

// configurationMachine returns the state machine of the configuration shard.
func (s *Server) configurationMachine() *configurationMachine {
	return s.shards[shards.ConfigurationShard].stateMachine.(*configurationMachine)
}

// registryMachine returns the state machine of a registry shard, or nil for the configuration shard.
func (s *Server) registryMachine(id shards.ID) *registryMachine {
	machine, _ := s.shards[id].stateMachine.(*registryMachine)
	return machine
}
