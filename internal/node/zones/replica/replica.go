// Package replica is one voter of the zones' consensus group.
//
// A Replica takes part in the replicated log (package replicatedlog), tracks the processes that report
// to it and grants them leases on the zone table (packages members and follower), and decides on the
// zones while it leads (package failover). Commands of operators and of the leader are proposed
// through it (pending.go); messages between voters are in messages.go.
//
// A Replica has no clock, files or sockets: package server drives it in the program, package
// simulation in the tests. The caller ticks it, makes durable what NextPersist returns, calls
// Persisted, and sends what TakeOutgoing returns.
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

// startRegistrationTime is how long a replica tries to register its start.
const startRegistrationTime = time.Hour

// maxMissedTicks is how many ticks may be made up for at once; beyond them the process was paused.
const maxMissedTicks = 100

// Settings are the times of a replica.
type Settings struct {
	Tick             time.Duration
	ElectionTicks    int           // ticks without a message of a leader before an election
	HeartbeatTicks   int           // ticks between a leader's heartbeats
	SnapshotInterval int           // entries from one snapshot to the next
	Lease            time.Duration // granted to a process, from the sending of its report
	ProcessTimeout   time.Duration // how long a process is live after a report
	RoundInterval    time.Duration // between digests to the leader, and between the leader's decisions
	DigestTimeout    time.Duration // how long another voter's digest counts
	CommitTimeout    time.Duration // for a command to be committed; then its outcome is reported as unknown
	Failover         failover.Settings
}

// The checks that Config.DisabledCheck can skip.
const (
	checkIncarnation     = "incarnation" // reports of an earlier incarnation are ignored
	checkLeaderContact   = "contact"     // a lease needs an up-to-date table
	checkEchoAge         = "echo"        // a leader's commit index is as old as the message that it echoes
	checkEchoIncarnation = "start"       // an echo counts only for a message of this incarnation
	checkLeaderCaughtUp  = "settled"     // a leader's commit index counts once it has applied an entry of its own term
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
	Starts    uint64 // how often the store was opened; the incarnation of this replica
	Settings  Settings
	Classes   []failover.Class
	Rand      *rand.Rand
	Logger    *slog.Logger
	WallClock func() int64 // the time of day in Unix microseconds, by which overrides expire
	// DisabledCheck names a check to skip, for tests that show why it is needed.
	DisabledCheck string
}

// timedDigest is the last digest of another voter.
type timedDigest struct {
	digest     health.Digest
	receivedAt time.Duration
}

// processReport is the last report of one process.
type processReport struct {
	zone         string
	observations health.Observations
}

// Replica is one voter. It belongs to one goroutine.
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

	// Leading.
	decider       *failover.Decider // nil unless this voter leads
	digests       map[uint64]timedDigest
	assessments   map[string]failover.Assessment
	proposedEpoch uint64 // the epoch that the last proposed change makes
	proposedAt    time.Duration

	// Commands proposed through this voter.
	pending           map[string]*pendingCommand
	lastCommandNumber uint64

	// Freshness of the table: see mayGrantLease.
	leaderCommit leaderCommit
	caughtUpAt   time.Duration        // send time of the last own message whose answer showed this table up to date
	lastStamps   map[uint64]Timestamp // of the last message of each other voter

	lastTickAt  time.Duration
	lastRoundAt time.Duration
	outgoing    []Envelope
}

// Counts are totals since the start, shown to operators. The encoded names are part of their interface.
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
var ErrOutcomeUnknown = errors.New("no word on the order in time: it may have been taken or not") // shown to operators

var errUnnamedProcess = errors.New("name and zone: a report has both")

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

// Err returns why this replica must stop; nil while it may go on.
func (r *Replica) Err() error { return r.err }

// Tick advances the replica to now: log ticks, and a round each RoundInterval.
func (r *Replica) Tick(now time.Duration) {
	r.now = now
	for ; now-r.lastTickAt >= r.config.Settings.Tick; r.lastTickAt += r.config.Settings.Tick {
		if now-r.lastTickAt > maxMissedTicks*r.config.Settings.Tick {
			// The process was paused. The time must not count as the other voters' silence, or a
			// resumed follower would campaign at once.
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

// leadershipChanged starts deciding with an empty history, or stops.
func (r *Replica) leadershipChanged() {
	if r.decider = nil; r.log.IsLeader() {
		r.decider = failover.New(r.config.Settings.Failover, r.config.Classes)
	}
	r.assessments, r.proposedEpoch = nil, 0
	r.config.Logger.Info("leadership changed", "leads", r.log.IsLeader(), "term", r.log.Term(), "epoch", r.machine.Table().Epoch)
}

// runRound sends this voter's digest to the leader or, at the leader, decides on the zones.
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

// decide proposes the change that the merged observations call for, one at a time.
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

// logChange logs a proposed change, a line for each zone.
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

// expireOverrides proposes to clear the overrides that have ended.
func (r *Replica) expireOverrides(now time.Duration, table *commands.Table) {
	wall := r.config.WallClock()
	for _, name := range slices.Sorted(maps.Keys(table.Overrides)) {
		if override := table.Overrides[name]; wall >= override.Until {
			clearing := commands.Override{Zone: name, Action: commands.OverrideClear}
			r.submit(now, commands.Command{Override: &clearing}, now+r.config.Settings.CommitTimeout, func(error) {})
		}
	}
}

// localDigest merges the observations of the processes that report here.
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

// NextPersist returns what must be made durable next; see replicatedlog.Log.
func (r *Replica) NextPersist() (replicatedlog.Persist, bool) {
	r.advance()
	if r.err != nil {
		return replicatedlog.Persist{}, false
	}
	return r.log.NextPersist()
}

// Persisted reports that persist is durable.
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

// Assessments returns the assessments of the last decision; none unless this voter leads.
func (r *Replica) Assessments() map[string]failover.Assessment { return r.assessments }

// Log returns the voter's replicated log.
func (r *Replica) Log() *replicatedlog.Log { return r.log }

// Members returns the live processes that report to this voter.
func (r *Replica) Members() []members.Member { return r.members.Live() }

// Counts returns the totals.
func (r *Replica) Counts() Counts { return r.counts }
