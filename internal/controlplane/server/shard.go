package server

import (
	"context"
	"sync"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/feed"
	"ospreybend/coord/replica"
	"ospreybend/coord/shards"
)

// replicaGroup is what a keeper uses of a replica.Group.
type replicaGroup interface {
	Step(message consensus.Message)
	Propose(ctx context.Context, data []byte) (result any, index uint64, err error)
	ReadBarrier(ctx context.Context) error
	ChangeMembers(ctx context.Context, change replica.Change) error
	PromotableLearners() []consensus.MemberID
	TransferLeadership(ctx context.Context) error
	Status() replica.Status
}

// leadershipTransferrer is what a group offers that can hand leadership to a chosen voter.
type leadershipTransferrer interface {
	TransferLeadershipTo(ctx context.Context, to consensus.MemberID) error
}

// stateMachine is the part of a shard's state machine that does not depend on what it holds.
type stateMachine interface {
	replica.StateMachine
	changesSince(index uint64) ([]feed.Change, *feed.Snapshot)
	index() uint64
	setLeaderTerm(term uint64)
	ownershipGained(now time.Time, term uint64)
	expiryCommands(now time.Time) [][]byte
}

// shard is a keeper's replica of one shard.
type shard struct {
	id           shards.ID
	group        replicaGroup
	stateMachine stateMachine

	preferredReadySince time.Time // of maintain alone: since when the preferred owner could take over

	mutex               sync.Mutex                       // guards all fields below
	leadingSince        time.Time                        // zero: not leading
	reconciling         bool                             // changes of members are under way
	leavingNotices      map[consensus.MemberID]time.Time // members that are about to end, and when they said so
	learnerReadiness    map[consensus.MemberID]readiness // learners that could be voters
	leader              consensus.Member                 // as the group's last status said
	leaderContext       context.Context                  // ends when that is no longer the leader
	cancelLeaderContext context.CancelFunc
}

// readiness is the span in which a learner was seen able to be a voter.
type readiness struct{ since, lastSeen time.Time }

// isCurrent tells whether the replica is known not to be behind the shard's owner.
func isCurrent(status replica.Status) bool { return status.ConfirmedAge <= currentMaxAge }

// isVoter tells whether a member has a vote by the membership that this replica knows.
func isVoter(status replica.Status, id consensus.MemberID) bool {
	for _, member := range status.Members {
		if member.ID == id {
			return member.Voter
		}
	}
	return false
}

// configurationMachine returns the state machine of shard 0.
func (s *Server) configurationMachine() *configurationMachine {
	return s.shards[shards.ConfigurationShard].stateMachine.(*configurationMachine)
}

// registryMachine returns the state machine of a shard of instances, or nil for shard 0.
func (s *Server) registryMachine(id shards.ID) *registryMachine {
	machine, _ := s.shards[id].stateMachine.(*registryMachine)
	return machine
}
