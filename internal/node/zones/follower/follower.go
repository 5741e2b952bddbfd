// Package follower is what each process of the fleet does with the orders: what share of
// its work it gives each zone while it hears the voters, and what it does by itself while
// it hears nobody. It has no clock and no I/O.
package follower

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/health"
)

// Settings are the figures that a process goes by.
type Settings struct {
	ReportInterval  time.Duration // from one report to the next, on average
	Jitter          float64       // part by which that differs at random
	StartupWait     time.Duration // a new process waits for its first orders for so long
	InitialShare    float64       // share of a zone that a process begins with by itself
	ResponseTimeout time.Duration // without an answer, after which it looks after itself
	AdjustInterval  time.Duration // by itself, it raises a zone's share no more often, and lowers it twice as often
	RetryDelay      time.Duration // by itself, it sends nothing for so long to a zone that it has left
	MinSteps        float64       // steps that must have ended to judge by
	MaxFailureRatio float64       // part of them that may go wrong where the share is to grow
	MinShare        float64       // share at which a zone that keeps failing is left
}

// DefaultSettings are the figures that the program uses.
func DefaultSettings() Settings {
	return Settings{ReportInterval: 200 * time.Millisecond, Jitter: 0.25, StartupWait: 2 * time.Second, ResponseTimeout: 600 * time.Millisecond, InitialShare: 1. / 16, AdjustInterval: time.Second,
		RetryDelay: 4 * time.Second, MinSteps: 4, MaxFailureRatio: 0.2, MinShare: 1. / 64}
}

// Report is what a process tells a voter.
type Report struct {
	Fleet        string              `cbor:"1,keyasint"`
	Name         string              `cbor:"2,keyasint"`
	Zone         string              `cbor:"3,keyasint"`
	Incarnation  uint64              `cbor:"4,keyasint"`
	Sequence     uint64              `cbor:"5,keyasint"`
	Epoch        uint64              `cbor:"6,keyasint"` // of the orders that it holds
	Observations health.Observations `cbor:"7,keyasint,omitempty"`
}

// Response is what the voter answers.
type Response struct {
	Incarnation uint64          `cbor:"1,keyasint"`           // that the voter knows of; above the process's own: it must take a higher one
	Epoch       uint64          `cbor:"2,keyasint"`           // that holds, as far as the voter knows
	Table       *commands.Table `cbor:"3,keyasint,omitempty"` // where the process's is older
	Lease       time.Duration   `cbor:"4,keyasint"`           // for which the orders hold, from the report's sending on; 0: the voter has no leader
}

// autonomousShare is what a process makes of a zone by itself.
type autonomousShare struct {
	share      float64
	changedAt  time.Duration // of the last change
	retryAfter time.Duration // drawn when the zone was left
}

// Follower is one process's part.
type Follower struct {
	settings       Settings
	fleet          string
	name, zone     string
	rng            *rand.Rand
	incarnation    uint64
	sequence       uint64
	startedAt      time.Duration
	table          commands.Table
	hasTable       bool
	leaseUntil     time.Duration // until when the orders hold
	leaseGrantedAt time.Duration // the last answer that granted one
	autonomous     bool
	shares         map[string]*autonomousShare
	monitor        *health.Monitor
	classes        int
	staleResponses uint64 // answers with orders older than the ones held
	DisabledCheck  string // a check left out, for the tests that show what it is for
}

// New makes a process's part. incarnation has to be above that of its last start; the
// time of day in microseconds will do, and the voters raise it where a clock went back.
func New(now time.Duration, settings Settings, fleet, name, zone string, incarnation uint64, classes int, rng *rand.Rand) *Follower {
	return &Follower{settings: settings, fleet: fleet, name: name, zone: zone, rng: rng, incarnation: incarnation, startedAt: now,
		classes: classes, shares: map[string]*autonomousShare{}, monitor: health.New(now, classes)}
}

// Monitor is where the process notes what it sees.
func (f *Follower) Monitor() *health.Monitor { return f.monitor }

// Report makes the next report, and tells when to make the one after.
func (f *Follower) Report(now time.Duration) (r Report, next time.Duration) {
	f.sequence++
	wait := float64(f.settings.ReportInterval) * (1 + f.settings.Jitter*(2*f.rng.Float64()-1))
	return Report{Fleet: f.fleet, Name: f.name, Zone: f.zone, Incarnation: f.incarnation, Sequence: f.sequence, Epoch: f.table.Epoch,
		Observations: f.monitor.Observations(now)}, time.Duration(wait)
}

// HandleResponse takes in a voter's answer to the report sent at a time. Orders older than those
// held are refused, and with them the lease. It tells whether anything has changed.
func (f *Follower) HandleResponse(now, sent time.Duration, response Response) bool {
	if response.Incarnation > f.incarnation {
		f.incarnation, f.sequence = response.Incarnation+1, 0
	}
	if response.Epoch < f.table.Epoch && f.DisabledCheck != "epoch" {
		f.staleResponses++
		return false
	}
	if response.Lease <= 0 {
		return false
	}
	if response.Table != nil && response.Table.Epoch != f.table.Epoch {
		f.applyTable(now, response.Table.Clone())
	} else if response.Epoch > f.table.Epoch {
		return false // it knows of newer orders and has not sent them: nothing to hold to
	}
	until := sent + response.Lease
	if until <= now {
		return false
	}
	f.leaseUntil, f.hasTable, f.autonomous, f.leaseGrantedAt = max(f.leaseUntil, until), true, false, now
	return true
}

