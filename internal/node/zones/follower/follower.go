// Package follower applies the committed zone table in each process.
//
// While a process holds a lease from the voters it takes the zones' shares from the table; without one
// it adjusts the shares by its own observations. The duration of a lease counts from the sending of the
// report, so that the voters know when it has ended. Package agent drives a Follower on a node's event
// loop and sends its reports. The package has no clock and does no I/O.
package follower

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/health"
)

// Settings are the durations and thresholds of a Follower.
type Settings struct {
	ReportInterval  time.Duration // mean time between reports
	Jitter          float64       // fraction by which durations vary at random
	StartupWait     time.Duration // how long a new process waits for its first table before it accepts requests
	InitialShare    float64       // share that a process without a table gives each zone at first, and the share of probes
	ResponseTimeout time.Duration // time without a lease being granted after which the process also adjusts shares by its own observations
	AdjustInterval  time.Duration // shortest time from one adjustment of a share to a raise; a reduction may follow after half of it
	RetryDelay      time.Duration // how long nothing is sent to a zone whose adjusted share fell to 0
	MinSteps        float64       // completed steps needed to adjust a share
	MaxFailureRatio float64       // failure ratio up to which a share is raised
	MinShare        float64       // smallest adjusted share of a failing zone; below it the share becomes 0
}

// DefaultSettings returns the settings that the program runs with.
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

// checkEpoch is the value of Follower.DisabledCheck that accepts responses with an older epoch.
const checkEpoch = "epoch"

// Report is the heartbeat that a process sends to a voter.
type Report struct {
	Fleet        string              `cbor:"1,keyasint"`
	Name         string              `cbor:"2,keyasint"`
	Zone         string              `cbor:"3,keyasint"`
	Incarnation  uint64              `cbor:"4,keyasint"`
	Sequence     uint64              `cbor:"5,keyasint"` // numbers the reports of an incarnation from 1
	Epoch        uint64              `cbor:"6,keyasint"` // of the table that the process holds
	Observations health.Observations `cbor:"7,keyasint,omitempty"`
}

// Response is the response of a voter to a report.
type Response struct {
	Incarnation uint64          `cbor:"1,keyasint"`           // highest incarnation that the voter knows of the process; if it is above that of the report, the process must take a higher one
	Epoch       uint64          `cbor:"2,keyasint"`           // of the voter's table
	Table       *commands.Table `cbor:"3,keyasint,omitempty"` // set if the process's epoch differs
	Lease       time.Duration   `cbor:"4,keyasint"`           // how long the table is valid, counted from the sending of the report; 0 if the voter is not up to date with a leader
}

// autonomousShare is the share of a zone that a process adjusts by its own observations.
type autonomousShare struct {
	share      float64
	changedAt  time.Duration // when share last changed
	retryAfter time.Duration // jittered RetryDelay: after it a zone whose share is 0 is probed
}

// Follower holds the table and the lease of one process. It is not safe for concurrent use.
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
	autonomous     bool          // shares are adjusted by the process's own observations
	shares         map[string]*autonomousShare
	monitor        *health.Monitor
	classCount     int
	staleResponses uint64 // number of responses rejected for an older epoch
	DisabledCheck  string // check to skip, for tests that show why it is needed
}

// New returns the Follower of a process started at now. incarnation must be above that of the
// process's previous start. The wall clock time in microseconds is sufficient: if the clock went back,
// a voter's response raises the incarnation. classes is the number of request classes.
func New(now time.Duration, settings Settings, fleet, name, zone string, incarnation uint64, classes int, rng *rand.Rand) *Follower {
	return &Follower{settings: settings, fleet: fleet, name: name, zone: zone, rng: rng, incarnation: incarnation, startedAt: now,
		classCount: classes, shares: map[string]*autonomousShare{}, monitor: health.New(now, classes)}
}

// Monitor returns the monitor that records the outcomes of the process's route steps.
func (f *Follower) Monitor() *health.Monitor { return f.monitor }

// Report returns the next report and the time until the one after it.
func (f *Follower) Report(now time.Duration) (r Report, next time.Duration) {
	f.sequence++
	interval := float64(f.settings.ReportInterval) * (1 + f.settings.Jitter*(2*f.rng.Float64()-1))
	return Report{Fleet: f.fleet, Name: f.name, Zone: f.zone, Incarnation: f.incarnation, Sequence: f.sequence, Epoch: f.table.Epoch,
		Observations: f.monitor.Observations(now)}, time.Duration(interval)
}

