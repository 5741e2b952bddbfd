// Package replica is the whole of one voter of the fleet without clock, files and sockets:
// its part in the agreed log, the processes that report to it, and, while it leads, the
// decisions for all zones. The program and the simulation drive the same.
package replica

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/failover"
	"ospreybend/internal/node/zones/follower"
	"ospreybend/internal/node/zones/health"
	"ospreybend/internal/node/zones/members"
	"ospreybend/internal/node/zones/replicatedlog"
)

// Settings are the figures that a voter goes by.
type Settings struct {
	Tick             time.Duration
	ElectionTicks    int           // ticks without word of a leader
	HeartbeatTicks   int           // ticks between a leader's heartbeats
	SnapshotInterval int           // entries from one snapshot to the next
	Lease            time.Duration // that an answer grants, from the report's sending on
	ProcessTimeout   time.Duration // a process counts as alive for so long after a report
	RoundInterval    time.Duration // from one digest to the leader to the next, and from one decision to the next
	DigestTimeout    time.Duration // a digest counts for so long
	CommitTimeout    time.Duration // for an order to be agreed on, before its sender is told that it is not known
	Failover         failover.Settings
}

// DefaultSettings are the figures that the program uses.
func DefaultSettings() Settings {
	return Settings{Tick: 50 * time.Millisecond, ElectionTicks: 8, HeartbeatTicks: 2, SnapshotInterval: 1024, Lease: 2 * time.Second, ProcessTimeout: 1500 * time.Millisecond,
		RoundInterval: 200 * time.Millisecond, DigestTimeout: time.Second, CommitTimeout: 2 * time.Second, Failover: failover.DefaultSettings()}
}

// Config is what a voter is told.
type Config struct {
	Fleet     string
	ID        uint64
	Store     string // its store's name
	Starts    uint64 // how often the store was opened
	Settings  Settings
	Classes   []failover.Class
	Rand      *rand.Rand
	Logger    *slog.Logger
	WallClock func() int64 // the time of day, Unix microseconds: ends of what persons have said
	// DisabledCheck has a check left out, for the tests that show what it is for.
	DisabledCheck string
}

// timedDigest is what another voter's processes see.
type timedDigest struct {
	digest     health.Digest
	receivedAt time.Duration
}

// processReport is what one process sees.
type processReport struct {
	zone         string
	observations health.Observations
}

// Replica is one of them. It belongs to one goroutine.
type Replica struct {
	config            Config
	log               *replicatedlog.Log
	machine           *commands.StateMachine
	members           *members.Table
	reports           map[string]processReport // by process
	digests           map[uint64]timedDigest
	decider           *failover.Decider // while this voter leads
	verdicts          map[string]failover.Assessment
	proposedEpoch     uint64 // the last epoch that this leader has put a change for, and when
	proposedAt        time.Duration
	pending           map[string]*pendingCommand
	lastCommandNumber uint64
	lastTickAt        time.Duration        // clock time of the last tick
	leaderCommit      leaderCommit         // the leader's last
	caughtUpAt        time.Duration        // when this voter wrote what the leader has answered with a word on the log that is applied here
	lastStamps        map[uint64]Timestamp // the other voters' last
	now               time.Duration
	lastRoundAt       time.Duration
	outgoing          []Envelope
	err               error
	counts            Counts
}

// Counts are totals since the start.
type Counts struct {
	Reports    uint64 `cbor:"Reports" json:"Reports"`
	OutOfOrder uint64 `cbor:"Late" json:"Late"`
	Superseded uint64 `cbor:"Outdone" json:"Outdone"`
	Foreign    uint64 `cbor:"Strangers" json:"Strangers"`
	Commands   uint64 `cbor:"Orders" json:"Orders"`
	Stale      uint64 `cbor:"Stale" json:"Stale"`
	Rejected   uint64 `cbor:"Refused" json:"Refused"`
}

// ErrOutcomeUnknown says that it is not known whether an order was agreed on. It may yet be.
var ErrOutcomeUnknown = errors.New("no word on the order in time: it may have been taken or not")

