// Package consensus is a consensus core for one replica group: it elects a leader, replicates a
// log of entries to a majority and changes the group's members. It decides only: it has no
// goroutine, no socket, no file and no clock of its own. Its caller passes the monotonic time to
// each call, carries out what Take returns and reports what has become durable.
package consensus

import (
	"errors"
	"time"
)

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

// MessageKind tells what a message asks or answers.
type MessageKind uint8

const (
	MessagePreVote MessageKind = iota
	MessagePreVoteReply
	MessageRequestVote
	MessageRequestVoteReply
	MessageAppendEntries
	MessageAppendEntriesReply
	MessageHeartbeat
	MessageHeartbeatReply
	MessageInstallSnapshot
	MessageInstallSnapshotReply
	MessageTimeoutNow // the leader asks the receiver to campaign at once
)

// Message is what two members of a group say to each other.
type Message struct {
	Kind     MessageKind
	From, To MemberID
	Term     uint64
	LogIndex uint64 // Append: entry before the first one sent. Vote: last entry of the candidate. AppendReply: last matching entry
	// that is durable; rejected: LogIndex of the Append. HeartbeatReply: last matching entry
	LogTerm            uint64
	Commit             uint64
	Entries            []Entry
	Snapshot           *Snapshot
	Reject             bool
	HintIndex          uint64 // AppendReply: last matching entry; rejected: where to go on. HeartbeatReply: last matching entry that is durable
	HintTerm           uint64
	HeartbeatRound     uint64 // Heartbeat and its reply: the read round that it confirms; 0: tells the commit index and wants no reply
	LeadershipTransfer bool   // Vote: part of a planned transfer, so leases do not hold it back
}

// Role is what a member does in its term.
type Role uint8

const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// Config sets up a member.
type Config struct {
	ID                MemberID
	ElectionTimeout   time.Duration // least silence of the leader before a campaign; drawn up to twice this
	HeartbeatInterval time.Duration // pause between a leader's heartbeats
	MaxAppendBytes    int           // most bytes of entries in one message
	MaxInflight       int           // most unanswered Append messages for a member
	Seed              uint64        // of the draws of election timeouts
	TrailingEntries   int           // entries kept before a snapshot for members a little behind; 0: 256, negative: none
	DisabledRules     []Rule        // checks left out, by tests alone
}

// PersistedState is what a member finds on its disk. The zero value is an empty disk: such a member
// has no vote and waits for a leader to send it the group's state.
type PersistedState struct {
	HardState HardState
	Snapshot  Snapshot // Index 0: none
	Entries   []Entry  // those after the snapshot
}

// Bootstrap returns the state of a group's first members at its formation: a snapshot at index 1
// of term 1 with nothing but the membership. All founders must be given the same members.
func Bootstrap(members []Member, data []byte) PersistedState {
	return PersistedState{HardState: HardState{Term: 1, Commit: 1},
		Snapshot: Snapshot{Index: 1, Term: 1, Members: members, Data: data}}
}

// PersistRequest is what is to be made durable, in this order: Snapshot, then Entries, then HardState.
// Entries replace all stored entries from the index of the first one on.
type PersistRequest struct {
	Sequence  uint64 // to be handed to Persisted once all is durable
	HardState *HardState
	Entries   []Entry
	Snapshot  *Snapshot // received from the leader: replaces the whole log
}

// ReadResult answers a Read: the state machine may be read once Index is applied.
type ReadResult struct {
	ID    uint64
	Index uint64
	OK    bool // false: leadership was lost or could not be confirmed
}

// Ready is all that a member wants done since the last Take.
type Ready struct {
	Persist   *PersistRequest // nil: nothing. May be batched and written apart from the caller's loop
	Messages  []Message       // may be sent at once; those that rest on Persist come after Persisted
	Restore   *Snapshot       // the state machine takes this state before it applies Committed
	Committed []Entry         // to be applied in order, each exactly once in a process's life
	Reads     []ReadResult
}

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

// Errors of proposals.
var (
	ErrNotLeader          = errors.New("agreement: not the leader")
	ErrTransferInProgress = errors.New("agreement: leadership is being handed over")
	ErrTooManyUncommitted = errors.New("agreement: too many entries are waiting for a majority")
	ErrMembershipChange   = errors.New("agreement: a change of members is under way or not allowed")
	ErrNoTransferTarget   = errors.New("agreement: no other voter can take over leadership")
)

// Errors of states that must never be.
var (
	ErrInvalidState      = errors.New("agreement: stored state cannot be used")
	ErrCommittedConflict = errors.New("agreement: a leader's entry conflicts with a committed one")
)
