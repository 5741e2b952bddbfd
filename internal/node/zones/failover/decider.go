// Package failover decides for the whole fleet which zones take work and how much: it leaves
// one that fails, eases one that is slow, and returns to one by steps. It runs where the
// agreed log is led, on evidence of many processes, and has no clock and no I/O. What it
// decides holds once the log has taken it.
//
// docs/design/fleet-as-one.md has the machine with every transition.
package failover

import (
	"maps"
	"slices"
	"strings"
	"time"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/health"
)

// Settings are the figures that the decisions go by.
type Settings struct {
	Majority             float64       // of a zone's processes that must see another fail
	MinObserverZones     int           // that must see it
	FailureConfirmTime   time.Duration // for so long
	PartitionConfirmTime time.Duration // and for so long where others reach it
	MaxFailedCapacity    float64       // part of all capacity that may be left
	OverloadSuccessRatio float64       // part of the steps that go well in a zone that is only crowded
	SlowMargin           float64       // part of the steps, over the usual, that is late in a slow one
	SlowConfirmTime      time.Duration // and for so long: a burst makes some late, too
	MaxUtilization       float64       // part of the rest's capacity that may be filled
	OverloadGraceTime    time.Duration // for so long more is asked for, before any is refused for it
	InitialBackoff       time.Duration // before the first try; doubles with each failure
	MaxBackoff           time.Duration
	ProbeProcesses       float64       // processes that try
	InitialShare         float64       // share of the first step; doubles
	ProbeTimeout         time.Duration // after which more try, if too little was seen
	PropagationTime      time.Duration // until an order has reached all in contact and shows
	MinStepTime          time.Duration // a step lasts at least
	MinFailureSteps      float64       // steps that must have ended for a zone to see another fail: the nodes send little to whom they doubt themselves
	MinSteps             float64       // steps that must have ended to judge a return by
	MaxFailureRatio      float64       // part that may go wrong in a step that is earned
	StableTime           time.Duration // in without a failure, after which failures are forgotten
	MinAdmissionChange   float64       // change in what is let in that is worth an order
}

// DefaultSettings are the figures that the program uses.
func DefaultSettings() Settings {
	return Settings{Majority: 0.5, MinObserverZones: 2, FailureConfirmTime: 200 * time.Millisecond, PartitionConfirmTime: 600 * time.Millisecond, MaxFailedCapacity: 0.5, OverloadSuccessRatio: 0.25, SlowMargin: 0.3, SlowConfirmTime: 3 * time.Second,
		MaxUtilization: 0.95, OverloadGraceTime: 4 * time.Second,
		InitialBackoff: 2 * time.Second, MaxBackoff: time.Minute, ProbeProcesses: 3, InitialShare: 1. / 16, ProbeTimeout: 2 * time.Second, PropagationTime: time.Second, MinStepTime: 1500 * time.Millisecond,
		MinFailureSteps: 3, MinSteps: 4, MaxFailureRatio: 0.2, StableTime: 30 * time.Second, MinAdmissionChange: 0.1}
}

// Class is what the decisions must know of a class of operations.
type Class struct {
	Name          string
	Value         float64 // of a slot-second
	NonIdempotent bool    // must not run twice: a booking
}

// zoneHistory is what the decider remembers of a zone's present order.
type zoneHistory struct {
	sinceEpoch uint64
	stateSince time.Duration // when it first met that order
	condition  Condition
	kindSince  time.Duration // since when the verdict has been that kind
}

// Decider decides. A new leader makes a new one: what it has not seen itself counts anew
// from the moment it leads, so that a step of a rise is rather held too long.
type Decider struct {
	settings           Settings
	classes            []Class
	history            map[string]*zoneHistory
	admissionChangedAt time.Duration
	overloadedSince    time.Duration // since when more is asked for than there is room; 0: it is not
}

// New makes a decider.
func New(settings Settings, classes []Class) *Decider {
	return &Decider{settings: settings, classes: classes, history: map[string]*zoneHistory{}}
}

