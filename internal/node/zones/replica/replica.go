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

// Rules are the figures that a voter goes by.
type Rules struct {
	Tick          time.Duration
	Election      int           // ticks without word of a leader
	Heartbeat     int           // ticks between a leader's heartbeats
	SnapshotEvery int           // entries from one snapshot to the next
	Lease         time.Duration // that an answer grants, from the report's sending on
	Life          time.Duration // a process counts as alive for so long after a report
	Digest        time.Duration // from one digest to the leader to the next, and from one decision to the next
	DigestLife    time.Duration // a digest counts for so long
	Patience      time.Duration // for an order to be agreed on, before its sender is told that it is not known
	Zone          failover.Rules
}

// Usual are the figures that the program uses.
func Usual() Rules {
	return Rules{Tick: 50 * time.Millisecond, Election: 8, Heartbeat: 2, SnapshotEvery: 1024, Lease: 2 * time.Second, Life: 1500 * time.Millisecond,
		Digest: 200 * time.Millisecond, DigestLife: time.Second, Patience: 2 * time.Second, Zone: failover.Usual()}
}

// Config is what a voter is told.
type Config struct {
	Fleet   string
	ID      uint64
	Store   string // its store's name
	Runs    uint64 // how often the store was opened
	Rules   Rules
	Classes []failover.Class
	Rand    *rand.Rand
	Logger  *slog.Logger
	Wall    func() int64 // the time of day, Unix microseconds: ends of what persons have said
	// Without has a check left out, for the tests that show what it is for.
	Without string
}

// digest is what another voter's processes see.
type digest struct {
	of health.Digest
	at time.Duration
}

// sights is what one process sees.
type sights struct {
	zone string
	of   health.Sights
}

// Voter is one of them. It belongs to one goroutine.
type Voter struct {
	config   Config
	log      *replicatedlog.Log
	machine  *commands.Machine
	members  *members.Table
	seen     map[string]sights // by process
	digests  map[uint64]digest
	decider  *failover.Decider // while this voter leads
	verdicts map[string]failover.Verdict
	made     uint64 // the last epoch that this leader has put a change for, and when
	madeAt   time.Duration
	waits    map[string]*pending
	number   uint64
	ticks    time.Duration    // clock time of the last tick
	word     word             // the leader's last
	freshAt  time.Duration    // when this voter wrote what the leader has answered with a word on the log that is applied here
	echoes   map[uint64]Stamp // the other voters' last
	now      time.Duration
	digestAt time.Duration
	post     []Post
	broken   error
	counts   Counts
}

// Counts are totals since the start.
type Counts struct {
	Reports   uint64 `cbor:"Reports" json:"Reports"`
	Late      uint64 `cbor:"Late" json:"Late"`
	Outdone   uint64 `cbor:"Outdone" json:"Outdone"`
	Strangers uint64 `cbor:"Strangers" json:"Strangers"`
	Orders    uint64 `cbor:"Orders" json:"Orders"`
	Stale     uint64 `cbor:"Stale" json:"Stale"`
	Refused   uint64 `cbor:"Refused" json:"Refused"`
}

// ErrUnknown says that it is not known whether an order was agreed on. It may yet be.
var ErrUnknown = errors.New("no word on the order in time: it may have been taken or not")

// New goes on from what the voter's store holds.
func New(now time.Duration, c Config, stored replicatedlog.Stored) (*Voter, error) {
	if c.Logger == nil {
		c.Logger = slog.Default()
	}
	v := &Voter{config: c, machine: commands.NewMachine(), members: members.New(c.Rules.Life), seen: map[string]sights{},
		digests: map[uint64]digest{}, waits: map[string]*pending{}, echoes: map[uint64]Stamp{}, ticks: now, digestAt: now, now: now}
	v.machine.Applied, v.machine.Without = v.applied, c.Without
	var err error
	v.log, err = replicatedlog.New(replicatedlog.Config{ID: c.ID, Election: c.Rules.Election, Heartbeat: c.Rules.Heartbeat, SnapshotEvery: c.Rules.SnapshotEvery,
		Rand: c.Rand, Logger: c.Logger}, stored, v.machine)
	if err != nil {
		return nil, err
	}
	v.put(now, commands.Order{Start: &commands.Start{Voter: c.ID, Store: c.Store, Runs: c.Runs}}, now+time.Hour, func(err error) {
		if errors.Is(err, commands.ErrOldStore) {
			v.broken = err
		}
	})
	return v, nil
}

// Broken tells why this voter must not go on; nil: it may.
func (v *Voter) Broken() error { return v.broken }

// Tick lets time pass up to now.
func (v *Voter) Tick(now time.Duration) {
	v.now = now
	for ; now-v.ticks >= v.config.Rules.Tick; v.ticks += v.config.Rules.Tick {
		if now-v.ticks > 100*v.config.Rules.Tick {
			// The process stood still. What it has missed it has not waited for: it must not
			// count that as silence of the others.
			v.ticks = now - v.config.Rules.Tick
		}
		v.log.Tick()
	}
	if v.log.Leads() != (v.decider != nil) {
		v.lead()
	}
	if now-v.digestAt >= v.config.Rules.Digest {
		v.digestAt = now
		v.round(now)
	}
}

// lead begins or ends this voter's leading.
func (v *Voter) lead() {
	if v.decider = nil; v.log.Leads() {
		v.decider = failover.New(v.config.Rules.Zone, v.config.Classes)
	}
	v.verdicts, v.made = nil, 0
	v.config.Logger.Info("voter", "leads", v.log.Leads(), "term", v.log.Term(), "epoch", v.machine.Table().Epoch)
}

