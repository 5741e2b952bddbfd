package failover

import (
	"slices"
	"strings"
	"time"

	"ospreybend/internal/node/zones/commands"
)

// nextState returns the next state of a zone: the one that an operator's override demands, if any, else the next one
// of the state machine.
func (d *Decider) nextState(in zoneInput) commands.ZoneState {
	if in.hasOverride {
		state, decided := d.overriddenState(in)
		if decided {
			return state
		}
		if in.override.Action == commands.OverrideRestore && in.assessment.Condition == Failed {
			in.assessment.Condition = Unknown // the override takes precedence over the failure
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

// overriddenState returns the state that an override demands, or false if it leaves the zone to the state machine.
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

// nextWhileEvacuated lets a few processes probe the zone after its backoff.
func (d *Decider) nextWhileEvacuated(in zoneInput) commands.ZoneState {
	if in.stateAge < d.probeBackoff(in.state.Failures) {
		return in.state
	}
	fraction := probeFraction(d.settings.ProbeProcesses, in.processes)
	return commands.ZoneState{Phase: commands.PhaseProbing, Share: min(1, d.settings.InitialShare/fraction), ProbeFraction: fraction,
		Failures: in.state.Failures, Reason: "rested"}
}

// nextWhileProbing begins the slow start if the probes succeeded, evacuates the zone again if they failed, and
// selects more processes if too few probes completed.
func (d *Decider) nextWhileProbing(in zoneInput) commands.ZoneState {
	state := in.state
	if in.stateAge >= d.settings.ProbeTimeout && !d.hasEnoughSteps(in.assessment) && state.ProbeFraction < 1 {
		// The selected processes had too few requests to send there.
		state.ProbeFraction = min(1, 2*state.ProbeFraction)
		state.Share, state.Reason = min(1, d.settings.InitialShare/state.ProbeFraction), "too little was tried"
		return state
	}
	if in.stateAge < d.settings.PropagationTime || !d.hasEnoughSteps(in.assessment) {
		return state
	}
	if stepSucceeded(in.assessment, d.settings) {
		return commands.ZoneState{Phase: commands.PhaseSlowStart, Share: d.settings.InitialShare, Step: 1, Failures: state.Failures,
			Reason: "the tries went well"}
	}
	if in.assessment.Total.FailureRatio() >= failedStepRatio {
		return evacuatedAfterFailure(state, "the tries went wrong")
	}
	return state
}

// probeFraction returns the fraction of the processes to select so that the given number probe; 1 if there are no more.
func probeFraction(probing, processes float64) float64 {
	if processes <= probing {
		return 1
	}
	return probing / processes
}

// probeBackoff returns the time from an evacuation to the first probes.
func (d *Decider) probeBackoff(failures int) time.Duration {
	return min(d.settings.MaxBackoff, d.settings.InitialBackoff<<min(max(failures-1, 0), maxBackoffDoublings))
}

// hasEnoughSteps reports whether enough steps completed to judge a zone.
func (d *Decider) hasEnoughSteps(assessment Assessment) bool {
	return assessment.Total.Completed() >= d.settings.MinSteps
}

// stepSucceeded reports whether a probe or a slow start step succeeded. Late route steps count as successes:
// the share already limits the load on workers that are warming up.
func stepSucceeded(assessment Assessment, settings Settings) bool {
	return assessment.Total.FailureRatio() <= settings.MaxFailureRatio
}

// evacuatedAfterFailure returns the evacuated state with one more failure.
func evacuatedAfterFailure(state commands.ZoneState, reason string) commands.ZoneState {
	return commands.ZoneState{Phase: commands.PhaseEvacuated, Failures: state.Failures + 1, Reason: reason}
}

// nextWhileServing returns the next state of a zone that takes its full or a reduced share.
func (d *Decider) nextWhileServing(in zoneInput) commands.ZoneState {
	state, assessment := in.state, in.assessment
	confirmed := in.conditionAge >= d.settings.FailureConfirmTime
	switch {
	case assessment.Condition == Failed && confirmed:
		return evacuatedAfterFailure(state, "it fails, seen from "+strings.Join(assessment.Observers, ", "))
	case assessment.Condition == PartiallyUnreachable && in.conditionAge >= d.settings.PartitionConfirmTime &&
		!isSubset(assessment.Observers, state.UnreachableFrom):
		state.UnreachableFrom = union(state.UnreachableFrom, assessment.Observers)
		state.ProbeFraction = probeFraction(d.settings.ProbeProcesses, in.processes)
		state.Reason = "cut from " + strings.Join(assessment.Observers, ", ")
	case len(state.UnreachableFrom) > 0 && in.stateAge >= d.settings.PropagationTime &&
		intersect(state.UnreachableFrom, assessment.ReachedFrom):
		state = withoutReachable(state, assessment.ReachedFrom)
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

// withoutReachable returns the state with the zones of reachedFrom removed from UnreachableFrom.
func withoutReachable(state commands.ZoneState, reachedFrom []string) commands.ZoneState {
	state.UnreachableFrom = slices.DeleteFunc(slices.Clone(state.UnreachableFrom), func(from string) bool {
		return slices.Contains(reachedFrom, from)
	})
	state.Reason = "reached again"
	if len(state.UnreachableFrom) == 0 {
		state.UnreachableFrom, state.ProbeFraction = nil, 0
	}
	return state
}

// isSubset reports whether all elements of subset are in set.
func isSubset(subset, set []string) bool {
	return !slices.ContainsFunc(subset, func(name string) bool { return !slices.Contains(set, name) })
}

// intersect reports whether a and b have an element in common.
func intersect(a, b []string) bool {
	return slices.ContainsFunc(a, func(name string) bool { return slices.Contains(b, name) })
}

// union returns the elements of a and b, sorted and without duplicates.
func union(a, b []string) []string {
	out := append(slices.Clone(a), b...)
	slices.Sort(out)
	return slices.Compact(out)
}

// roundDownToStep rounds a share down to that of a slow start step: the initial share times a power of two, at most 1.
// Smaller shares become the initial share.
func roundDownToStep(share, initial float64) float64 {
	step := initial
	for 2*step <= share+shareTolerance {
		step *= 2
	}
	return min(step, 1)
}

// nextWhileSlowStart doubles the share of a zone whose current slow start step succeeded, as far as enough of the zone's
// capacity has warmed up. A failed step halves the share, or evacuates the zone if the share falls below that of the
// first step.
func (d *Decider) nextWhileSlowStart(in zoneInput) commands.ZoneState {
	state, assessment := in.state, in.assessment
	if in.stateAge < d.settings.PropagationTime || !d.hasEnoughSteps(assessment) {
		return state
	}
	if assessment.Condition == Failed || assessment.Total.FailureRatio() >= failedStepRatio {
		if state.Share /= 2; state.Share < d.settings.InitialShare {
			return evacuatedAfterFailure(state, "it failed again")
		}
		state.Step, state.Reason = state.Step-1, "bad news"
		return state
	}
	next := min(1, 2*state.Share)
	warm := max(d.settings.InitialShare, 1-assessment.Total.WarmupDeficit)
	if in.stateAge < d.settings.MinStepTime || !stepSucceeded(assessment, d.settings) || next > warm+shareTolerance {
		return state
	}
	state.Share, state.Step, state.Reason = next, state.Step+1, "earned"
	if next == 1 {
		state.Phase, state.Step = commands.PhaseActive, 0
	}
	return state
}