// HandleResponse applies a voter's response to the report that was sent at sentAt, and reports whether
// it granted a lease. A response with an epoch older than that of the table is rejected together with
// its lease, so that the process never returns to an older table.
func (f *Follower) HandleResponse(now, sentAt time.Duration, response Response) bool {
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
		return false // the voter has a newer table but did not send it, so its lease does not cover the present one
	}
	until := sentAt + response.Lease
	if until <= now {
		return false
	}
	f.leaseUntil, f.hasTable, f.autonomous, f.leaseGrantedAt = max(f.leaseUntil, until), true, false, now
	return true
}

// applyTable replaces the table. It resets the observations of zones whose share changes, because they
// were made under another load.
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

// ResetAfterStall discards all observations after the process was paused: it could not see steps end,
// so its time-outs say nothing about the zones.
func (f *Follower) ResetAfterStall(now time.Duration) { f.monitor = health.New(now, f.classCount) }

// Ready reports whether the process may accept requests: it has a table, or has waited for StartupWait.
func (f *Follower) Ready(now time.Duration) bool {
	return f.hasTable || now-f.startedAt >= f.settings.StartupWait
}

// HasLease reports whether the process holds a lease at now.
func (f *Follower) HasLease(now time.Duration) bool { return f.hasTable && now < f.leaseUntil }

// Epoch returns the epoch of the present table.
func (f *Follower) Epoch() uint64 { return f.table.Epoch }

// Table returns the present table. The caller must not modify it.
func (f *Follower) Table() *commands.Table { return &f.table }

// StaleResponses returns the number of responses rejected because of an older epoch.
func (f *Follower) StaleResponses() uint64 { return f.staleResponses }

// AdmittedFraction returns the fraction of a class's requests to admit; 1 without a lease.
func (f *Follower) AdmittedFraction(now time.Duration, class string) float64 {
	if fraction, ok := f.table.Admission[class]; ok && f.HasLease(now) {
		return fraction
	}
	return 1
}

// Shares returns the share of each zone, scaled so that the largest is 1; if all are 0, each becomes 1.
func (f *Follower) Shares(now time.Duration, zones []string) map[string]float64 {
	out := make(map[string]float64, len(zones))
	leased, votersSilent := f.HasLease(now), !f.hasTable || now-f.leaseGrantedAt > f.settings.ResponseTimeout
	if votersSilent {
		f.adjustAutonomously(now, zones)
	}
	for _, zone := range zones {
		switch {
		case !leased:
			out[zone] = f.shares[zone].share
		case votersSilent:
			// The lease has not ended, but this process may be partitioned from the voters: the lower share is used.
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

// assignedShare returns the share of a zone that the table assigns to this process.
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
// decides by a hash of its name, the zone and the epoch of the zone's state, so that no coordination
// is needed and each new state selects other processes.
func (f *Follower) selectedToProbe(zone string, state commands.ZoneState) bool {
	hash := fnv.New64a()
	for _, part := range []string{f.name, "\x00", zone, "\x00"} {
		_, _ = hash.Write([]byte(part))
	}
	x := splitmix64(hash.Sum64() ^ splitmix64(state.SinceEpoch))
	return float64(x>>11)/(1<<53) < state.ProbeFraction
}

// splitmix64 advances the splitmix64 generator by one step and returns its output.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// adjustAutonomously adjusts the shares by the process's own observations while no lease is granted. It
// starts from the assigned shares, reduces that of a failing zone to a quarter and doubles that of a
// healthy one, so that a share above 0 grows at most twofold at a time. A zone with share 0 is probed
// after RetryDelay.
func (f *Follower) adjustAutonomously(now time.Duration, zones []string) {
	entering := !f.autonomous
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
			share.retryAfter = f.withJitter(f.settings.RetryDelay)
			continue
		}
		if entering {
			share.share, share.changedAt, share.retryAfter = f.assignedShare(zone), now, f.withJitter(f.settings.RetryDelay)
			continue
		}
		f.adjustShare(now, zone, share)
	}
}

// adjustShare adjusts the share of one zone by the route steps completed since its last change.
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
			share.share, share.retryAfter = 0, f.withJitter(f.settings.RetryDelay)
		}
	case failureRatio <= f.settings.MaxFailureRatio && share.share < 1 && now-share.changedAt >= f.settings.AdjustInterval:
		share.share = min(1, 2*share.share)
	default:
		return
	}
	share.changedAt = now
	f.monitor.Reset(now, zone)
}

// withJitter varies a duration at random, so that processes do not act at the same time.
func (f *Follower) withJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + f.settings.Jitter*(2*f.rng.Float64()-1)))
}
