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

// replicaGroup is the part of replica.Group that the server uses.
type replicaGroup interface {
	Step(message consensus.Message)
	Propose(ctx context.Context, data []byte) (result any, index uint64, err error)
	ReadBarrier(ctx context.Context) error
	ChangeMembers(ctx context.Context, change replica.MembershipChange) error
	PromotableLearners() []consensus.MemberID
	TransferLeadership(ctx context.Context) error
	Status() replica.Status
}

// leadershipTransferrer is a group that can transfer leadership to a chosen voter. The scripted groups of most tests cannot.
type leadershipTransferrer interface {
	TransferLeadershipTo(ctx context.Context, to consensus.MemberID) error
}

// stateMachine is a shard's state machine, independent of what it replicates.
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

	preferredReadySince time.Time // since when the preferred owner can take over; maintenance loop only

	mutex               sync.Mutex                       // guards all fields below
	leadingSince        time.Time                        // zero: not leading
	reconciling         bool                             // a reconcile runs
	leavingNotices      map[consensus.MemberID]time.Time // when members announced their shutdown
	learnerReadiness    map[consensus.MemberID]readiness // since when learners are promotable
	leader              consensus.Member                 // by the group's last status
	leaderContext       context.Context                  // ends when the leader changes
	cancelLeaderContext context.CancelFunc
}

// readiness is the span in which a learner was promotable without a gap longer than readinessGap.
type readiness struct{ since, lastSeen time.Time }

// isCurrent reports whether a replica's contact with a majority was confirmed within currentMaxAge: it is then not known to be behind
// the shard's owner.
func isCurrent(status replica.Status) bool { return status.ConfirmedAge <= currentMaxAge }

// isVoter reports whether a member has a vote in the membership that this replica knows.
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
