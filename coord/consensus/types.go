package consensus

import "strconv"

// MemberID identifies one incarnation of a member. A machine that lost its disk returns under a new
// ID, so that no vote or acknowledgement of the lost incarnation is given a second time.
type MemberID uint64

// Member is one replica of the group.
type Member struct {
	ID      MemberID
	Address string // where its peers reach it, "ip:port"
	Voter   bool   // false: a learner, which receives the log and counts in no quorum
	Retired bool   // a tombstone rather than a member: this ID was replaced and is never admitted again
}

// EntryKind is the kind of a log entry. Its numbers are stored and sent.
type EntryKind uint8

// The kinds of log entries.
const (
	EntryCommand    EntryKind = iota // Data is a command for the replicated state machine
	EntryNoop                        // the first entry of a new leader's term
	EntryMembership                  // Members is the group's membership from this entry on
)

// String returns the kind's name.
func (k EntryKind) String() string {
	switch k {
	case EntryCommand:
		return "command"
	case EntryNoop:
		return "no-op"
	case EntryMembership:
		return "membership"
	default:
		return "entry kind " + strconv.Itoa(int(k))
	}
}

// Entry is one entry of the replicated log.
type Entry struct {
	Term, Index uint64
	Kind        EntryKind
	Data        []byte
	Members     []Member // of EntryMembership, tombstones of retired IDs included
}

// HardState is the part of a member's state that must be durable before a message that depends on
// it is sent.
type HardState struct {
	Term   uint64
	Vote   MemberID
	Commit uint64 // a lower bound of the commit index; it costs no write of its own
}

// Snapshot takes the place of all entries up to Index.
type Snapshot struct {
	Index, Term uint64
	Members     []Member // tombstones of retired IDs included
	Data        []byte   // of the replicated state machine
}

// Role is the role of a member in its current term.
type Role uint8

// The roles of a member.
const (
	RoleFollower     Role = iota // follows a leader, or waits for one
	RolePreCandidate             // asks whether it would be elected, without raising its term
	RoleCandidate                // asks for votes in a new term
	RoleLeader                   // replicates its log to all others
)

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case RoleFollower:
		return "follower"
	case RolePreCandidate:
		return "pre-candidate"
	case RoleCandidate:
		return "candidate"
	case RoleLeader:
		return "leader"
	default:
		return "role " + strconv.Itoa(int(r))
	}
}
