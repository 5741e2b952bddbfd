// Package follower applies the committed zone table in each process.
//
// While a process holds a lease from the voters it obeys the table; without one it adjusts the zones'
// shares by its own observations. A lease counts from the moment the report was sent, so that the
// voters know when it has ended. Package agent drives a Follower on a node's event loop and carries
// its reports. The package has no clock and does no I/O.
package follower

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/health"
)

// Settings are the times and thresholds of a follower.
type Settings struct {
	ReportInterval  time.Duration // mean time between reports
	Jitter          float64       // fraction by which times vary at random
	StartupWait     time.Duration // how long a new process waits for its first table
	InitialShare    float64       // share that a process without a table begins with in each zone
	ResponseTimeout time.Duration // without a response, after which the process adjusts shares by itself
	AdjustInterval  time.Duration // shortest time between raises of a share without a lease; lowering takes half of it
	RetryDelay      time.Duration // without a lease: how long nothing is sent to a zone whose share fell to 0
	MinSteps        float64       // completed steps to adjust a share by
	MaxFailureRatio float64       // failure ratio up to which a share grows
	MinShare        float64       // share below which that of a failing zone becomes 0
}

// DefaultSettings returns the settings that the program uses.
func DefaultSettings() Settings {
	return Settings{
		ReportInterval:  200 * time.Millisecond,
		Jitter:          0.25,
		StartupWait:     2 * time.Second,
		ResponseTimeout: 600 * time.Millisecond,
		InitialShare:    1. / 16,
		AdjustInterval:  time.Second,
		RetryDelay:      4 * time.Second,
		MinSteps:        4,
		MaxFailureRatio: 0.2,
		MinShare:        1. / 64,
	}
}

// checkEpoch names a check for Follower.DisabledCheck: a response with an older epoch is rejected.
const checkEpoch = "epoch"

// Report is the heartbeat that a process sends to a voter.
type Report struct {
	Fleet        string              `cbor:"1,keyasint"`
	Name         string              `cbor:"2,keyasint"`
	Zone         string              `cbor:"3,keyasint"`
	Incarnation  uint64              `cbor:"4,keyasint"`
	Sequence     uint64              `cbor:"5,keyasint"`
	Epoch        uint64              `cbor:"6,keyasint"` // of the table that the process holds
	Observations health.Observations `cbor:"7,keyasint,omitempty"`
}

// Response is a voter's response to a report.
type Response struct {
	Incarnation uint64          `cbor:"1,keyasint"`           // known to the voter; if above the process's own, the process must take a higher one
	Epoch       uint64          `cbor:"2,keyasint"`           // of the voter's table
	Table       *commands.Table `cbor:"3,keyasint,omitempty"` // set where the process's epoch differs
	Lease       time.Duration   `cbor:"4,keyasint"`           // how long the table may be obeyed, from the sending of the report; 0: the voter is not up to date with a leader
}

// autonomousShare is the share that a process without a lease gives a zone.
type autonomousShare struct {
	share      float64
	changedAt  time.Duration // when share last changed
	retryAfter time.Duration // drawn at random when share became 0
}

// Follower holds the table and lease of one process. It belongs to one goroutine.
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
	leaseUntil     time.Duration // end of the lease
	leaseGrantedAt time.Duration // time of the last response that granted a lease
	autonomous     bool
	shares         map[string]*autonomousShare
	monitor        *health.Monitor
	classes        int
	staleResponses uint64 // responses with a table older than the present one
	DisabledCheck  string // a check to skip, for tests that show why it is needed
}

// New returns the follower of a process started at now. incarnation must be above that of the
// process's last start; the time of day in microseconds will do, as the voters raise it where a clock
// went back. classes is the number of request classes.
func New(now time.Duration, settings Settings, fleet, name, zone string, incarnation uint64, classes int, rng *rand.Rand) *Follower {
	return &Follower{settings: settings, fleet: fleet, name: name, zone: zone, rng: rng, incarnation: incarnation, startedAt: now,
		classes: classes, shares: map[string]*autonomousShare{}, monitor: health.New(now, classes)}
}

// Monitor returns the monitor that records the ends of the process's steps.
func (f *Follower) Monitor() *health.Monitor { return f.monitor }

// Report returns the next report, and the time until the one after.
func (f *Follower) Report(now time.Duration) (r Report, next time.Duration) {
	f.sequence++
	wait := float64(f.settings.ReportInterval) * (1 + f.settings.Jitter*(2*f.rng.Float64()-1))
	return Report{Fleet: f.fleet, Name: f.name, Zone: f.zone, Incarnation: f.incarnation, Sequence: f.sequence, Epoch: f.table.Epoch,
		Observations: f.monitor.Observations(now)}, time.Duration(wait)
}

// HandleResponse applies a voter's response to the report that was sent at the given time, and reports
// whether it granted a lease. A response with an epoch older than the table's is rejected together
// with its lease, so that the table never goes back.
func (f *Follower) HandleResponse(now, sent time.Duration, response Response) bool {
	if response.Incarnation > f.incarnation {
		f.incarnation, f.sequence = response.Incarnation+1, 0
	}
	if response.Epoch < f.table.Epoch && f.DisabledCheck != checkEpoch {
		f.staleResponses++
		return false
	}
	if response.Lease <= 0 {
		return false
	}
	if response.Table != nil && response.Table.Epoch != f.table.Epoch {
		f.applyTable(now, response.Table.Clone())
	} else if response.Epoch > f.table.Epoch {
		return false // the voter has a newer table but did not send it: a lease for the old one is void
	}
	until := sent + response.Lease
	if until <= now {
		return false
	}
	f.leaseUntil, f.hasTable, f.autonomous, f.leaseGrantedAt = max(f.leaseUntil, until), true, false, now
	return true
}

