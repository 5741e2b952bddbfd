// Package replicatedlog implements the replicated log of the voters that manage the zones.
//
// The consensus core is package coord/consensus; this package adds the state machine's snapshots, the
// promotion of new voters, and the encoding of stored records and messages (codec.go, stored.go). It
// has no clock, files or sockets. Its caller (package replica) ticks a Log, passes it the other
// voters' messages, sends what Advance returns, persists what NextPersist returns and then calls
// Persisted.
package replicatedlog

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"ospreybend/coord/consensus"
)

const (
	maxAppendBytes     = 256 << 10 // entry bytes in one message
	maxInflightAppends = 64        // unacknowledged append messages to a voter
	trailingEntries    = 64        // entries kept before a snapshot, so that voters that lag a little need no snapshot

	// coreTick is the duration of one tick as passed to the consensus core. The core draws election timeouts in units
	// of time.Duration; as a tick is the smallest unit, they are whole ticks.
	coreTick = time.Duration(1)
)

// Errors of proposals.
var (
	ErrNotLeader     = errors.New("this voter is not the leader")
	ErrBusy          = errors.New("the log cannot accept a proposal now") // too many uncommitted entries, or a membership change is in progress
	ErrInvalidChange = errors.New("a membership change must add or remove exactly one voter")
)

// ErrAcknowledgedLost is returned when a voter's log ends before the last entry that it has acknowledged, for example
// because its store was restored from an old copy.
var ErrAcknowledgedLost = errors.New("entries that were acknowledged are missing")

// ConsistencyError is returned when the log conflicts with committed entries, for example because the store was
// restored from an old copy. The voter must stop.
type ConsistencyError struct{ Err error }

// Error implements error.
func (e *ConsistencyError) Error() string {
	return "the replicated log is inconsistent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ConsistencyError) Unwrap() error { return e.Err }

// StateMachine is the replicated state. Each voter has its own; all apply the same commands in the same order.
type StateMachine interface {
	Apply(index uint64, command []byte)
	Snapshot() ([]byte, error)
	Restore(state []byte) error
}

// Message is a consensus message with the index from which the receiver detects lost entries.
type Message struct {
	consensus.Message
	// Acknowledged is the index of the last entry that the addressee has acknowledged to this leader; 0 if the
	// sender does not lead. If the addressee's log ends before this index, it has lost entries.
	Acknowledged uint64
}

// Config configures a Log. Times are in ticks.
type Config struct {
	ID               uint64
	ElectionTicks    int // minimum election timeout; each timeout is drawn between this and twice this
	HeartbeatTicks   int // between a leader's heartbeats
	SnapshotInterval int // entries applied between two snapshots
	Rand             *rand.Rand
	Logger           *slog.Logger
}

func (c *Config) check() error {
	if c.ID == 0 || c.HeartbeatTicks < 1 || c.ElectionTicks <= c.HeartbeatTicks || c.SnapshotInterval < 1 || c.Rand == nil {
		return fmt.Errorf("replicated log: invalid configuration: voter %d, election after %d ticks, heartbeat every %d, snapshot every %d entries, random source set: %t",
			c.ID, c.ElectionTicks, c.HeartbeatTicks, c.SnapshotInterval, c.Rand != nil)
	}
	return nil
}

// Log is one voter's replicated log. It is not safe for concurrent use.
type Log struct {
	config           Config
	node             *consensus.Node
	machine          StateMachine
	now              time.Duration
	ticksSinceLeader int // since the last message from a leader
	appliedIndex     uint64
	appliedTerm      uint64 // term of the entry at appliedIndex
	snapshotIndex    uint64 // index of the last snapshot
	pending          Persist
	persisting       bool // NextPersist returned a Persist that is not durable yet
	compacting       bool // a snapshot made by this voter is not durable yet
}

// New returns a log that continues from stored state. The state machine is restored from the stored snapshot and the
// entries known to be committed.
func New(config Config, stored StoredState, machine StateMachine) (*Log, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	state, err := stored.toConsensus()
	if err != nil {
		return nil, err
	}
	node := consensus.New(consensus.Config{ID: consensus.MemberID(config.ID), ElectionTimeout: time.Duration(config.ElectionTicks) * coreTick,
		HeartbeatInterval: time.Duration(config.HeartbeatTicks) * coreTick, MaxAppendBytes: maxAppendBytes, MaxInflight: maxInflightAppends,
		Seed: config.Rand.Uint64(), TrailingEntries: trailingEntries}, state, 0)
	l := &Log{config: config, node: node, machine: machine}
	// Restore the state machine. There are no messages to send yet.
	if _, err := l.Advance(); err != nil {
		return nil, err
	}
	return l, nil
}

// Tick advances the clock by one tick.
func (l *Log) Tick() {
	l.now += coreTick
	l.ticksSinceLeader++
	l.node.Tick(l.now)
	if l.IsLeader() {
		l.ticksSinceLeader = 0
		l.promoteLearners()
	}
}

// promoteLearners proposes to make the added members voters. The core rejects this for a member whose log lags.
func (l *Log) promoteLearners() {
	for _, member := range l.node.Status().Members {
		if !member.Voter {
			member.Voter = true
			_ = l.node.ChangeMembers(l.now, consensus.MembershipChange{Add: &member}) // retried at the next tick
		}
	}
}

// Step handles another voter's message. If it returns a *ConsistencyError, this voter must stop.
func (l *Log) Step(message Message) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = consistencyError(r)
		}
	}()
	before := l.Term()
	l.node.Step(l.now, message.Message)
	if !fromLeader(message.Kind) {
		return nil
	}
	status := l.node.Status()
	if message.Term >= before && status.Role != consensus.RoleLeader {
		l.ticksSinceLeader = 0
	}
	// The terms must match: a later leader may have truncated entries that were acknowledged to an earlier one.
	if message.Term == status.Term && message.Acknowledged > status.LastIndex {
		return &ConsistencyError{fmt.Errorf("%w: the log ends at %d, %d were acknowledged",
			ErrAcknowledgedLost, status.LastIndex, message.Acknowledged)}
	}
	return nil
}

