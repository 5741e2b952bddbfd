package replica

import (
	"time"

	"ospreybend/coord/consensus"
)

// consensusNode is the part of consensus.Node that the event loop uses. Tests substitute a scripted implementation.
type consensusNode interface {
	Tick(now time.Duration)
	NextTick() time.Duration
	Step(now time.Duration, message consensus.Message)
	Propose(now time.Duration, data []byte) (term, index uint64, err error)
	ChangeMembers(now time.Duration, change consensus.MembershipChange) error
	ReadIndex(now time.Duration, id uint64) error
	TransferLeadership(now time.Duration, to consensus.MemberID, excluded ...consensus.MemberID) error
	SetWritable(now time.Duration, writable bool)
	Ready() consensus.Ready
	Persisted(now time.Duration, sequence uint64)
	SnapshotAt(index uint64, data []byte) (consensus.Snapshot, bool)
	Compact(index uint64, members []consensus.Member, data []byte)
	CanPromote(id consensus.MemberID) bool
	Status() consensus.Status
}

var _ consensusNode = (*consensus.Node)(nil)

// MembershipChange adds, updates or removes one member of the group.
type MembershipChange = consensus.MembershipChange

// Limits on the AppendEntries messages that a leader has in flight to one member.
const (
	maxAppendBytes      = 256 << 10
	maxInflightMessages = 16
)

// heartbeatMarginDivisor shortens the node's own heartbeat interval to HeartbeatInterval minus HeartbeatInterval divided by this
// value. A leader ticks only at multiples of HeartbeatInterval (see eventLoop.nextTick); without the margin, a heartbeat that is
// sent slightly late would delay the next one past the following multiple.
const heartbeatMarginDivisor = 6

// newConsensusNode returns a consensus node with the state that was recovered from disk.
func newConsensusNode(options *Options, stored consensus.PersistedState, now time.Duration) consensusNode {
	config := consensus.Config{
		ID:                options.Self.ID,
		ElectionTimeout:   options.ElectionTimeout,
		HeartbeatInterval: options.HeartbeatInterval - options.HeartbeatInterval/heartbeatMarginDivisor,
		MaxAppendBytes:    maxAppendBytes,
		MaxInflight:       maxInflightMessages,
		Seed:              uint64(options.Self.ID) + uint64(options.Shard),
		OmitRules:         options.OmitRules,
	}
	return consensus.New(config, stored, now)
}
