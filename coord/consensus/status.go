package consensus

import (
	"time"
)

// Status describes a member for its caller.
type Status struct {
	Role         Role
	Term         uint64
	Leader       MemberID // 0: unknown
	Members      []Member
	Retired      []MemberID // IDs that were replaced and never come back
	CommitIndex  uint64
	AppliedIndex uint64
	FirstIndex   uint64 // first entry in the log
	LastIndex    uint64 // last entry in the log
	DurableIndex uint64 // last entry that is durable at this member
	ConfirmedAt  time.Duration
	// Confirmed: of a leader, when a majority last answered a heartbeat sent by then; of a follower, when it
	// last heard its leader and held all that the leader had then committed.
}

// Status describes the member.
func (n *Node) Status() Status {
	status := Status{
		Role:         n.role,
		Term:         n.term,
		Leader:       n.leaderID,
		Members:      n.members(),
		Retired:      n.memberships[len(n.memberships)-1].retired,
		CommitIndex:  n.commitIndex,
		AppliedIndex: n.appliedIndex,
		FirstIndex:   n.log.firstIndex(),
		LastIndex:    n.log.lastIndex(),
		DurableIndex: n.persistence.stableIndex,
		ConfirmedAt:  n.confirmedAt,
	}
	if n.role == RoleLeader {
		status.ConfirmedAt = n.quorumContactAt()
	}
	return status
}