// round tells the leader what is seen, or decides where this voter leads.
func (v *Voter) round(now time.Duration) {
	for _, name := range v.members.Sweep(now) {
		delete(v.seen, name)
	}
	v.push(now)
	if !v.log.Leads() {
		if to := v.log.Leader(); to != 0 {
			v.send(to, Letter{Digest: v.digest()})
		}
		return
	}
	all := v.digest()
	for _, id := range slices.Sorted(maps.Keys(v.digests)) {
		if d := v.digests[id]; now-d.at <= v.config.Rules.DigestLife {
			all.Add(d.of)
		}
	}
	t := v.machine.Table()
	if v.made > t.Epoch && now-v.madeAt < v.config.Rules.Patience {
		return // the last change is still on its way
	}
	change, verdicts := v.decider.Look(now, v.config.Wall(), all, t)
	v.verdicts = verdicts
	v.expire(now, t)
	if change == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(change.Zones)) {
		z := change.Zones[name]
		v.config.Logger.Info("zone ordered", "zone", name, "phase", z.Phase.String(), "share", z.Share, "chosen", z.Chosen, "cut", z.Cut,
			"failures", z.Failures, "reason", z.Reason, "epoch", t.Epoch+1, "verdict", verdicts[name].Kind.String())
	}
	if change.Admits {
		v.config.Logger.Info("let in", "classes", change.Admit, "epoch", t.Epoch+1)
	}
	v.made, v.madeAt = t.Epoch+1, now
	v.put(now, commands.Order{Change: change}, now+v.config.Rules.Patience, func(error) {})
}

// expire clears what persons have said once it is over.
func (v *Voter) expire(now time.Duration, t *commands.Table) {
	wall := v.config.Wall()
	for _, name := range slices.Sorted(maps.Keys(t.Words)) {
		if w := t.Words[name]; wall >= w.Until {
			v.put(now, commands.Order{Word: &commands.Word{Zone: name, Do: commands.DoClear}}, now+v.config.Rules.Patience, func(error) {})
		}
	}
}

// digest merges what the processes see that report here.
func (v *Voter) digest() health.Digest {
	out := health.Digest{}
	for _, name := range slices.Sorted(maps.Keys(v.seen)) {
		s := v.seen[name]
		out.Put(s.zone, s.of)
	}
	return out
}

// Report takes in a process's report and answers it.
func (v *Voter) Report(now time.Duration, r follower.Report) (follower.Answer, error) {
	if r.Fleet != v.config.Fleet {
		v.counts.Strangers++
		return follower.Answer{}, fmt.Errorf("fleet: this is %q, not %q", v.config.Fleet, r.Fleet)
	}
	if r.Name == "" || r.Zone == "" {
		v.counts.Strangers++
		return follower.Answer{}, errors.New("name and zone: a report has both")
	}
	v.counts.Reports++
	t := v.machine.Table()
	out := follower.Answer{Incarnation: r.Incarnation, Epoch: t.Epoch}
	verdict, incarnation := v.members.Hear(now, r.Name, r.Zone, r.Incarnation, r.Sequence)
	switch verdict {
	case members.Outdone:
		v.counts.Outdone++
		out.Incarnation = incarnation
		if v.config.Without != "incarnation" {
			return out, nil
		}
		v.seen[r.Name] = sights{r.Zone, r.Sights}
	case members.Late:
		v.counts.Late++
	default:
		v.seen[r.Name] = sights{r.Zone, r.Sights}
	}
	if r.Epoch != t.Epoch {
		table := t.Clone()
		out.Table = &table
	}
	if v.fresh(now) || v.config.Without == "contact" {
		out.Lease = v.config.Rules.Lease
	}
	return out, nil
}

// Next returns what has to be written through next; see agreed.Log.
func (v *Voter) Next() (replicatedlog.Persist, bool) {
	v.advance()
	if v.broken != nil {
		return replicatedlog.Persist{}, false
	}
	return v.log.Next()
}

// Done says that it has been written through.
func (v *Voter) Done(p replicatedlog.Persist) {
	v.log.Persisted(p)
	v.advance()
}

// advance applies what is agreed on and puts the log's messages into letters.
func (v *Voter) advance() {
	if v.broken != nil {
		return
	}
	messages, err := v.log.Advance()
	if err != nil {
		v.broken = err
		return
	}
	v.heard(word{})
	by := map[uint64][][]byte{}
	for _, m := range messages {
		by[uint64(m.To)] = append(by[uint64(m.To)], replicatedlog.EncodeMessage(m))
	}
	for _, to := range slices.Sorted(maps.Keys(by)) {
		v.send(to, Letter{Log: by[to]})
	}
}

// Table is what holds, as far as this voter knows; it is not to be changed.
func (v *Voter) Table() *commands.Table { return v.machine.Table() }

// Verdicts are those of the last decision here; none where this voter does not lead.
func (v *Voter) Verdicts() map[string]failover.Verdict { return v.verdicts }

// Log is the voter's part in the agreement.
func (v *Voter) Log() *replicatedlog.Log { return v.log }

// Members are the processes that report here.
func (v *Voter) Members() []members.Member { return v.members.Alive() }

// Counts returns the totals.
func (v *Voter) Counts() Counts { return v.counts }
