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
	"strings"
	"time"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/health"
)

const (
	failedRatio         = 0.5  // failure ratio from which probes and slow start steps count as failed
	maxBackoffDoublings = 16   // keeps the shift of the backoff in range; MaxBackoff ends it earlier
	shareTolerance      = 1e-9 // rounding error of shares
)

// Settings are the thresholds and times of the decisions.
type Settings struct {
	Majority             float64       // fraction of a zone's processes that must see another zone fail
	MinObserverZones     int           // zones that must see it
	FailureConfirmTime   time.Duration // how long a zone must look failed before it is evacuated
	PartitionConfirmTime time.Duration // how long it must be unreachable from some zones alone
	MaxFailedCapacity    float64       // fraction of all slots that may be evacuated; beyond it no further zone is
	OverloadSuccessRatio float64       // fraction of steps that succeed in a zone that is only overloaded
	SlowMargin           float64       // late ratio above the median from which a zone counts as slow
	SlowConfirmTime      time.Duration // how long it must be slow: a burst makes steps late, too
	MaxUtilization       float64       // fraction of the available capacity that admission fills
	OverloadGraceTime    time.Duration // how long demand must exceed capacity before requests are rejected
	InitialBackoff       time.Duration // before the first probe; doubles with each failure
	MaxBackoff           time.Duration
	ProbeProcesses       float64       // processes that probe an evacuated zone
	InitialShare         float64       // share of the first slow start step; doubles with each
	ProbeTimeout         time.Duration // after which more processes probe, if too few steps were seen
	PropagationTime      time.Duration // until a change has reached all connected processes and shows in the observations
	MinStepTime          time.Duration // shortest duration of a slow start step
	MinFailureSteps      float64       // completed steps for a zone to see another fail: processes send little to a zone that they doubt
	MinSteps             float64       // completed steps to judge a probe or a slow start step by
	MaxFailureRatio      float64       // failure ratio up to which a step counts as successful
	StableTime           time.Duration // active without a failure, after which the failure count is reset
	MinAdmissionChange   float64       // smallest change of an admitted fraction that is committed
}

// DefaultSettings returns the settings that the program uses.
func DefaultSettings() Settings {
	return Settings{
		Majority:             0.5,
		MinObserverZones:     2,
		FailureConfirmTime:   200 * time.Millisecond,
		PartitionConfirmTime: 600 * time.Millisecond,
		MaxFailedCapacity:    0.5,
		OverloadSuccessRatio: 0.25,
		SlowMargin:           0.3,
		SlowConfirmTime:      3 * time.Second,
		MaxUtilization:       0.95,
		OverloadGraceTime:    4 * time.Second,
		InitialBackoff:       2 * time.Second,
		MaxBackoff:           time.Minute,
		ProbeProcesses:       3,
		InitialShare:         1. / 16,
		ProbeTimeout:         2 * time.Second,
		PropagationTime:      time.Second,
		MinStepTime:          1500 * time.Millisecond,
		MinFailureSteps:      3,
		MinSteps:             4,
		MaxFailureRatio:      0.2,
		StableTime:           30 * time.Second,
		MinAdmissionChange:   0.1,
	}
}

