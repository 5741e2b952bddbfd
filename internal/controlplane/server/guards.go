package server

// Guard names one check of the keeper. Tests leave guards out to show that the simulation notices their absence. A
// running keeper leaves out none.
type Guard string

// The guards that can be left out.
const (
	GuardReadConfirmed     Guard = "read-confirmed"    // the configuration is read once a majority has confirmed the leader
	GuardFeedCurrent       Guard = "feed-current"      // the feed calls a shard current only after recent contact with a majority
	GuardHeartbeatCurrent  Guard = "beat-current"      // a heartbeat without an entry is acknowledged only after such contact
	GuardHeartbeatRecorded Guard = "beat-recorded"     // a follower acknowledges only what its replica has recorded
	GuardOwnershipBarrier  Guard = "ownership-barrier" // a new leader owns its shard once it has applied what others acknowledged
	GuardOwnershipTerm     Guard = "ownership-term"    // ownership ends with the term in which it was gained
	GuardFoundingOnce      Guard = "founding-once"     // only a seed at the system's first start founds groups
	GuardOrphans           Guard = "orphans"           // replicas without a readable member ID are removed
	GuardMemberAddressed   Guard = "member-addressed"  // messages for an earlier member with this address are dropped
	GuardIdentityAsked     Guard = "identity-asked"    // a request to join counts once its address has told the same member ID
	GuardReplacedRetired   Guard = "replaced-retired"  // the ID of a member whose disk was lost never comes back
	GuardPromotedDurable   Guard = "promoted-durable"  // a voter gives way to a learner that has acknowledged nearly all as durable
	GuardVotersOdd         Guard = "voters-odd"        // a group grows to an even number of voters only on its way to the next odd one
	GuardSuccessorReady    Guard = "successor-ready"   // a leaving voter gives its place only to a successor that can take it
)

// Guards returns all guards that can be left out.
func Guards() []Guard {
	return []Guard{
		GuardReadConfirmed, GuardFeedCurrent, GuardHeartbeatCurrent, GuardHeartbeatRecorded, GuardOwnershipBarrier,
		GuardOwnershipTerm, GuardFoundingOnce, GuardOrphans, GuardMemberAddressed,
		GuardIdentityAsked, GuardReplacedRetired, GuardPromotedDurable, GuardSuccessorReady, GuardVotersOdd,
	}
}
