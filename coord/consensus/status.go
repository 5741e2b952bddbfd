package consensus

import "time"

// Status is a snapshot of a member's state.
type Status struct {
	Role         Role
	Term         uint64
	Leader       MemberID   // 0: unknown
	Members      []Member   // current membership, without tombstones; must not be modified
	Retired      []MemberID // IDs that are never admitted again; must not be modified
	CommitIndex  uint64
	AppliedIndex uint64 // last entry returned by Ready
	FirstIndex   uint64 // first entry in the log
	LastIndex    uint64 // last entry in the log
	DurableIndex uint64 // last entry that is durable on this member's disk

	// ConfirmedAt is the time up to which the member's state is known to be current. For a leader, it is
	// the latest time such that a majority has answered a heartbeat sent at that time or later. For a
	// follower, it is when it last received a message from its leader while it had all entries that the
	// leader had committed.
	ConfirmedAt time.Duration
}

// Status returns the member's status.
func (n *Node) Status() Status {
	status := Status{
		Role:         n.role,
		Term:         n.term,
		Leader:       n.leaderID,
		Members:      n.members(),
		Retired:      n.currentMembership().retired,
		CommitIndex:  n.commitIndex,
		AppliedIndex: n.appliedIndex,
		FirstIndex:   n.log.firstIndex(),
		LastIndex:    n.log.lastIndex(),
		DurableIndex: n.persistence.stableIndex,
		ConfirmedAt:  n.follower.confirmedAt,
	}
	if n.role == RoleLeader {
		status.ConfirmedAt = n.quorumContactAt()
	}
	return status
}
