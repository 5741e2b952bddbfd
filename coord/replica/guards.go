package replica

import "slices"

// Guard names one safety check of a group. Tests omit guards one by one to show that a violation is then detected; a
// running system enforces all of them.
type Guard string

// The guards that tests can omit.
const (
	// GuardOutcomeMatchesTerm requires that a proposal is acknowledged only by an entry of its own term.
	GuardOutcomeMatchesTerm Guard = "outcome-of-term"
	// GuardLostLeadershipUnknown requires that a proposal has an unknown outcome once its leader has lost leadership, until
	// its entry is applied or replaced.
	GuardLostLeadershipUnknown Guard = "lost-unknown"
	// GuardSkippedUnknown requires that a proposal whose index is covered by a received snapshot has an unknown outcome.
	GuardSkippedUnknown Guard = "skipped-unknown"
	// GuardReadWaitsForApply requires that a read is answered only after the state machine has applied all that it covers.
	GuardReadWaitsForApply Guard = "read-applied"
	// GuardStalledDiskStepsDown requires that a member whose disk stalls or fails hands leadership over.
	GuardStalledDiskStepsDown Guard = "stall-hands-over"
)

// Guards returns all guards that tests can omit.
func Guards() []Guard {
	return []Guard{
		GuardOutcomeMatchesTerm, GuardLostLeadershipUnknown, GuardSkippedUnknown, GuardReadWaitsForApply,
		GuardStalledDiskStepsDown,
	}
}

// enforces reports whether the group enforces a guard.
func (o *Options) enforces(guard Guard) bool { return !slices.Contains(o.OmitGuards, guard) }
