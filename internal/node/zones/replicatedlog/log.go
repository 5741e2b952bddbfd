// Package replicatedlog is the replicated log of the fleet's voters: an order in it holds for all.
// The consensus is package coord/consensus; this package adds the orders' state machine,
// snapshots and the stored form. It has no clock, no files and no sockets. Its caller ticks a
// Log, passes it the other voters' messages, sends what Advance returns, makes durable what
// Next returns and then calls Persisted.
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
	maxAppendBytes  = 256 << 10 // of entries, in one message to another voter
	maxInflight     = 64        // unanswered messages of entries to a voter
	trailingEntries = 64        // kept before a snapshot, for voters a little behind

	// tick is the core's time for one tick. The core draws election timeouts in units of time.Duration, so that with
	// this unit they are whole ticks.
	tick = time.Duration(1)
)

// Errors of proposals.
var (
	ErrNotLeader     = errors.New("this voter does not lead")
	ErrBusy          = errors.New("the log takes nothing more just now") // too many orders wait for a majority, or a change of voters is under way
	ErrInvalidChange = errors.New("one voter is added or removed at a time")
)

// ErrAcknowledgedLost says that a voter's log is shorter than what it has acknowledged.
var ErrAcknowledgedLost = errors.New("entries that were acknowledged are missing")

// ConsistencyError is the error of a log that contradicts what was agreed on, as after a store was put
// back from an old copy. The voter must not go on.
type ConsistencyError struct{ Err error }

// Error tells what is wrong.
func (b *ConsistencyError) Error() string { return "the agreed log is broken: " + b.Err.Error() }

// Unwrap returns what is wrong.
func (b *ConsistencyError) Unwrap() error { return b.Err }

// StateMachine is the state machine. Each voter has its own, and all apply the same orders in the
// same sequence.
type StateMachine interface {
	Apply(index uint64, command []byte)
	Snapshot() ([]byte, error)
	Restore(state []byte) error
}

// Message is what one voter's log says to another's.
type Message struct {
	consensus.Message
	// Acknowledged is the last entry that the addressee has acknowledged to this leader, 0 where the sender does not lead. A log
	// that ends before it has lost entries.
	Acknowledged uint64
}

// Config sets up a Log. Times are in ticks.
type Config struct {
	ID               uint64
	ElectionTicks    int // silence of the leader before a campaign; drawn up to twice this
	HeartbeatTicks   int // pause between a leader's heartbeats
	SnapshotInterval int // entries applied from one snapshot to the next
	Rand             *rand.Rand
	Logger           *slog.Logger
}

func (c *Config) check() error {
	if c.ID == 0 || c.HeartbeatTicks < 1 || c.ElectionTicks <= c.HeartbeatTicks || c.SnapshotInterval < 1 || c.Rand == nil {
		return fmt.Errorf("agreed: voter %d, election after %d ticks, heartbeat each %d, snapshot each %d entries", c.ID, c.ElectionTicks, c.HeartbeatTicks,
			c.SnapshotInterval)
	}
	return nil
}

// Log is one voter's part in the agreement. It belongs to one goroutine.
type Log struct {
	config           Config
	node             *consensus.Node
	machine          StateMachine
	now              time.Duration
	ticksSinceLeader int // ticks without word of a leader
	applied          uint64
	appliedTerm      uint64 // of the entry at applied
	snapshotIndex    uint64 // index of the last snapshot
	pending          Persist
	persisting       bool // a Persist is handed out and not durable yet
	compacting       bool // a snapshot made here is not durable yet
}

// New goes on from what has been stored.
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
	// The state machine takes the stored snapshot and what is known to be agreed on. There is nothing to send yet.
	if _, err := l.Advance(); err != nil {
		return nil, err
	}
	return l, nil
}

// Tick lets one tick pass.
func (l *Log) Tick() {
	l.now += tick
	l.ticksSinceLeader++
	l.node.Tick(l.now)
	if l.IsLeader() {
		l.ticksSinceLeader = 0
		l.promoteLearners()
	}
}

// promoteLearners makes voters of those that were added and hold nearly all of the log by now.
func (l *Log) promoteLearners() {
	for _, member := range l.node.Status().Members {
		if !member.Voter {
			member.Voter = true
			_ = l.node.ChangeMembers(l.now, consensus.MembershipChange{Add: &member}) // refused until it holds enough: tried again with the next tick
		}
	}
}

