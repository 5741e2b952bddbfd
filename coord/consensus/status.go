package consensus

import "time"

// Status describes a member at one moment.
type Status struct {
	Role         Role
	Term         uint64
	Leader       MemberID // 0: unknown
	Members      []Member // shared: not to be written to
	Retired      []MemberID
	CommitIndex  uint64
	AppliedIndex uint64 // last entry handed out by Ready
	FirstIndex   uint64 // first entry in the log
	LastIndex    uint64 // last entry in the log
	DurableIndex uint64 // last entry that is durable at this member

	// ConfirmedAt is the time up to which the member's state is known to be current. Of a leader: the
	// time by which a heartbeat was sent that a majority has answered. Of a follower: when it last heard
	// from its leader and had all entries that the leader had committed by then.
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
