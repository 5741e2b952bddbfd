package replica

import (
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog"
	"ospreybend/coord/shards"
)

// StateMachine is the replicated state machine. Open and the group's event loop call it, never concurrently.
type StateMachine interface {
	// Apply executes one command and returns its result. It is called once for each command entry, in log order, and must be
	// deterministic, so that all replicas reach the same state and result.
	Apply(entry consensus.Entry) any
	// Snapshot returns the encoded state. The group keeps the slice, so the state machine must not modify it.
	Snapshot() []byte
	// Restore replaces the state with that of a snapshot taken after the entry at index was applied. The data was returned by
	// Snapshot on this or another replica.
	Restore(index uint64, data []byte) error
}

// Clock is a monotonic clock.
type Clock interface {
	// Now returns the time since an arbitrary origin. It is always above 0.
	Now() time.Duration
}

// Options configures a Group.
type Options struct {
	Shard            shards.ID
	Directory        string            // must not be shared with another group
	FileSystem       seglog.FileSystem // nil: seglog.OSFileSystem
	Self             consensus.Member
	BootstrapMembers []consensus.Member // initial voters of a new group; used only if the directory is empty
	StateMachine     StateMachine       // must be in its initial state

	// Send passes a message to the transport. It is called by the event loop and must not block; messages may be lost. The
	// receiver's address is empty if the group does not know the receiver as a member yet: the transport then looks it up by
	// ID, or drops the message. The message must not be modified.
	Send func(to consensus.Member, message consensus.Message)
	// OnApplied is called by the event loop, and by Open, after the state machine has applied all entries up to index. It
	// must not call the group. It may be nil.
	OnApplied func(index uint64)
	// OnStatus is called by the event loop after a change of role, term, leader, members or writability, and once by Open. It
	// must not call the group. It may be nil.
	OnStatus func(Status)

	ElectionTimeout   time.Duration // minimum time without a leader before an election; 0: DefaultElectionTimeout
	HeartbeatInterval time.Duration // 0: DefaultHeartbeatInterval
	Logger            *zap.Logger   // nil: no logging
	Clock             Clock         // nil: the monotonic clock of the process

	// SnapshotEntries is the number of entries after which the log is compacted; 0: compactionEntries. Only tests set it.
	SnapshotEntries uint64
	// OmitRules lists the rules of package consensus that are not enforced. Only tests set it.
	OmitRules []consensus.Rule
	// OmitGuards lists the guards that the group does not enforce. Only tests set it.
	OmitGuards []Guard
}

// Default values of Options.
const (
	DefaultElectionTimeout   = 500 * time.Millisecond
	DefaultHeartbeatInterval = 100 * time.Millisecond
)

// NeverConfirmed is the ConfirmedAge of a replica whose state has not been confirmed as current since its start.
const NeverConfirmed = time.Duration(1<<63 - 1)

// Status describes the local replica of a group.
type Status struct {
	Shard        shards.ID
	Role         consensus.Role
	Term         uint64
	Leader       consensus.Member // its ID is 0 if the leader is unknown
	Members      []consensus.Member
	Retired      []consensus.MemberID // IDs retired on removal; they never become members again
	AppliedIndex uint64
	CommitIndex  uint64
	ConfirmedAge time.Duration // time since consensus.Status.ConfirmedAt, or NeverConfirmed
	Writable     bool          // whether the disk completes writes in time
	DiskBytes    int64
	DurableIndex uint64 // highest index that is durable on this replica
	Load         Load
}

// withDefaults returns the options with default values in place of zero values.
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
		o.Clock = monotonicClock{}
	}
	return o
}
