// Package consensus is a consensus core for one replica group: it elects a leader, replicates a
// log of entries to a majority and changes the group's members. It decides only: it has no
// goroutine, no socket, no file and no clock of its own. Its caller passes the monotonic time to
// each call, carries out what Take returns and reports what has become durable.
package consensus

// MemberID names one incarnation of a member. A machine that lost its disk comes back under
// a new ID, so that promises which the old incarnation gave are never given twice.
type MemberID uint64

// Member is one replica of the group.
type Member struct {
	ID      MemberID
	Address string // where its peers reach it, "ip:port"
	Voter   bool   // false: a learner, which receives the log and counts in no majority
	Retired bool   // no member: a mark that this ID was replaced and never comes back
}

// EntryKind tells what an entry holds.
type EntryKind uint8

const (
	EntryCommand    EntryKind = iota // Data is a command of the state machine
	EntryNoop                        // a new leader's first entry
	EntryMembership                  // Members is the group's membership from here on
)

// Entry is one record of the replicated log.
type Entry struct {
	Term, Index uint64
	Kind        EntryKind
	Data        []byte
	Members     []Member // of EntryMembers; with the marks of retired IDs
}

// HardState is what must be durable before a promise that rests on it leaves the machine.
type HardState struct {
	Term   uint64
	Vote   MemberID
	Commit uint64 // a hint: may be behind after a restart
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index, Term uint64
	Members     []Member // with the marks of retired IDs
	Data        []byte   // of the state machine
}

// Role is what a member does in its term.
type Role uint8

const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)
