package replica

import (
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog"
	"ospreybend/coord/shards"
)

// StateMachine is the replicated state machine. Only the group's loop calls it.
type StateMachine interface {
	// Apply carries out one command and returns its result. It is called once for each command
	// entry, in the order of the log, and must give the same result on all replicas.
	Apply(entry consensus.Entry) any
	// Snapshot returns the whole state. The group keeps the slice; the machine must not change it.
	Snapshot() []byte
	// Restore replaces the state by that of a snapshot taken after the entry at index. The data
	// was made by Snapshot, of this machine or of another replica's.
	Restore(index uint64, data []byte) error
}

// Clock is a monotonic clock. Now is never 0 or less.
type Clock interface {
	Now() time.Duration
}

// Options sets up a Group.
type Options struct {
	Shard        shards.ID
	Directory    string            // of this group alone
	FileSystem   seglog.FileSystem // nil: the operating system's
	Self         consensus.Member
	Founders     []consensus.Member // only at the system's first formation; used if the disk is empty
	StateMachine StateMachine       // in its initial state

	// Send hands a message to the transport. It is called by the loop and must not block; a message
	// may be lost. Address is empty where the group does not know the receiver as a member yet: the
	// transport then looks it up by ID, or drops the message. The message must not be changed.
	Send func(to consensus.Member, message consensus.Message)
	// OnApplied is called by the loop, and by Open, after the machine has applied all up to index. It
	// must not call the group. May be nil.
	OnApplied func(index uint64)
	// OnStatus is called by the loop when role, term, leader, members or writability have changed, and
	// once by Open. It must not call the group. May be nil.
	OnStatus func(Status)

	ElectionTimeout   time.Duration // 0: DefaultElectionTimeout
	HeartbeatInterval time.Duration // 0: DefaultHeartbeat
	Logger            *zap.Logger   // nil: none
	Clock             Clock         // nil: the process's steady clock

	// OmitRules leaves out rules of the agreement, by tests alone.
	OmitRules []consensus.Rule
	// OmitGuards leaves out guards of the group, by tests alone.
	OmitGuards []Guard
}

// Defaults of Options.
const (
	DefaultElectionTimeout   = 500 * time.Millisecond
	DefaultHeartbeatInterval = 100 * time.Millisecond
)

// NeverConfirmed is the ConfirmedAge of a member that has not been confirmed since its start.
const NeverConfirmed = time.Duration(1<<63 - 1)

// Status describes a group's local replica.
type Status struct {
	Shard        shards.ID
	Role         consensus.Role
	Term         uint64
	Leader       consensus.Member // ID 0: unknown
	Members      []consensus.Member
	Retired      []consensus.MemberID // IDs that were replaced and never come back
	AppliedIndex uint64
	CommitIndex  uint64
	ConfirmedAge time.Duration // since agreement.Status.Confirmed
	Writable     bool          // the disk takes writes in time
	DiskBytes    int64
	DurableIndex uint64 // highest index that is durable here
}

// withDefaults fills in what may be left out.
func (o Options) withDefaults() Options {
	if o.FileSystem == nil {
		o.FileSystem = seglog.OSFileSystem{}
	}
	if o.ElectionTimeout == 0 {
		o.ElectionTimeout = DefaultElectionTimeout
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Clock == nil {
		o.Clock = steadyClock{}
	}
	return o
}