// Class describes a class of requests.
type Class struct {
	Name          string
	Value         float64 // per slot-second
	NonIdempotent bool    // must not run twice, as a booking
}

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
		phase := table.Zone(name).Phase
		if assessment.Condition == Failed || phase == commands.PhaseEvacuated || phase == commands.PhaseProbing {
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

// nextState returns the state that a zone is to have: an operator's override first, else the state machine's next.
func (d *Decider) nextState(in zoneInput) commands.ZoneState {
	if in.overridden {
		state, decided := d.overriddenState(in)
		if decided {
			return state
		}
		if in.override.Action == commands.OverrideRestore && in.assessment.Condition == Failed {
			in.assessment.Condition = Unknown // the operator decided that the zone returns
		}
	}
	switch in.state.Phase {
	case commands.PhaseActive, commands.PhaseReduced:
		return d.nextWhileServing(in)
	case commands.PhaseEvacuated:
		return d.nextWhileEvacuated(in)
	case commands.PhaseProbing:
		return d.nextWhileProbing(in)
	case commands.PhaseSlowStart:
		return d.nextWhileSlowStart(in)
	}
	return in.state
}

// overriddenState returns the state that an override demands, and false where it leaves the zone to the state machine.
func (d *Decider) overriddenState(in zoneInput) (commands.ZoneState, bool) {
	reason := "by hand: " + in.override.Reason
	switch in.override.Action {
	case commands.OverrideFreeze:
		return in.state, true
	case commands.OverrideEvacuate:
		if in.state.Phase == commands.PhaseEvacuated && in.state.Share == 0 {
			return in.state, true
		}
		return commands.ZoneState{Phase: commands.PhaseEvacuated, Failures: in.state.Failures, Reason: reason}, true
	case commands.OverrideRestore:
		if in.state.Phase == commands.PhaseEvacuated || in.state.Phase == commands.PhaseProbing {
			return commands.ZoneState{Phase: commands.PhaseSlowStart, Share: d.settings.InitialShare, Step: 1,
				Failures: in.state.Failures, Reason: reason}, true
		}
	}
	return commands.ZoneState{}, false
}

// nextWhileEvacuated lets a few processes probe the zone once its backoff is over.
func (d *Decider) nextWhileEvacuated(in zoneInput) commands.ZoneState {
	if in.stateAge < d.probeBackoff(in.state.Failures) {
		return in.state
	}
	fraction := probeFraction(d.settings.ProbeProcesses, in.processes)
	return commands.ZoneState{Phase: commands.PhaseProbing, Share: min(1, d.settings.InitialShare/fraction), ProbeFraction: fraction,
		Failures: in.state.Failures, Reason: "rested"}
}

// nextWhileProbing begins the slow start when the probes succeeded, evacuates the zone again when they failed, and
// selects more processes when too few steps were seen.
func (d *Decider) nextWhileProbing(in zoneInput) commands.ZoneState {
	state := in.state
	if in.stateAge >= d.settings.ProbeTimeout && !d.hasEnoughSteps(in.assessment) && state.ProbeFraction < 1 {
		// The selected processes had nothing to send there: select more.
		state.ProbeFraction = min(1, 2*state.ProbeFraction)
		state.Share, state.Reason = min(1, d.settings.InitialShare/state.ProbeFraction), "too little was tried"
		return state
	}
	if in.stateAge < d.settings.PropagationTime || !d.hasEnoughSteps(in.assessment) {
		return state
	}
	if acceptable(in.assessment, d.settings) {
		return commands.ZoneState{Phase: commands.PhaseSlowStart, Share: d.settings.InitialShare, Step: 1, Failures: state.Failures,
			Reason: "the tries went well"}
	}
	if in.assessment.Total.FailureRatio() >= failedRatio {
		return evacuate(state, "the tries went wrong")
	}
	return state
}

// probeFraction returns the fraction of all processes that makes the wanted number of probing ones.
func probeFraction(tries, processes float64) float64 {
	if processes <= tries {
		return 1
	}
	return tries / processes
}

// probeBackoff returns the time from an evacuation to the first probes.
func (d *Decider) probeBackoff(failures int) time.Duration {
	return min(d.settings.MaxBackoff, d.settings.InitialBackoff<<min(max(failures-1, 0), maxBackoffDoublings))
}

// hasEnoughSteps reports whether enough steps completed to judge by.
func (d *Decider) hasEnoughSteps(assessment Assessment) bool {
	return assessment.Total.Completed() >= d.settings.MinSteps
}

// acceptable reports whether a probe or slow start step succeeded. Late steps count as successes: the
// load on workers that warm up is bounded by the share.
func acceptable(assessment Assessment, settings Settings) bool {
	return assessment.Total.FailureRatio() <= settings.MaxFailureRatio
}

// evacuate returns the state of a zone that failed once more.
func evacuate(state commands.ZoneState, reason string) commands.ZoneState {
	return commands.ZoneState{Phase: commands.PhaseEvacuated, Failures: state.Failures + 1, Reason: reason}
}

// nextWhileServing decides on a zone that takes its full or a reduced share.
func (d *Decider) nextWhileServing(in zoneInput) commands.ZoneState {
	state, assessment := in.state, in.assessment
	confirmed := in.conditionAge >= d.settings.FailureConfirmTime
	switch {
	case assessment.Condition == Failed && confirmed:
		return evacuate(state, "it fails, seen from "+strings.Join(assessment.Observers, ", "))
	case assessment.Condition == PartiallyUnreachable && in.conditionAge >= d.settings.PartitionConfirmTime &&
		!isSubset(assessment.Observers, state.UnreachableFrom):
		state.UnreachableFrom = union(state.UnreachableFrom, assessment.Observers)
		state.ProbeFraction = probeFraction(d.settings.ProbeProcesses, in.processes)
		state.Reason = "cut from " + strings.Join(assessment.Observers, ", ")
	case len(state.UnreachableFrom) > 0 && in.stateAge >= d.settings.PropagationTime && intersect(state.UnreachableFrom, assessment.ReachedFrom):
		state = withReached(state, assessment.ReachedFrom)
	case assessment.Condition == Slow && in.conditionAge >= d.settings.SlowConfirmTime && in.stateAge >= d.settings.PropagationTime:
		if share := roundDownToStep(assessment.SustainableFraction*state.Share, d.settings.InitialShare); share < state.Share {
			state.Phase, state.Share, state.Reason = commands.PhaseReduced, share, "slower than the others"
		}
	case assessment.Condition == Healthy && confirmed && state.Phase == commands.PhaseReduced && in.stateAge >= d.settings.MinStepTime &&
		d.hasEnoughSteps(assessment):
		state.Share, state.Reason = min(1, 2*state.Share), "as quick as the others"
		if state.Share == 1 {
			state.Phase = commands.PhaseActive
		}
	case state.Phase == commands.PhaseActive && state.Failures > 0 && in.stateAge >= d.settings.StableTime && assessment.Condition != Failed:
		state.Failures, state.Reason = 0, "steady"
	}
	return state
}

// withReached returns the state without the zones that reach the zone again.
func withReached(state commands.ZoneState, reachedFrom []string) commands.ZoneState {
	state.UnreachableFrom = slices.DeleteFunc(slices.Clone(state.UnreachableFrom), func(from string) bool { return slices.Contains(reachedFrom, from) })
	state.Reason = "reached again"
	if len(state.UnreachableFrom) == 0 {
		state.UnreachableFrom, state.ProbeFraction = nil, 0
	}
	return state
}

// isSubset reports whether all of subset are in set.
func isSubset(subset, set []string) bool {
	return !slices.ContainsFunc(subset, func(name string) bool { return !slices.Contains(set, name) })
}

// intersect reports whether a and b have an element in common.
func intersect(a, b []string) bool {
	return slices.ContainsFunc(a, func(name string) bool { return slices.Contains(b, name) })
}

// union returns the elements of both, sorted.
func union(a, b []string) []string {
	out := append(slices.Clone(a), b...)
	slices.Sort(out)
	return slices.Compact(out)
}

// roundDownToStep rounds a share down to a slow start step: the initial share times a power of two.
func roundDownToStep(share, initial float64) float64 {
	step := initial
	for 2*step <= share+shareTolerance {
		step *= 2
	}
	return min(step, 1)
}

// nextWhileSlowStart doubles the share of a zone whose present step succeeded. A step never exceeds the warm part
// of the zone's capacity; a step that failed halves the share, or evacuates the zone again.
func (d *Decider) nextWhileSlowStart(in zoneInput) commands.ZoneState {
	state, assessment := in.state, in.assessment
	if in.stateAge < d.settings.PropagationTime || !d.hasEnoughSteps(assessment) {
		return state
	}
	if assessment.Condition == Failed || assessment.Total.FailureRatio() >= failedRatio {
		if state.Share /= 2; state.Share < d.settings.InitialShare {
			return evacuate(state, "it failed again")
		}
		state.Step, state.Reason = state.Step-1, "bad news"
		return state
	}
	next := min(1, 2*state.Share)
	warm := max(d.settings.InitialShare, 1-assessment.Total.WarmupDeficit)
	if in.stateAge < d.settings.MinStepTime || !acceptable(assessment, d.settings) || next > warm+shareTolerance {
		return state
	}
	state.Share, state.Step, state.Reason = next, state.Step+1, "earned"
	if next == 1 {
		state.Phase, state.Step = commands.PhaseActive, 0
	}
	return state
}