// consistencyError converts the core's panic about a conflict with committed entries to an error. It panics again with
// any other value.
func consistencyError(panicked any) error {
	if err, ok := panicked.(error); ok && errors.Is(err, consensus.ErrCommittedConflict) {
		return &ConsistencyError{err}
	}
	panic(panicked)
}

// fromLeader reports whether only a leader sends messages of this kind.
func fromLeader(kind consensus.MessageKind) bool {
	return kind == consensus.MessageAppendEntries || kind == consensus.MessageHeartbeat || kind == consensus.MessageInstallSnapshot
}

// Propose appends a command to the log. The command is committed when the state machine applies it.
// Errors: ErrNotLeader, ErrBusy.
func (l *Log) Propose(command []byte) error {
	_, _, err := l.node.Propose(l.now, command)
	return proposalError(err)
}

// ChangeVoters adds or removes one voter; the other argument is 0. The next change is accepted once this one is
// committed. A new member becomes a voter once its log has nearly caught up.
// Errors: ErrInvalidChange, ErrNotLeader, ErrBusy.
func (l *Log) ChangeVoters(add, remove uint64) error {
	if (add == 0) == (remove == 0) {
		return ErrInvalidChange
	}
	if slices.Contains(l.Voters(), add) {
		return nil
	}
	change := consensus.MembershipChange{Remove: consensus.MemberID(remove)}
	if add != 0 {
		change.Add = &consensus.Member{ID: consensus.MemberID(add)}
	}
	return proposalError(l.node.ChangeMembers(l.now, change))
}

// proposalError converts the core's error to one of this package.
func proposalError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, consensus.ErrNotLeader):
		return ErrNotLeader
	default:
		return fmt.Errorf("%w: %w", ErrBusy, err)
	}
}

// Advance applies committed entries and returns the messages that may be sent. It must be called after each call of
// another method that changes the log, also while a write is in progress.
func (l *Log) Advance() ([]Message, error) {
	ready := l.node.Ready()
	l.pending.merge(ready.Persist)
	if err := l.restore(ready.Restore); err != nil {
		return nil, err
	}
	for _, entry := range ready.Committed {
		l.apply(entry)
	}
	if err := l.maybeSnapshot(); err != nil {
		return nil, err
	}
	return l.outgoing(ready.Messages), nil
}