// Step takes another voter's message. After a *Broken this voter must not go on.
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
	// A later leader may have cut off what was acknowledged to an earlier one.
	if message.Term == status.Term && message.Acknowledged > status.LastIndex {
		return &ConsistencyError{fmt.Errorf("%w: the log ends at %d, %d were acknowledged", ErrAcknowledgedLost, status.LastIndex, message.Acknowledged)}
	}
	return nil
}

// consistencyError makes an error of what the core panics with where a leader contradicts what was agreed on.
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

// Propose puts an order to the voters. Whether it is agreed on shows when it is applied.
// Errors: ErrNotLeader, ErrBusy.
func (l *Log) Propose(command []byte) error {
	_, _, err := l.node.Propose(l.now, command)
	return proposalError(err)
}

// ChangeVoters adds a voter or removes one. One change at a time: the next is taken when this one is
// agreed on. A new voter votes once it holds nearly all of the log.
// Errors: ErrChange, ErrNotLeader, ErrBusy.
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

// Advance applies what is agreed on by now and returns the messages that may be sent. It is
// called after all other calls, also while a write is under way.
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
	l.applied, l.appliedTerm, l.snapshotIndex = s.Index, s.Term, s.Index
	return nil
}

func (l *Log) apply(entry consensus.Entry) {
	l.applied, l.appliedTerm = entry.Index, entry.Term
	switch entry.Kind {
	case consensus.EntryCommand:
		l.machine.Apply(entry.Index, entry.Data)
	case consensus.EntryMembership:
		l.config.Logger.Info("the voters have changed", "voters", votersOf(entry.Members))
	}
}

// maybeSnapshot makes a snapshot when enough has been applied since the last.
func (l *Log) maybeSnapshot() error {
	if l.compacting || l.applied < l.snapshotIndex+uint64(l.config.SnapshotInterval) {
		return nil
	}
	state, err := l.machine.Snapshot()
	if err != nil {
		return err
	}
	s, known := l.node.SnapshotAt(l.applied, state)
	if !known {
		return nil
	}
	l.snapshotIndex, l.compacting = l.applied, true
	first := max(l.node.Status().FirstIndex, l.applied+1-min(l.applied, trailingEntries))
	l.pending.addSnapshot(s, first)
	return nil
}

// NextPersist returns what has to be made durable next. Nothing more comes before Persisted.
func (l *Log) NextPersist() (Persist, bool) {
	if l.persisting || l.pending.Empty() {
		return Persist{}, false
	}
	next := l.pending
	l.pending, l.persisting = Persist{}, true
	return next, true
}

// Persisted reports that what Next returned is durable.
func (l *Log) Persisted(p Persist) {
	l.persisting = false
	l.node.Persisted(l.now, p.sequence)
	if p.ownSnapshot {
		l.compacting = false
		l.node.Compact(p.Snapshot.Index, nil, p.Snapshot.Data)
	}
}

// IsLeader tells whether this voter leads, as far as it knows.
func (l *Log) IsLeader() bool { return l.node.Status().Role == consensus.RoleLeader }

// Leader is the voter that leads, as far as this one knows; 0: none has been heard for an election timeout.
func (l *Log) Leader() uint64 {
	if l.ticksSinceLeader >= l.config.ElectionTicks {
		return 0
	}
	return uint64(l.node.Status().Leader)
}

// Term is the number of elections, as far as this voter knows.
func (l *Log) Term() uint64 { return l.node.Status().Term }

// Applied is the index of the last entry applied here.
func (l *Log) Applied() uint64 { return l.applied }

// Committed is the last index that is agreed on, as far as this voter knows.
func (l *Log) Committed() uint64 { return l.node.Status().CommitIndex }

// LeaderCaughtUp tells whether a leader has applied all that was agreed on before it led: its
// own first entry shows it.
func (l *Log) LeaderCaughtUp() bool {
	status := l.node.Status()
	return status.Role == consensus.RoleLeader && l.appliedTerm == status.Term
}

// Voters are those that vote now.
func (l *Log) Voters() []uint64 { return votersOf(l.node.Status().Members) }

func votersOf(members []consensus.Member) (ids []uint64) {
	for _, member := range members {
		if member.Voter {
			ids = append(ids, uint64(member.ID))
		}
	}
	return ids
}
