package replica

import "slices"

// Guard identifies one safety check of a group. Tests disable guards one at a time to show that they then detect a violation;
// production code enforces all of them.
type Guard string

// The guards that tests can disable.
const (
	// GuardOutcomeMatchesTerm requires that a proposal is acknowledged only by an entry of the term in which it was proposed.
	GuardOutcomeMatchesTerm Guard = "outcome-of-term"
	// GuardLostLeadershipUnknown requires that the outcome of a proposal counts as unknown from the loss of leadership until an
	// entry is applied at its index.
	GuardLostLeadershipUnknown Guard = "lost-unknown"
	// GuardSkippedUnknown requires that a proposal whose index is covered by a received snapshot is answered with an unknown outcome.
	GuardSkippedUnknown Guard = "skipped-unknown"
	// GuardReadWaitsForApply requires that a read is answered only after the state machine has reached the index of its round.
	GuardReadWaitsForApply Guard = "read-applied"
	// GuardStalledDiskStepsDown requires that a leader whose disk stalls or fails transfers leadership.
	GuardStalledDiskStepsDown Guard = "stall-hands-over"
	// GuardApplyInSlices requires that the event loop handles events between the entries that it applies.
	GuardApplyInSlices Guard = "apply-in-slices"
	// GuardCurrentMeansApplied requires that a replica is current only once it has applied what it knows to be committed.
	GuardCurrentMeansApplied Guard = "current-applied"
)

// Guards returns all guards.
func Guards() []Guard {
	return []Guard{
		GuardOutcomeMatchesTerm, GuardLostLeadershipUnknown, GuardSkippedUnknown, GuardReadWaitsForApply,
		GuardStalledDiskStepsDown, GuardApplyInSlices, GuardCurrentMeansApplied,
	}
}

// enforces reports whether the group enforces a guard.
func (o *Options) enforces(guard Guard) bool { return !slices.Contains(o.OmitGuards, guard) }