// New goes on from what the voter's store holds.
func New(now time.Duration, config Config, stored replicatedlog.StoredState) (*Replica, error) {
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	r := &Replica{config: config, machine: commands.NewStateMachine(), members: members.New(config.Settings.ProcessTimeout), reports: map[string]processReport{},
		digests: map[uint64]timedDigest{}, pending: map[string]*pendingCommand{}, lastStamps: map[uint64]Timestamp{}, lastTickAt: now, lastRoundAt: now, now: now}
	r.machine.OnApplied, r.machine.DisabledCheck = r.onApplied, config.DisabledCheck
	var err error
	r.log, err = replicatedlog.New(replicatedlog.Config{ID: config.ID, ElectionTicks: config.Settings.ElectionTicks, HeartbeatTicks: config.Settings.HeartbeatTicks, SnapshotInterval: config.Settings.SnapshotInterval,
		Rand: config.Rand, Logger: config.Logger}, stored, r.machine)
	if err != nil {
		return nil, err
	}
	r.submit(now, commands.Command{Start: &commands.VoterStart{Voter: config.ID, Store: config.Store, Runs: config.Starts}}, now+time.Hour, func(err error) {
		if errors.Is(err, commands.ErrStoreRolledBack) {
			r.err = err
		}
	})
	return r, nil
}

// Err tells why this voter must not go on; nil: it may.
func (r *Replica) Err() error { return r.err }

// Tick lets time pass up to now.
func (r *Replica) Tick(now time.Duration) {
	r.now = now
	for ; now-r.lastTickAt >= r.config.Settings.Tick; r.lastTickAt += r.config.Settings.Tick {
		if now-r.lastTickAt > 100*r.config.Settings.Tick {
			// The process stood still. What it has missed it has not waited for: it must not
			// count that as silence of the others.
			r.lastTickAt = now - r.config.Settings.Tick
		}
		r.log.Tick()
	}
	if r.log.IsLeader() != (r.decider != nil) {
		r.leadershipChanged()
	}
	if now-r.lastRoundAt >= r.config.Settings.RoundInterval {
		r.lastRoundAt = now
		r.runRound(now)
	}
}

// leadershipChanged begins or ends this voter's leading.
func (r *Replica) leadershipChanged() {
	if r.decider = nil; r.log.IsLeader() {
		r.decider = failover.New(r.config.Settings.Failover, r.config.Classes)
	}
	r.verdicts, r.proposedEpoch = nil, 0
	r.config.Logger.Info("voter", "leads", r.log.IsLeader(), "term", r.log.Term(), "epoch", r.machine.Table().Epoch)
}

// runRound tells the leader what is seen, or decides where this voter leads.
func (r *Replica) runRound(now time.Duration) {
	for _, name := range r.members.Expire(now) {
		delete(r.reports, name)
	}
	r.resendPending(now)
	if !r.log.IsLeader() {
		if to := r.log.Leader(); to != 0 {
			r.send(to, Message{Digest: r.localDigest()})
		}
		return
	}
	merged := r.localDigest()
	for _, id := range slices.Sorted(maps.Keys(r.digests)) {
		if d := r.digests[id]; now-d.receivedAt <= r.config.Settings.DigestTimeout {
			merged.Add(d.digest)
		}
	}
	table := r.machine.Table()
	if r.proposedEpoch > table.Epoch && now-r.proposedAt < r.config.Settings.CommitTimeout {
		return // the last change is still on its way
	}
	change, verdicts := r.decider.Decide(now, r.config.WallClock(), merged, table)
	r.verdicts = verdicts
	r.expireOverrides(now, table)
	if change == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(change.Zones)) {
		zone := change.Zones[name]
		r.config.Logger.Info("zone ordered", "zone", name, "phase", zone.Phase.String(), "share", zone.Share, "chosen", zone.ProbeFraction, "cut", zone.UnreachableFrom,
			"failures", zone.Failures, "reason", zone.Reason, "epoch", table.Epoch+1, "verdict", verdicts[name].Condition.String())
	}
	if change.SetsAdmission {
		r.config.Logger.Info("let in", "classes", change.Admission, "epoch", table.Epoch+1)
	}
	r.proposedEpoch, r.proposedAt = table.Epoch+1, now
	r.submit(now, commands.Command{Change: change}, now+r.config.Settings.CommitTimeout, func(error) {})
}

