package consensus

import "strconv"

// MemberID identifies one incarnation of a member. A machine that lost its disk rejoins under a new ID, because
// it no longer knows the votes and acknowledgements that its former incarnation sent.
type MemberID uint64

// Member is one replica of the group.
type Member struct {
	ID      MemberID
	Address string // address for its peers, "ip:port"
	Voter   bool   // false: a learner, which receives the log but is not counted in quorums
	Retired bool   // a tombstone instead of a member: this ID was replaced and is never admitted again
}

// EntryKind is the kind of a log entry. The numeric values are part of the disk and wire formats.
type EntryKind uint8

// The kinds of log entries.
const (
	EntryCommand    EntryKind = iota // Data is a command for the replicated state machine
	EntryNoop                        // the first entry of a new leader's term
	EntryMembership                  // Members is the membership in force from this entry on
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
	Members     []Member // of EntryMembership, including the tombstones of retired IDs
}

// HardState is the state, besides the log, that must be durable before messages that depend on it are sent.
type HardState struct {
	Term   uint64
	Vote   MemberID
	Commit uint64 // a lower bound of the commit index: a higher one alone causes no write
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index, Term uint64
	Members     []Member // including the tombstones of retired IDs
	Data        []byte   // state of the replicated state machine
}

// Role is the role of a member in its current term.
type Role uint8

// The roles of a member.
const (
	RoleFollower     Role = iota // follows a leader or waits for one to be elected
	RolePreCandidate             // asks whether it would win an election, without incrementing its term
	RoleCandidate                // requests votes in a new term
	RoleLeader                   // replicates its log to all other members
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