func (l *Log) outgoing(messages []consensus.Message) []Message {
	if len(messages) == 0 {
		return nil
	}
	out, term := make([]Message, len(messages)), l.Term()
	for i, m := range messages {
		out[i].Message = m
		if fromLeader(m.Kind) && m.Term == term {
			out[i].Acknowledged, _ = l.node.MatchIndex(m.To)
		}
	}
	return out
}

func (l *Log) restore(s *consensus.Snapshot) error {
	if s == nil {
		return nil
	}
	if err := l.machine.Restore(s.Data); err != nil {
		return fmt.Errorf("restore the snapshot at index %d: %w", s.Index, err)
	}
	l.appliedIndex, l.appliedTerm, l.snapshotIndex = s.Index, s.Term, s.Index
	return nil
}

func (l *Log) apply(entry consensus.Entry) {
	l.appliedIndex, l.appliedTerm = entry.Index, entry.Term
	switch entry.Kind {
	case consensus.EntryCommand:
		l.machine.Apply(entry.Index, entry.Data)
	case consensus.EntryMembership:
		l.config.Logger.Info("voters changed", "voters", votersOf(entry.Members))
	}
}

// maybeSnapshot makes a snapshot if at least SnapshotInterval entries were applied since the last one.
func (l *Log) maybeSnapshot() error {
	if l.compacting || l.appliedIndex < l.snapshotIndex+uint64(l.config.SnapshotInterval) {
		return nil
	}
	state, err := l.machine.Snapshot()
	if err != nil {
		return err
	}
	s, known := l.node.SnapshotAt(l.appliedIndex, state)
	if !known {
		return nil
	}
	l.snapshotIndex, l.compacting = l.appliedIndex, true
	first := max(l.node.Status().FirstIndex, l.appliedIndex+1-min(l.appliedIndex, trailingEntries))
	l.pending.addSnapshot(s, first)
	return nil
}

// NextPersist returns what must be made durable next. It returns nothing else until Persisted is called.
func (l *Log) NextPersist() (Persist, bool) {
	if l.persisting || l.pending.Empty() {
		return Persist{}, false
	}
	next := l.pending
	l.pending, l.persisting = Persist{}, true
	return next, true
}

// Persisted records that what NextPersist returned is durable.
func (l *Log) Persisted(p Persist) {
	l.persisting = false
	l.node.Persisted(l.now, p.sequence)
	if p.ownSnapshot {
		l.compacting = false
		l.node.Compact(p.Snapshot.Index, nil, p.Snapshot.Data)
	}
}

// IsLeader reports whether this voter believes that it leads.
func (l *Log) IsLeader() bool { return l.node.Status().Role == consensus.RoleLeader }

// Leader returns the last known leader; 0 if there is none or it sent nothing for ElectionTicks.
func (l *Log) Leader() uint64 {
	if l.ticksSinceLeader >= l.config.ElectionTicks {
		return 0
	}
	return uint64(l.node.Status().Leader)
}

// Term returns the current term.
func (l *Log) Term() uint64 { return l.node.Status().Term }

// AppliedIndex returns the index of the last entry applied here.
func (l *Log) AppliedIndex() uint64 { return l.appliedIndex }

// CommitIndex returns the commit index, as far as this voter knows.
func (l *Log) CommitIndex() uint64 { return l.node.Status().CommitIndex }

// LeaderCaughtUp reports whether this voter leads and has applied an entry of its own term, and therefore all entries
// committed before it (Raft paper, section 8).
func (l *Log) LeaderCaughtUp() bool {
	status := l.node.Status()
	return status.Role == consensus.RoleLeader && l.appliedTerm == status.Term
}

// Voters returns the IDs of the members that vote.
func (l *Log) Voters() []uint64 { return votersOf(l.node.Status().Members) }

func votersOf(members []consensus.Member) (ids []uint64) {
	for _, member := range members {
		if member.Voter {
			ids = append(ids, uint64(member.ID))
		}
	}
	return ids
}
