// Package replicatedlog is the replicated log of the zones' voters.
//
// The consensus core is package coord/consensus; this package adds the state machine's snapshots, the
// promotion of new voters, and the encoding of stored records and messages (codec.go, stored.go). It
// has no clock, files or sockets. Its caller (package replica) ticks a Log, passes it the other
// voters' messages, sends what Advance returns, makes durable what NextPersist returns and then calls
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
	maxAppendBytes  = 256 << 10 // entry bytes in one message
	maxInflight     = 64        // unacknowledged append messages to a voter
	trailingEntries = 64        // entries kept before a snapshot, for voters that lag a little

	// tick is the core's time for one tick. The core draws election timeouts in units of time.Duration, which makes
	// them multiples of a tick.
	tick = time.Duration(1)
)

// Errors of proposals.
var (
	ErrNotLeader     = errors.New("this voter does not lead")
	ErrBusy          = errors.New("the log accepts no command now") // too many uncommitted entries, or a change of voters is in progress
	ErrInvalidChange = errors.New("one voter is added or removed at a time")
)

// ErrAcknowledgedLost is returned when a voter's log is shorter than what it has acknowledged, as after its store was
// restored from an old copy.
var ErrAcknowledgedLost = errors.New("entries that were acknowledged are missing")

// ConsistencyError is returned when the log contradicts committed entries, as after a store was restored from an old
// copy. The voter must stop.
type ConsistencyError struct{ Err error }

// Error implements error.
func (b *ConsistencyError) Error() string {
	return "the replicated log is inconsistent: " + b.Err.Error()
}

// Unwrap returns the cause.
func (b *ConsistencyError) Unwrap() error { return b.Err }

// StateMachine is what the log replicates. Each voter has its own; all apply the same commands in the same order.
type StateMachine interface {
	Apply(index uint64, command []byte)
	Snapshot() ([]byte, error)
	Restore(state []byte) error
}

// Message is a consensus message with what the receiver needs to detect a lost store.
type Message struct {
	consensus.Message
	// Acknowledged is the index of the last entry that the addressee has acknowledged to this leader, 0 where the
	// sender does not lead. A log that ends before it has lost entries.
	Acknowledged uint64
}

// Config configures a Log. Times are in ticks.
type Config struct {
	ID               uint64
	ElectionTicks    int // without a leader's message before an election; drawn from this to twice this
	HeartbeatTicks   int // between a leader's heartbeats
	SnapshotInterval int // entries applied from one snapshot to the next
	Rand             *rand.Rand
	Logger           *slog.Logger
}

func (c *Config) check() error {
	if c.ID == 0 || c.HeartbeatTicks < 1 || c.ElectionTicks <= c.HeartbeatTicks || c.SnapshotInterval < 1 || c.Rand == nil {
		return fmt.Errorf("replicated log: voter %d, election after %d ticks, heartbeat every %d, snapshot every %d entries",
			c.ID, c.ElectionTicks, c.HeartbeatTicks, c.SnapshotInterval)
	}
	return nil
}

// Log is one voter's replicated log. It belongs to one goroutine.
type Log struct {
	config           Config
	node             *consensus.Node
	machine          StateMachine
	now              time.Duration
	ticksSinceLeader int // since the last message of a leader
	appliedIndex     uint64
	appliedTerm      uint64 // of the entry at applied
	snapshotIndex    uint64 // index of the last snapshot
	pending          Persist
	persisting       bool // a Persist was handed out and is not durable yet
	compacting       bool // a snapshot made here is not durable yet
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
	node := consensus.New(consensus.Config{ID: consensus.MemberID(config.ID), ElectionTimeout: time.Duration(config.ElectionTicks) * tick,
		HeartbeatInterval: time.Duration(config.HeartbeatTicks) * tick, MaxAppendBytes: maxAppendBytes, MaxInflight: maxInflight,
		Seed: config.Rand.Uint64(), TrailingEntries: trailingEntries}, state, 0)
	l := &Log{config: config, node: node, machine: machine}
	// Restores the state machine. There is nothing to send yet.
	if _, err := l.Advance(); err != nil {
		return nil, err
	}
	return l, nil
}

// Tick advances the clock by one tick.
func (l *Log) Tick() {
	l.now += tick
	l.ticksSinceLeader++
	l.node.Tick(l.now)
	if l.IsLeader() {
		l.ticksSinceLeader = 0
		l.promoteLearners()
	}
}

// promoteLearners proposes to make voters of the members that were added. The core rejects it for one whose log lags.
func (l *Log) promoteLearners() {
	for _, member := range l.node.Status().Members {
		if !member.Voter {
			member.Voter = true
			_ = l.node.ChangeMembers(l.now, consensus.MembershipChange{Add: &member}) // retried with the next tick
		}
	}
}

// Step handles another voter's message. After a *ConsistencyError this voter must stop.
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
	// The terms must match: a later leader may have truncated what was acknowledged to an earlier one.
	if message.Term == status.Term && message.Acknowledged > status.LastIndex {
		return &ConsistencyError{fmt.Errorf("%w: the log ends at %d, %d were acknowledged",
			ErrAcknowledgedLost, status.LastIndex, message.Acknowledged)}
	}
	return nil
}

// consistencyError converts the core's panic on a conflict with committed entries to an error; it passes on any other.
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

// Propose appends a command to the log. It is committed when the state machine applies it.
// Errors: ErrNotLeader, ErrBusy.
func (l *Log) Propose(command []byte) error {
	_, _, err := l.node.Propose(l.now, command)
	return proposalError(err)
}

// ChangeVoters adds a voter or removes one; 0 stands for none. The next change is accepted when this one is committed.
// A new voter votes once it has nearly the whole log.
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

// proposalError converts the core's error.
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

// Advance applies committed entries and returns the messages that may be sent. It is called after all other calls,
// also while a write is in progress.
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
		return fmt.Errorf("the snapshot at %d: %w", s.Index, err)
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

// maybeSnapshot makes a snapshot when SnapshotInterval entries were applied since the last.
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

// NextPersist returns what must be made durable next. It returns nothing more before Persisted is called.
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

// IsLeader reports whether this voter leads, as far as it knows.
func (l *Log) IsLeader() bool { return l.node.Status().Role == consensus.RoleLeader }

// Leader returns the leader, as far as this voter knows; 0 if none was heard for an election timeout.
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

// LeaderCaughtUp reports whether this voter leads and has applied an entry of its own term, and with it all entries
// committed before (Raft paper, section 8).
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