// applyTable replaces the table. Observations of a zone whose share changes are reset: they were made
// under another load.
func (f *Follower) applyTable(now time.Duration, table commands.Table) {
	shares := map[string]float64{}
	for zone := range table.Zones {
		shares[zone] = f.assignedShare(zone)
	}
	f.table = table
	for zone, shareBefore := range shares {
		if f.assignedShare(zone) != shareBefore {
			f.monitor.Reset(now, zone)
		}
	}
}

// ResetAfterStall discards all observations after the process was paused: it saw no step end, and its
// time-outs say nothing about the zones.
func (f *Follower) ResetAfterStall(now time.Duration) { f.monitor = health.New(now, f.classes) }

// Ready reports whether the process may accept requests: it has a table, or has waited StartupWait for
// one.
func (f *Follower) Ready(now time.Duration) bool {
	return f.hasTable || now-f.startedAt >= f.settings.StartupWait
}

// HasLease reports whether the lease has not ended.
func (f *Follower) HasLease(now time.Duration) bool { return f.hasTable && now < f.leaseUntil }

// Epoch returns the epoch of the present table.
func (f *Follower) Epoch() uint64 { return f.table.Epoch }

// Table returns the present table. The caller must not modify it.
func (f *Follower) Table() *commands.Table { return &f.table }

// StaleResponses returns the number of responses rejected for an older epoch.
func (f *Follower) StaleResponses() uint64 { return f.staleResponses }

// AdmittedFraction returns the fraction of a class to admit; 1 without a lease.
func (f *Follower) AdmittedFraction(now time.Duration, class string) float64 {
	if v, ok := f.table.Admission[class]; ok && f.HasLease(now) {
		return v
	}
	return 1
}

// Shares returns the share of each zone, scaled so that the largest is 1: where all zones are doubted
// alike, none is.
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
			// The lease has not ended, but this process may be the one that is partitioned.
			out[zone] = min(f.assignedShare(zone), f.shares[zone].share)
		default:
			out[zone] = f.assignedShare(zone)
		}
	}
	largest := 0.0
	for _, share := range out {
		largest = max(largest, share)
	}
	for zone, share := range out {
		if largest > 0 {
			out[zone] = share / largest
		} else {
			out[zone] = 1
		}
	}
	return out
}

// assignedShare returns the share that the table assigns this process in a zone.
func (f *Follower) assignedShare(zone string) float64 {
	state := f.table.Zone(zone)
	if slices.Contains(state.UnreachableFrom, f.zone) {
		if f.selectedToProbe(zone, state) {
			return f.settings.InitialShare
		}
		return 0
	}
	switch state.Phase {
	case commands.PhaseEvacuated:
		return 0
	case commands.PhaseProbing:
		if !f.selectedToProbe(zone, state) {
			return 0
		}
	}
	return state.Share
}

// selectedToProbe reports whether this process is one of the few that probe a zone. Each process
// decides alone by a hash of its name; each new state of the zone selects others.
func (f *Follower) selectedToProbe(zone string, state commands.ZoneState) bool {
	hash := fnv.New64a()
	for _, part := range []string{f.name, "\x00", zone, "\x00"} {
		_, _ = hash.Write([]byte(part))
	}
	x := splitmix64(hash.Sum64() ^ splitmix64(state.SinceEpoch))
	return float64(x>>11)/(1<<53) < state.ProbeFraction
}

// splitmix64 is the finalizer of the splitmix64 generator.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// adjustAutonomously adjusts the shares without the voters. It starts from the assigned shares, cuts
// that of a failing zone to a quarter, doubles that of a healthy one, and probes a zone at 0 after
// RetryDelay. A share never grows more than twofold at a time.
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

// adjustShare adjusts one zone's share by the steps completed since its last change.
func (f *Follower) adjustShare(now time.Duration, zone string, share *autonomousShare) {
	if share.share == 0 {
		if now-share.changedAt >= share.retryAfter {
			share.share, share.changedAt = f.settings.InitialShare, now
			f.monitor.Reset(now, zone)
		}
		return
	}
	observed := f.monitor.Observe(now, zone)
	if now-share.changedAt < f.settings.AdjustInterval/2 || observed.Completed() < f.settings.MinSteps {
		return
	}
	switch failureRatio := observed.FailureRatio(); {
	case observed.FailingObservers > 0:
		if share.share /= 4; share.share < f.settings.MinShare {
			share.share, share.retryAfter = 0, f.jitter(f.settings.RetryDelay)
		}
	case failureRatio <= f.settings.MaxFailureRatio && share.share < 1 && now-share.changedAt >= f.settings.AdjustInterval:
		share.share = min(1, 2*share.share)
	default:
		return
	}
	share.changedAt = now
	f.monitor.Reset(now, zone)
}

// jitter varies a duration at random, so that processes do not act in step.
func (f *Follower) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + f.settings.Jitter*(2*f.rng.Float64()-1)))
}
