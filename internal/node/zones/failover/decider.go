// Package failover decides which zones take traffic and how much.
//
// It evacuates a zone that fails, reduces the share of one that is slower than the others, probes an
// evacuated zone after a backoff, and returns traffic by a slow start. While capacity is missing it
// limits the admitted fraction of each request class. The decisions rest on the merged observations
// of many processes (package health); one zone's opinion alone never evacuates another.
//
// The Decider runs at the leader (package replica). Its changes take effect when the replicated log
// has committed them. The package has no clock and does no I/O. docs/design/fleet-as-one.md lists
// every transition.
package failover

import (
	"maps"
	"slices"
	"time"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/health"
)

// zoneHistory is since when a zone's state and condition have been as they are.
type zoneHistory struct {
	sinceEpoch     uint64
	stateSince     time.Duration // when this decider first saw the state
	condition      Condition
	conditionSince time.Duration // since when the condition has been the same
}

// Decider computes the next changes of the table. A new leader creates a new one: times count from the
// moment it leads, so that a slow start step lasts rather too long than too short. It belongs to the
// replica's goroutine.
type Decider struct {
	settings           Settings
	classes            []Class
	history            map[string]*zoneHistory
	admissionChangedAt time.Duration
	overloadedSince    time.Duration // since when demand has exceeded capacity; 0: it does not
}

// New returns a decider without history.
func New(settings Settings, classes []Class) *Decider {
	return &Decider{settings: settings, classes: classes, history: map[string]*zoneHistory{}}
}

// Decide returns the change that the observations call for, nil where there is none, and the assessments
// of all zones. wall is the time of day in Unix microseconds, by which overrides expire.
func (d *Decider) Decide(
	now time.Duration, wall int64, digest health.Digest, table *commands.Table,
) (*commands.Change, map[string]Assessment) {
	assessments := d.settings.assessZones(digest, table)
	processes := 0.0
	for _, from := range digest {
		processes += from.Processes
	}
	d.updateHistory(now, assessments, table)
	d.withholdMassFailure(assessments, table)
	change := &commands.Change{ExpectedEpoch: table.Epoch, Zones: map[string]commands.ZoneState{}}
	for _, name := range d.zoneNames(assessments, table) {
		in := d.zoneInput(now, wall, name, assessments[name], table)
		in.processes = processes
		if next := d.nextState(in); !sameState(in.state, next) {
			change.Zones[name] = next
		}
	}
	after := table.Clone()
	maps.Copy(after.Zones, change.Zones)
	if admit, ok := d.decideAdmission(now, assessments, table, &after); ok {
		change.Admission, change.SetsAdmission = admit, true
	}
	if len(change.Zones) == 0 && !change.SetsAdmission {
		return nil, assessments
	}
	return change, assessments
}

// zoneInput is what the next state of one zone depends on.
type zoneInput struct {
	state        commands.ZoneState
	assessment   Assessment
	override     commands.Override
	overridden   bool          // the override has not expired
	stateAge     time.Duration // since this decider first saw the state
	conditionAge time.Duration // since the assessed condition last changed
	processes    float64       // that report, over all zones
}

func (d *Decider) zoneInput(now time.Duration, wall int64, name string, assessment Assessment, table *commands.Table) zoneInput {
	history := d.history[name]
	override, ok := table.Overrides[name]
	return zoneInput{state: table.Zone(name), assessment: assessment, override: override, overridden: ok && wall < override.Until,
		stateAge: now - history.stateSince, conditionAge: now - history.conditionSince}
}

// zoneNames returns all zones that are assessed or in the table, sorted.
func (d *Decider) zoneNames(assessments map[string]Assessment, table *commands.Table) []string {
	names := slices.Collect(maps.Keys(assessments))
	names = slices.AppendSeq(names, maps.Keys(table.Zones))
	names = slices.AppendSeq(names, maps.Keys(table.Overrides))
	slices.Sort(names)
	return slices.Compact(names)
}

// sameState reports whether two states differ in nothing but reason and epoch.
func sameState(a, b commands.ZoneState) bool {
	return a.Phase == b.Phase && a.Share == b.Share && a.ProbeFraction == b.ProbeFraction && a.Step == b.Step && a.Failures == b.Failures &&
		slices.Equal(a.UnreachableFrom, b.UnreachableFrom)
}

// updateHistory records since when each zone's state and condition have been as they are.
func (d *Decider) updateHistory(now time.Duration, assessments map[string]Assessment, table *commands.Table) {
	for _, name := range d.zoneNames(assessments, table) {
		since, kind := table.Zone(name).SinceEpoch, assessments[name].Condition
		history := d.history[name]
		if history == nil {
			history = &zoneHistory{sinceEpoch: since, stateSince: now, condition: kind, conditionSince: now}
			d.history[name] = history
		}
		if history.sinceEpoch != since {
			history.sinceEpoch, history.stateSince = since, now
		}
		if history.condition != kind {
			history.condition, history.conditionSince = kind, now
		}
	}
}

// withholdMassFailure makes all failures inconclusive where evacuating them would take more than
// MaxFailedCapacity out of service, together with the zones evacuated already: so many failures at once
// are more likely a fault of the observers.
func (d *Decider) withholdMassFailure(assessments map[string]Assessment, table *commands.Table) {
	total, unavailable := 0.0, 0.0
	for name, assessment := range assessments {
		total += assessment.Total.Slots
		if assessment.Condition == Failed || !table.Zone(name).Phase.Serves() {
			unavailable += assessment.Total.Slots
		}
	}
	if unavailable <= d.settings.MaxFailedCapacity*total {
		return
	}
	for name, assessment := range assessments {
		if assessment.Condition == Failed {
			assessment.Condition = Inconclusive
			assessments[name] = assessment
		}
	}
}