// Decide decides on the evidence and what holds. wall is the time of day, for what persons
// have said: Unix microseconds. The order is nil where all stays as it is.
func (d *Decider) Decide(now time.Duration, wall int64, digest health.Digest, table *commands.Table) (*commands.Change, map[string]Assessment) {
	assessments := d.settings.assessZones(digest, table)
	processes := 0.0
	for _, from := range digest {
		processes += from.Processes
	}
	d.updateHistory(now, assessments, table)
	d.withholdMassFailure(assessments, table)
	change := &commands.Change{ExpectedEpoch: table.Epoch, Zones: map[string]commands.ZoneState{}}
	for _, name := range d.zoneNames(assessments, table) {
		at := table.Zone(name)
		next := d.nextState(now, wall, name, at, assessments[name], table, processes)
		if !sameState(at, next) {
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

func (d *Decider) zoneNames(assessments map[string]Assessment, table *commands.Table) []string {
	names := slices.Collect(maps.Keys(assessments))
	names = slices.AppendSeq(names, maps.Keys(table.Zones))
	names = slices.AppendSeq(names, maps.Keys(table.Overrides))
	slices.Sort(names)
	return slices.Compact(names)
}

func sameState(a, b commands.ZoneState) bool {
	return a.Phase == b.Phase && a.Share == b.Share && a.ProbeFraction == b.ProbeFraction && a.Step == b.Step && a.Failures == b.Failures &&
		slices.Equal(a.UnreachableFrom, b.UnreachableFrom)
}

// updateHistory keeps since when each zone's order and verdict have stood.
func (d *Decider) updateHistory(now time.Duration, assessments map[string]Assessment, table *commands.Table) {
	for _, name := range d.zoneNames(assessments, table) {
		since, kind := table.Zone(name).SinceEpoch, assessments[name].Condition
		history := d.history[name]
		if history == nil {
			history = &zoneHistory{sinceEpoch: since, stateSince: now, condition: kind, kindSince: now}
			d.history[name] = history
		}
		if history.sinceEpoch != since {
			history.sinceEpoch, history.stateSince = since, now
		}
		if history.condition != kind {
			history.condition, history.kindSince = kind, now
		}
	}
}

// withholdMassFailure takes back verdicts where leaving would leave too little: what is out already
// counts, and the zones that look worst by their order among the names come first.
func (d *Decider) withholdMassFailure(assessments map[string]Assessment, table *commands.Table) {
	total, unavailable := 0.0, 0.0
	for name, v := range assessments {
		total += v.Total.Slots
		if p := table.Zone(name).Phase; v.Condition == Failed || p == commands.PhaseEvacuated || p == commands.PhaseProbing {
			unavailable += v.Total.Slots
		}
	}
	if unavailable <= d.settings.MaxFailedCapacity*total {
		return
	}
	for name, v := range assessments {
		if v.Condition == Failed {
			v.Condition = Inconclusive
			assessments[name] = v
		}
	}
}

// nextState is the order that a zone is to have.
func (d *Decider) nextState(now time.Duration, wall int64, name string, state commands.ZoneState, assessment Assessment, table *commands.Table, processes float64) commands.ZoneState {
	history := d.history[name]
	override, overridden := table.Overrides[name]
	overridden = overridden && wall < override.Until
	if overridden {
		switch override.Action {
		case commands.OverrideFreeze:
			return state
		case commands.OverrideEvacuate:
			if state.Phase != commands.PhaseEvacuated || state.Share != 0 {
				return commands.ZoneState{Phase: commands.PhaseEvacuated, Failures: state.Failures, Reason: "by hand: " + override.Reason}
			}
			return state
		case commands.OverrideRestore:
			if state.Phase == commands.PhaseEvacuated || state.Phase == commands.PhaseProbing {
				return commands.ZoneState{Phase: commands.PhaseSlowStart, Share: d.settings.InitialShare, Step: 1, Failures: state.Failures, Reason: "by hand: " + override.Reason}
			}
			if assessment.Condition == Failed {
				assessment.Condition = Unknown // a person has said that it is to come back
			}
		}
	}
	stateAge, conditionAge := now-history.stateSince, now-history.kindSince
	switch state.Phase {
	case commands.PhaseActive, commands.PhaseReduced:
		return d.nextWhileServing(state, assessment, stateAge, conditionAge, processes)
	case commands.PhaseEvacuated:
		if stateAge >= d.probeBackoff(state.Failures) {
			fraction := probeFraction(d.settings.ProbeProcesses, processes)
			return commands.ZoneState{Phase: commands.PhaseProbing, Share: min(1, d.settings.InitialShare/fraction), ProbeFraction: fraction, Failures: state.Failures, Reason: "rested"}
		}
	case commands.PhaseProbing:
		if stateAge >= d.settings.ProbeTimeout && !d.hasEnoughSteps(assessment) && state.ProbeFraction < 1 {
			// Those chosen have had nothing to send there: more are.
			state.ProbeFraction = min(1, 2*state.ProbeFraction)
			state.Share, state.Reason = min(1, d.settings.InitialShare/state.ProbeFraction), "too little was tried"
			return state
		}
		if stateAge >= d.settings.PropagationTime && d.hasEnoughSteps(assessment) {
			if acceptable(assessment, d.settings) {
				return commands.ZoneState{Phase: commands.PhaseSlowStart, Share: d.settings.InitialShare, Step: 1, Failures: state.Failures, Reason: "the tries went well"}
			}
			if assessment.Total.StepCounts.FailureRatio() >= 0.5 {
				return d.evacuate(state, "the tries went wrong")
			}
		}
	case commands.PhaseSlowStart:
		return d.nextWhileSlowStart(state, assessment, stateAge)
	}
	return state
}

func probeFraction(tries, processes float64) float64 {
	if processes <= tries {
		return 1
	}
	return tries / processes
}

func (d *Decider) probeBackoff(failures int) time.Duration {
	return min(d.settings.MaxBackoff, d.settings.InitialBackoff<<min(max(failures-1, 0), 16))
}

// hasEnoughSteps tells whether enough has been seen since the order.
func (d *Decider) hasEnoughSteps(assessment Assessment) bool {
	return assessment.Total.Completed() >= d.settings.MinSteps
}

// acceptable tells whether a step is earned: what was tried has gone well. What was served late
// by cold prep workers is bounded by their part of the share.
func acceptable(assessment Assessment, settings Settings) bool {
	return assessment.Total.StepCounts.FailureRatio() <= settings.MaxFailureRatio
}

func (d *Decider) evacuate(state commands.ZoneState, reason string) commands.ZoneState {
	return commands.ZoneState{Phase: commands.PhaseEvacuated, Failures: state.Failures + 1, Reason: reason}
}

// nextWhileServing is for a zone that takes work.
func (d *Decider) nextWhileServing(state commands.ZoneState, assessment Assessment, stateAge, conditionAge time.Duration, processes float64) commands.ZoneState {
	confirmed := conditionAge >= d.settings.FailureConfirmTime
	switch {
	case assessment.Condition == Failed && confirmed:
		return d.evacuate(state, "it fails, seen from "+strings.Join(assessment.Observers, ", "))
	case assessment.Condition == PartiallyUnreachable && conditionAge >= d.settings.PartitionConfirmTime && !isSubset(assessment.Observers, state.UnreachableFrom):
		state.UnreachableFrom, state.ProbeFraction, state.Reason = union(state.UnreachableFrom, assessment.Observers), probeFraction(d.settings.ProbeProcesses, processes), "cut from "+strings.Join(assessment.Observers, ", ")
		return state
	case len(state.UnreachableFrom) > 0 && stateAge >= d.settings.PropagationTime && intersect(state.UnreachableFrom, assessment.ReachedFrom):
		state.UnreachableFrom = slices.DeleteFunc(slices.Clone(state.UnreachableFrom), func(from string) bool { return slices.Contains(assessment.ReachedFrom, from) })
		if state.Reason = "reached again"; len(state.UnreachableFrom) == 0 {
			state.UnreachableFrom, state.ProbeFraction = nil, 0
		}
		return state
	case assessment.Condition == Slow && conditionAge >= d.settings.SlowConfirmTime && stateAge >= d.settings.PropagationTime:
		if share := roundDownToStep(assessment.SustainableFraction*state.Share, d.settings.InitialShare); share < state.Share {
			state.Phase, state.Share, state.Reason = commands.PhaseReduced, share, "slower than the others"
		}
		return state
	case assessment.Condition == Healthy && confirmed && state.Phase == commands.PhaseReduced && stateAge >= d.settings.MinStepTime && d.hasEnoughSteps(assessment):
		state.Share, state.Reason = min(1, 2*state.Share), "as quick as the others"
		if state.Share == 1 {
			state.Phase = commands.PhaseActive
		}
		return state
	case state.Phase == commands.PhaseActive && state.Failures > 0 && stateAge >= d.settings.StableTime && assessment.Condition != Failed:
		state.Failures, state.Reason = 0, "steady"
	}
	return state
}

func isSubset(a, b []string) bool {
	return !slices.ContainsFunc(a, func(v string) bool { return !slices.Contains(b, v) })
}

func intersect(a, b []string) bool {
	return slices.ContainsFunc(a, func(v string) bool { return slices.Contains(b, v) })
}

func union(a, b []string) []string {
	out := append(slices.Clone(a), b...)
	slices.Sort(out)
	return slices.Compact(out)
}

// roundDownToStep rounds a share down to one that doubling the first gives.
func roundDownToStep(share, first float64) float64 {
	s := first
	for 2*s <= share+1e-9 {
		s *= 2
	}
	return min(s, 1)
}

// nextWhileSlowStart is for a zone that comes back by steps. Each is earned by what was seen in it, and
// is no larger than what its prep workers, still cold, bear together.
func (d *Decider) nextWhileSlowStart(state commands.ZoneState, assessment Assessment, stateAge time.Duration) commands.ZoneState {
	if stateAge < d.settings.PropagationTime || !d.hasEnoughSteps(assessment) {
		return state
	}
	if assessment.Condition == Failed || assessment.Total.StepCounts.FailureRatio() >= 0.5 {
		if state.Share /= 2; state.Share < d.settings.InitialShare {
			return d.evacuate(state, "it failed again")
		}
		state.Step, state.Reason = state.Step-1, "bad news"
		return state
	}
	next := min(1, 2*state.Share)
	if stateAge < d.settings.MinStepTime || !acceptable(assessment, d.settings) || next > max(d.settings.InitialShare, 1-assessment.Total.WarmupDeficit)+1e-9 {
		return state
	}
	state.Share, state.Step, state.Reason = next, state.Step+1, "earned"
	if next == 1 {
		state.Phase, state.Step = commands.PhaseActive, 0
	}
	return state
}