// expireOverrides clears what persons have said once it is over.
func (r *Replica) expireOverrides(now time.Duration, table *commands.Table) {
	wall := r.config.WallClock()
	for _, name := range slices.Sorted(maps.Keys(table.Overrides)) {
		if override := table.Overrides[name]; wall >= override.Until {
			r.submit(now, commands.Command{Override: &commands.Override{Zone: name, Action: commands.OverrideClear}}, now+r.config.Settings.CommitTimeout, func(error) {})
		}
	}
}

// localDigest merges what the processes see that report here.
func (r *Replica) localDigest() health.Digest {
	out := health.Digest{}
	for _, name := range slices.Sorted(maps.Keys(r.reports)) {
		s := r.reports[name]
		out.AddProcess(s.zone, s.observations)
	}
	return out
}

// HandleReport takes in a process's report and answers it.
func (r *Replica) HandleReport(now time.Duration, report follower.Report) (follower.Response, error) {
	if report.Fleet != r.config.Fleet {
		r.counts.Foreign++
		return follower.Response{}, fmt.Errorf("fleet: this is %q, not %q", r.config.Fleet, report.Fleet)
	}
	if report.Name == "" || report.Zone == "" {
		r.counts.Foreign++
		return follower.Response{}, errors.New("name and zone: a report has both")
	}
	r.counts.Reports++
	table := r.machine.Table()
	out := follower.Response{Incarnation: report.Incarnation, Epoch: table.Epoch}
	verdict, incarnation := r.members.Heartbeat(now, report.Name, report.Zone, report.Incarnation, report.Sequence)
	switch verdict {
	case members.Superseded:
		r.counts.Superseded++
		out.Incarnation = incarnation
		if r.config.DisabledCheck != "incarnation" {
			return out, nil
		}
		r.reports[report.Name] = processReport{report.Zone, report.Observations}
	case members.OutOfOrder:
		r.counts.OutOfOrder++
	default:
		r.reports[report.Name] = processReport{report.Zone, report.Observations}
	}
	if report.Epoch != table.Epoch {
		table := table.Clone()
		out.Table = &table
	}
	if r.mayGrantLease(now) || r.config.DisabledCheck == "contact" {
		out.Lease = r.config.Settings.Lease
	}
	return out, nil
}

// NextPersist returns what has to be written through next; see agreed.Log.
func (r *Replica) NextPersist() (replicatedlog.Persist, bool) {
	r.advance()
	if r.err != nil {
		return replicatedlog.Persist{}, false
	}
	return r.log.NextPersist()
}

// Persisted says that it has been written through.
func (r *Replica) Persisted(p replicatedlog.Persist) {
	r.log.Persisted(p)
	r.advance()
}

// advance applies what is agreed on and puts the log's messages into letters.
func (r *Replica) advance() {
	if r.err != nil {
		return
	}
	messages, err := r.log.Advance()
	if err != nil {
		r.err = err
		return
	}
	r.recordLeaderCommit(leaderCommit{})
	byReplica := map[uint64][][]byte{}
	for _, m := range messages {
		byReplica[uint64(m.To)] = append(byReplica[uint64(m.To)], replicatedlog.EncodeMessage(m))
	}
	for _, to := range slices.Sorted(maps.Keys(byReplica)) {
		r.send(to, Message{Log: byReplica[to]})
	}
}

// Table is what holds, as far as this voter knows; it is not to be changed.
func (r *Replica) Table() *commands.Table { return r.machine.Table() }

// Verdicts are those of the last decision here; none where this voter does not lead.
func (r *Replica) Verdicts() map[string]failover.Assessment { return r.verdicts }

// Log is the voter's part in the agreement.
func (r *Replica) Log() *replicatedlog.Log { return r.log }

// Members are the processes that report here.
func (r *Replica) Members() []members.Member { return r.members.Live() }

// Counts returns the totals.
func (r *Replica) Counts() Counts { return r.counts }
