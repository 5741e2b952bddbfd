package replica

import (
	"time"

	"ospreybend/coord/consensus"
)

// consensusNode is what the loop needs of agreement.Node. Tests put a scripted one in its place.
type consensusNode interface {
	Tick(now time.Duration)
	NextTick() time.Duration
	Step(now time.Duration, message consensus.Message)
	Propose(now time.Duration, data []byte) (term, index uint64, err error)
	ChangeMembers(now time.Duration, change consensus.MembershipChange) error
	ReadIndex(now time.Duration, id uint64) error
	TransferLeadership(now time.Duration, to consensus.MemberID) error
	SetWritable(now time.Duration, writable bool)
	Ready() consensus.Ready
	Persisted(now time.Duration, sequence uint64)
	SnapshotAt(index uint64, data []byte) (consensus.Snapshot, bool)
	Compact(index uint64, members []consensus.Member, data []byte)
	CanPromote(id consensus.MemberID) bool
	Status() consensus.Status
}

var _ consensusNode = (*consensus.Node)(nil)

// Change adds, alters or removes one member.
type Change = consensus.MembershipChange

// Bounds of what a leader has under way with one member.
const (
	maxAppendBytes      = 256 << 10
	maxInflightMessages = 16
)

// heartbeatMarginDivisor is the part of the pause between two heartbeats, one in so many, by which a heartbeat may be late
// without costing the next one its place on the grid of time.
const heartbeatMarginDivisor = 6

func newNode(options *Options, stored consensus.PersistedState, now time.Duration) consensusNode {
	config := consensus.Config{
		ID:                options.Self.ID,
		ElectionTimeout:   options.ElectionTimeout,
		HeartbeatInterval: options.HeartbeatInterval - options.HeartbeatInterval/heartbeatMarginDivisor,
		MaxAppendBytes:    maxAppendBytes,
		MaxInflight:       maxInflightMessages,
		Seed:              uint64(options.Self.ID) + uint64(options.Shard),
		DisabledRules:     options.OmitRules,
	}
	return consensus.New(config, stored, now)
}
