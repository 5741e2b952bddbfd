package replica

import (
	"time"

	"ospreybend/coord/consensus"
)

// consensusNode is what the event loop uses of consensus.Node. Tests replace it by a scripted one.
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

// MembershipChange is a change of the group's membership: it adds, alters or removes one member.
type MembershipChange = consensus.MembershipChange

// Bounds of the append messages that a leader has in flight to one member.
const (
	maxAppendBytes      = 256 << 10
	maxInflightMessages = 16
)

// heartbeatMarginDivisor sets the interval at which the node itself asks for heartbeats: shorter than HeartbeatInterval by
// this fraction of it. Since a leader ticks only at multiples of HeartbeatInterval (see eventLoop.nextTick), a heartbeat that
// is sent slightly late must not push the next one past the following multiple.
const heartbeatMarginDivisor = 6

// newNode returns the consensus core with the state that was read from the disk.
func newNode(options *Options, stored consensus.PersistedState, now time.Duration) consensusNode {
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
