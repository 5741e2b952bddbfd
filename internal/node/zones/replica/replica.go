// Package replica implements one voter of the consensus group that manages the zones.
//
// A Replica takes part in the replicated log (package replicatedlog), tracks the processes that report
// to it and grants them leases on the zone table (packages members and follower), and decides about
// failover of the zones while it leads (package failover). Operators and the leader propose commands
// through it (pending.go); messages between voters are in messages.go.
//
// A Replica has no clock, files or sockets: package server drives it in the program, package
// simulation in tests. The caller ticks it, persists what NextPersist returns, then calls Persisted,
// and sends what TakeOutgoing returns.
package replica

import (
	"errors"
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

// startRegistrationTime is how long a replica tries to commit the command that registers its start.
const startRegistrationTime = time.Hour

// maxMissedTicks is how many missed ticks are caught up on at once. If more were missed, the process was paused.
const maxMissedTicks = 100

// Settings are the intervals and timeouts of a replica.
type Settings struct {
	Tick             time.Duration
	ElectionTicks    int           // ticks without a message from a leader before an election
	HeartbeatTicks   int           // ticks between a leader's heartbeats
	SnapshotInterval int           // entries from one snapshot to the next
	Lease            time.Duration // lease granted to a process, counted from when it sent its report
	ProcessTimeout   time.Duration // how long a process counts as live after a report
	RoundInterval    time.Duration // between digests to the leader, and between the leader's decisions
	DigestTimeout    time.Duration // how long another voter's digest is used
	CommitTimeout    time.Duration // how long a command may take to be committed; then its outcome is reported as unknown
	Failover         failover.Settings
}

// The checks that Config.DisabledCheck can skip.
const (
	checkIncarnation     = "incarnation" // reports of an earlier incarnation are ignored
	checkLeaderContact   = "contact"     // a lease needs an up-to-date table
	checkEchoAge         = "echo"        // the age of a leader's commit index counts from the message that the leader echoes
	checkEchoIncarnation = "start"       // an echo counts only if it is of a message from this incarnation
	checkLeaderCaughtUp  = "settled"     // a leader's commit index counts only once it has applied an entry of its own term
)

// DefaultSettings returns the settings that the program uses.
func DefaultSettings() Settings {
	return Settings{
		Tick:             50 * time.Millisecond,
		ElectionTicks:    8,
		HeartbeatTicks:   2,
		SnapshotInterval: 1024,
		Lease:            2 * time.Second,
		ProcessTimeout:   1500 * time.Millisecond,
		RoundInterval:    200 * time.Millisecond,
		DigestTimeout:    time.Second,
		CommitTimeout:    2 * time.Second,
		Failover:         failover.DefaultSettings(),
	}
}

// Config configures a replica.
type Config struct {
	Fleet     string
	ID        uint64
	Store     string // ID of the voter's store
	Starts    uint64 // how often the store was opened; used as this replica's incarnation
	Settings  Settings
	Classes   []failover.Class
	Rand      *rand.Rand
	Logger    *slog.Logger
	WallClock func() int64 // Unix time in microseconds, used for the expiry of overrides
	// DisabledCheck names a check to skip, for tests which show that the check is needed.
	DisabledCheck string
}

// timedDigest is the last digest from another voter.
type timedDigest struct {
	digest     health.Digest
	receivedAt time.Duration
}

// processReport is the last report from one process.
type processReport struct {
	zone         string
	observations health.Observations
}

// Replica is one voter. It is not safe for concurrent use.
type Replica struct {
	config  Config
	log     *replicatedlog.Log
	machine *commands.StateMachine
	now     time.Duration
	err     error // why the replica must stop
	counts  Counts

	// The processes that report to this voter.
	members *members.Table
	reports map[string]processReport // by process name

	// State used only while this voter leads.
	decider       *failover.Decider // nil unless this voter leads
	digests       map[uint64]timedDigest
	assessments   map[string]failover.Assessment
	proposedEpoch uint64 // the table's epoch after the last proposed change
	proposedAt    time.Duration

	// Commands proposed through this voter.
	pending           map[string]*pendingCommand
	lastCommandNumber uint64

	// How recent the table is; see mayGrantLease.
	leaderCommit leaderCommit
	caughtUpAt   time.Duration        // when this voter sent the last message whose echo showed that its table was up to date
	lastStamps   map[uint64]Timestamp // stamp of the last message from each other voter

	lastTickAt  time.Duration
	lastRoundAt time.Duration
	outgoing    []Envelope
}

// Counts are totals since the start, shown to operators. The encoded names are part of the operators' interface.
type Counts struct {
	Reports    uint64 `cbor:"Reports" json:"Reports"`
	OutOfOrder uint64 `cbor:"Late" json:"Late"`
	Superseded uint64 `cbor:"Outdone" json:"Outdone"`
	Foreign    uint64 `cbor:"Strangers" json:"Strangers"`
	Commands   uint64 `cbor:"Orders" json:"Orders"`
	Stale      uint64 `cbor:"Stale" json:"Stale"`
	Rejected   uint64 `cbor:"Refused" json:"Refused"`
}

// ErrOutcomeUnknown is returned for a command that was not seen committed within CommitTimeout. It may
// still be committed.
var ErrOutcomeUnknown = errors.New("the command was not confirmed in time; it may or may not take effect") // shown to operators

var errUnnamedProcess = errors.New("name, zone: a report must contain both")

// New returns a replica that continues from its stored state and registers its start in the log.
func New(now time.Duration, config Config, stored replicatedlog.StoredState) (*Replica, error) {
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	settings := config.Settings
	r := &Replica{config: config, machine: commands.NewStateMachine(), members: members.New(settings.ProcessTimeout),
		reports: map[string]processReport{}, digests: map[uint64]timedDigest{}, pending: map[string]*pendingCommand{},
		lastStamps: map[uint64]Timestamp{}, lastTickAt: now, lastRoundAt: now, now: now}
	r.machine.OnApplied, r.machine.DisabledCheck = r.onApplied, config.DisabledCheck
	var err error
	r.log, err = replicatedlog.New(replicatedlog.Config{ID: config.ID, ElectionTicks: settings.ElectionTicks,
		HeartbeatTicks: settings.HeartbeatTicks, SnapshotInterval: settings.SnapshotInterval, Rand: config.Rand, Logger: config.Logger},
		stored, r.machine)
	if err != nil {
		return nil, err
	}
	start := commands.VoterStart{Voter: config.ID, Store: config.Store, Starts: config.Starts}
	r.submit(now, commands.Command{Start: &start}, now+startRegistrationTime, func(err error) {
		if errors.Is(err, commands.ErrStoreRolledBack) {
			r.err = err
		}
	})
	return r, nil
}

// Err returns why this replica must stop; nil while it may continue.
func (r *Replica) Err() error { return r.err }

// Tick advances the replica to now: it ticks the log, and runs a round every RoundInterval.
func (r *Replica) Tick(now time.Duration) {
	r.now = now
	for ; now-r.lastTickAt >= r.config.Settings.Tick; r.lastTickAt += r.config.Settings.Tick {
		if now-r.lastTickAt > maxMissedTicks*r.config.Settings.Tick {
			// The process was paused. The pause must not count as time without messages from the other
			// voters, or a resumed follower would start an election at once.
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

// leadershipChanged creates a decider with an empty history if this voter now leads, and drops it otherwise.
func (r *Replica) leadershipChanged() {
	if r.decider = nil; r.log.IsLeader() {
		r.decider = failover.New(r.config.Settings.Failover, r.config.Classes)
	}
	r.assessments, r.proposedEpoch = nil, 0
	r.config.Logger.Info("leadership changed", "leads", r.log.IsLeader(), "term", r.log.Term(), "epoch", r.machine.Table().Epoch)
}

// runRound expires silent processes, resends pending commands and then sends this voter's digest to the leader or,
// at the leader, decides about the zones.
func (r *Replica) runRound(now time.Duration) {
	for _, name := range r.members.Expire(now) {
		delete(r.reports, name)
	}
	r.resendPending(now)
	if r.log.IsLeader() {
		r.decide(now)
		return
	}
	if leader := r.log.Leader(); leader != 0 {
		r.send(leader, Message{Digest: r.localDigest()})
	}
}

// decide proposes the change that the merged observations of all voters require. Only one change is in progress
// at a time.
func (r *Replica) decide(now time.Duration) {
	merged := r.localDigest()
	for _, id := range slices.Sorted(maps.Keys(r.digests)) {
		if d := r.digests[id]; now-d.receivedAt <= r.config.Settings.DigestTimeout {
			merged.Add(d.digest)
		}
	}
	table := r.machine.Table()
	if r.proposedEpoch > table.Epoch && now-r.proposedAt < r.config.Settings.CommitTimeout {
		return // the last change is not committed yet
	}
	change, assessments := r.decider.Decide(now, r.config.WallClock(), merged, table)
	r.assessments = assessments
	r.expireOverrides(now, table)
	if change == nil {
		return
	}
	r.logChange(change, table.Epoch+1)
	r.proposedEpoch, r.proposedAt = table.Epoch+1, now
	r.submit(now, commands.Command{Change: change}, now+r.config.Settings.CommitTimeout, func(error) {})
}

// logChange logs a proposed change, with one record per zone.
func (r *Replica) logChange(change *commands.Change, epoch uint64) {
	for _, name := range slices.Sorted(maps.Keys(change.Zones)) {
		zone := change.Zones[name]
		r.config.Logger.Info("zone change proposed", "zone", name, "phase", zone.Phase.String(), "share", zone.Share,
			"probeFraction", zone.ProbeFraction, "unreachableFrom", zone.UnreachableFrom, "failures", zone.Failures,
			"reason", zone.Reason, "epoch", epoch, "condition", r.assessments[name].Condition.String())
	}
	if change.SetsAdmission {
		r.config.Logger.Info("admission change proposed", "classes", change.Admission, "epoch", epoch)
	}
}

// expireOverrides proposes commands that clear expired overrides.
func (r *Replica) expireOverrides(now time.Duration, table *commands.Table) {
	wallClock := r.config.WallClock()
	for _, name := range slices.Sorted(maps.Keys(table.Overrides)) {
		if override := table.Overrides[name]; wallClock >= override.Until {
			clearing := commands.Override{Zone: name, Action: commands.OverrideClear}
			r.submit(now, commands.Command{Override: &clearing}, now+r.config.Settings.CommitTimeout, func(error) {})
		}
	}
}

// localDigest merges the observations of the processes that report to this voter.
func (r *Replica) localDigest() health.Digest {
	out := health.Digest{}
	for _, name := range slices.Sorted(maps.Keys(r.reports)) {
		report := r.reports[name]
		out.AddProcess(report.zone, report.observations)
	}
	return out
}

// HandleReport records a process's report and returns the response. The lease is granted only while this
// voter's table is up to date with the leader's.
func (r *Replica) HandleReport(now time.Duration, report follower.Report) (follower.Response, error) {
	if report.Fleet != r.config.Fleet {
		r.counts.Foreign++
		return follower.Response{}, r.foreignFleetError(report.Fleet)
	}
	if report.Name == "" || report.Zone == "" {
		r.counts.Foreign++
		return follower.Response{}, errUnnamedProcess
	}
	r.counts.Reports++
	table := r.machine.Table()
	out := follower.Response{Incarnation: report.Incarnation, Epoch: table.Epoch}
	result, incarnation := r.members.Heartbeat(now, report.Name, report.Zone, report.Incarnation, report.Sequence)
	switch result {
	case members.Superseded:
		r.counts.Superseded++
		out.Incarnation = incarnation
		if r.config.DisabledCheck != checkIncarnation {
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
	if r.mayGrantLease(now) || r.config.DisabledCheck == checkLeaderContact {
		out.Lease = r.config.Settings.Lease
	}
	return out, nil
}

// NextPersist returns what must be persisted next; see replicatedlog.Log.
func (r *Replica) NextPersist() (replicatedlog.Persist, bool) {
	r.advance()
	if r.err != nil {
		return replicatedlog.Persist{}, false
	}
	return r.log.NextPersist()
}

// Persisted tells the replica that p is durable.
func (r *Replica) Persisted(p replicatedlog.Persist) {
	r.log.Persisted(p)
	r.advance()
}

// advance applies committed entries and queues the log's messages.
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

// Table returns the committed table as this voter knows it. The caller must not modify it.
func (r *Replica) Table() *commands.Table { return r.machine.Table() }

// Assessments returns the zones' assessments from the last decision; nil unless this voter leads.
func (r *Replica) Assessments() map[string]failover.Assessment { return r.assessments }

// Log returns the voter's replicated log.
func (r *Replica) Log() *replicatedlog.Log { return r.log }

// Members returns the live processes that report to this voter.
func (r *Replica) Members() []members.Member { return r.members.Live() }

// Counts returns the totals since the start.
func (r *Replica) Counts() Counts { return r.counts }
