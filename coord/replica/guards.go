package replica

import "slices"

// Guard names one check of a group. Tests leave guards out to show that their absence is noticed. A running system
// leaves out none.
type Guard string

// The guards that can be left out.
const (
	GuardOutcomeMatchesTerm    Guard = "outcome-of-term"  // a proposal is acknowledged only by the entry of its own term
	GuardLostLeadershipUnknown Guard = "lost-unknown"     // a proposal whose leader leads no more has an unknown outcome until its entry shows
	GuardSkippedUnknown        Guard = "skipped-unknown"  // a proposal that a snapshot stands for has an unknown outcome
	GuardReadWaitsForApply     Guard = "read-applied"     // a read is answered once the machine has applied all that it covers
	GuardStalledDiskStepsDown  Guard = "stall-hands-over" // a member whose disk hangs or refuses leads no more
)

// Guards returns all guards that can be left out.
func Guards() []Guard {
	return []Guard{GuardOutcomeMatchesTerm, GuardLostLeadershipUnknown, GuardSkippedUnknown, GuardReadWaitsForApply, GuardStalledDiskStepsDown}
}

// enforces reports whether a guard is in force.
func (o *Options) enforces(guard Guard) bool { return !slices.Contains(o.OmitGuards, guard) }
