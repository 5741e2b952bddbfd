// Package failover decides which zones take traffic and how much.
//
// It evacuates a zone that fails, reduces the share of one that is slower than the others, probes an
// evacuated zone after a backoff, and restores its traffic by a slow start. While capacity is short
// it limits the admitted fraction of request classes. The decisions are based on the merged
// observations of many processes (package health); the observations of a single zone never evacuate
// another.
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

// zoneHistory records since when a zone has had its current state and condition.
type zoneHistory struct {
	sinceEpoch     uint64        // epoch that set the state
	stateSince     time.Duration // when this Decider first saw the state
	condition      Condition
	conditionSince time.Duration // when the condition last changed
}

// Decider computes the next changes of the table. A new leader creates a new Decider, whose times
// count from then on, so that a change of leader lengthens a slow start step and never shortens it. It
// is not safe for concurrent use; the replica's goroutine owns it.
type Decider struct {
	settings           Settings
	classes            []Class
	history            map[string]*zoneHistory
	admissionChangedAt time.Duration
	overloadedSince    time.Duration // since when demand has exceeded the available capacity; 0 if it does not
}

// New returns a Decider without history.
func New(settings Settings, classes []Class) *Decider {
	return &Decider{settings: settings, classes: classes, history: map[string]*zoneHistory{}}
}

// Decide returns the change that the observations require, nil if there is none, and the assessments
// of all zones. wall is the wall clock time in Unix microseconds, by which overrides expire.
func (d *Decider) Decide(
	now time.Duration, wall int64, digest health.Digest, table *commands.Table,
) (*commands.Change, map[string]Assessment) {
	assessments := d.settings.assessZones(digest, table)
	processes := 0.0
	for _, from := range digest {
		processes += from.Processes
	}
	d.updateHistory(now, assessments, table)
	d.markMassFailureInconclusive(assessments, table)
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
	if admission, ok := d.decideAdmission(now, assessments, table, &after); ok {
		change.Admission, change.SetsAdmission = admission, true
	}
	if len(change.Zones) == 0 && !change.SetsAdmission {
		return nil, assessments
	}
	return change, assessments
}

// zoneInput holds what the next state of one zone depends on.
type zoneInput struct {
	state        commands.ZoneState
	assessment   Assessment
	override     commands.Override
	hasOverride  bool          // override is set and has not expired
	stateAge     time.Duration // time since this Decider first saw the state
	conditionAge time.Duration // time since the assessed condition last changed
	processes    float64       // number of reporting processes in all zones
}

func (d *Decider) zoneInput(now time.Duration, wall int64, name string, assessment Assessment, table *commands.Table) zoneInput {
	history := d.history[name]
	override, ok := table.Overrides[name]
	return zoneInput{state: table.Zone(name), assessment: assessment, override: override, hasOverride: ok && wall < override.Until,
		stateAge: now - history.stateSince, conditionAge: now - history.conditionSince}
}

// zoneNames returns the names of all zones that are assessed, in the table or overridden, sorted.
func (d *Decider) zoneNames(assessments map[string]Assessment, table *commands.Table) []string {
	names := slices.Collect(maps.Keys(assessments))
	names = slices.AppendSeq(names, maps.Keys(table.Zones))
	names = slices.AppendSeq(names, maps.Keys(table.Overrides))
	slices.Sort(names)
	return slices.Compact(names)
}

// sameState reports whether two states are equal except for Reason and SinceEpoch.
func sameState(a, b commands.ZoneState) bool {
	return a.Phase == b.Phase && a.Share == b.Share && a.ProbeFraction == b.ProbeFraction && a.Step == b.Step && a.Failures == b.Failures &&
		slices.Equal(a.UnreachableFrom, b.UnreachableFrom)
}

// updateHistory records the zones whose state or condition has changed since the last call.
func (d *Decider) updateHistory(now time.Duration, assessments map[string]Assessment, table *commands.Table) {
	for _, name := range d.zoneNames(assessments, table) {
		sinceEpoch, condition := table.Zone(name).SinceEpoch, assessments[name].Condition
		history := d.history[name]
		if history == nil {
			history = &zoneHistory{sinceEpoch: sinceEpoch, stateSince: now, condition: condition, conditionSince: now}
			d.history[name] = history
		}
		if history.sinceEpoch != sinceEpoch {
			history.sinceEpoch, history.stateSince = sinceEpoch, now
		}
		if history.condition != condition {
			history.condition, history.conditionSince = condition, now
		}
	}
}

// markMassFailureInconclusive makes all failures inconclusive if evacuating the failed zones would, with
// those already out of service, put more than MaxFailedCapacity of all slots out of service: so many
// failures at once are more likely a fault of the observers.
func (d *Decider) markMassFailureInconclusive(assessments map[string]Assessment, table *commands.Table) {
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