// applyTable takes up new orders. What was seen of a zone under another share says nothing of the
// new one; where the share here stays, it does.
func (f *Follower) applyTable(now time.Duration, t commands.Table) {
	before := map[string]float64{}
	for zone := range t.Zones {
		before[zone] = f.assignedShare(zone)
	}
	f.table = t
	for zone, was := range before {
		if f.assignedShare(zone) != was {
			f.monitor.Reset(now, zone)
		}
	}
}

// ResetAfterStall forgets all that was seen: a process that was frozen saw nothing end, and knows
// nothing of what has become of the others meanwhile.
func (f *Follower) ResetAfterStall(now time.Duration) { f.monitor = health.New(now, f.classes) }

// Ready tells whether the process may take work: it knows what holds, or has waited for
// that long enough.
func (f *Follower) Ready(now time.Duration) bool {
	return f.hasTable || now-f.startedAt >= f.settings.StartupWait
}

// HasLease tells whether the orders hold; else the process goes by itself.
func (f *Follower) HasLease(now time.Duration) bool { return f.hasTable && now < f.leaseUntil }

// Epoch is that of the orders held.
func (f *Follower) Epoch() uint64 { return f.table.Epoch }

// Table is the orders held; it is not to be changed.
func (f *Follower) Table() *commands.Table { return &f.table }

// StaleResponses counts answers with older orders.
func (f *Follower) StaleResponses() uint64 { return f.staleResponses }

// AdmittedFraction is the part of a class that is let in. A process by itself lets all in.
func (f *Follower) AdmittedFraction(now time.Duration, class string) float64 {
	if v, ok := f.table.Admission[class]; ok && f.HasLease(now) {
		return v
	}
	return 1
}

// Shares gives each zone's part, by the zones' names: 1 for at least one of them, so that
// where all are doubted alike none is.
func (f *Follower) Shares(now time.Duration, zones []string) map[string]float64 {
	out := make(map[string]float64, len(zones))
	leased, silent := f.HasLease(now), !f.hasTable || now-f.leaseGrantedAt > f.settings.ResponseTimeout
	if silent {
		f.adjustAutonomously(now, zones)
	}
	for _, zone := range zones {
		switch {
		case !leased:
			out[zone] = f.shares[zone].share
		case silent:
			// The orders still hold, but it may be this process that is cut off.
			out[zone] = min(f.assignedShare(zone), f.shares[zone].share)
		default:
			out[zone] = f.assignedShare(zone)
		}
	}
	largest := 0.0
	for _, v := range out {
		largest = max(largest, v)
	}
	for zone, v := range out {
		if largest > 0 {
			out[zone] = v / largest
		} else {
			out[zone] = 1
		}
	}
	return out
}

// assignedShare is a zone's share by the orders.
func (f *Follower) assignedShare(zone string) float64 {
	z := f.table.Zone(zone)
	if slices.Contains(z.UnreachableFrom, f.zone) {
		if f.selectedToProbe(zone, z) {
			return f.settings.InitialShare
		}
		return 0
	}
	switch z.Phase {
	case commands.PhaseEvacuated:
		return 0
	case commands.PhaseProbing:
		if !f.selectedToProbe(zone, z) {
			return 0
		}
	}
	return z.Share
}

// selectedToProbe tells whether this process is one of the few that try a zone: each can tell by
// itself, and at each order others are.
func (f *Follower) selectedToProbe(zone string, z commands.ZoneState) bool {
	h := fnv.New64a()
	for _, s := range []string{f.name, "\x00", zone, "\x00"} {
		_, _ = h.Write([]byte(s))
	}
	x := splitmix64(h.Sum64() ^ splitmix64(z.SinceEpoch))
	return float64(x>>11)/(1<<53) < z.ProbeFraction
}

// splitmix64 is the finalizer of splitmix64.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// adjustAutonomously is the rule for a process that hears nobody: it goes on from the shares that
// it last had, cuts that of a zone where most goes wrong to a quarter, doubles that of one where it
// goes well, and tries one that it has left after a rest. Never does a share grow more
// than twofold at a time, whatever the zone's order was.
func (f *Follower) adjustAutonomously(now time.Duration, zones []string) {
	began := !f.autonomous
	f.autonomous = true
	for _, zone := range zones {
		share := f.shares[zone]
		if share == nil {
			share = &autonomousShare{changedAt: now}
			f.shares[zone] = share
			share.share = f.settings.InitialShare
			if f.hasTable {
				share.share = f.assignedShare(zone)
			}
			share.retryAfter = f.jitter(f.settings.RetryDelay)
			continue
		}
		if began {
			share.share, share.changedAt, share.retryAfter = f.assignedShare(zone), now, f.jitter(f.settings.RetryDelay)
			continue
		}
		f.adjustShare(now, zone, share)
	}
}

func (f *Follower) adjustShare(now time.Duration, zone string, share *autonomousShare) {
	if share.share == 0 {
		if now-share.changedAt >= share.retryAfter {
			share.share, share.changedAt = f.settings.InitialShare, now
			f.monitor.Reset(now, zone)
		}
		return
	}
	s := f.monitor.Observe(now, zone)
	if now-share.changedAt < f.settings.AdjustInterval/2 || s.Completed() < f.settings.MinSteps {
		return
	}
	switch bad := s.StepCounts.FailureRatio(); {
	case s.FailingObservers > 0:
		if share.share /= 4; share.share < f.settings.MinShare {
			share.share, share.retryAfter = 0, f.jitter(f.settings.RetryDelay)
		}
	case bad <= f.settings.MaxFailureRatio && share.share < 1 && now-share.changedAt >= f.settings.AdjustInterval:
		share.share = min(1, 2*share.share)
	default:
		return
	}
	share.changedAt = now
	f.monitor.Reset(now, zone)
}

// jitter varies a span at random, so that processes do not act in step.
func (f *Follower) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + f.settings.Jitter*(2*f.rng.Float64()-1)))
}
