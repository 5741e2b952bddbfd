package server

// Guard identifies a safety check of the server. Tests omit guards to show that the simulation detects their absence; a production
// server omits none. The values are arguments on the command line (measure simulate --omit) and must not change.
type Guard string

// The guards that can be omitted.
const (
	GuardReadConfirmed      Guard = "read-confirmed"       // a configuration read waits for a majority to confirm the leader
	GuardFeedCurrent        Guard = "feed-current"         // the feed reports a shard as current only after recent contact with a majority
	GuardHeartbeatCurrent   Guard = "beat-current"         // a heartbeat that needs no log entry is acknowledged only after recent contact with a majority
	GuardHeartbeatRecorded  Guard = "beat-recorded"        // a follower acknowledges only what its replica has recorded
	GuardOwnershipBarrier   Guard = "ownership-barrier"    // a new leader owns its shard only after it has applied what earlier leaders acknowledged
	GuardOwnershipTerm      Guard = "ownership-term"       // ownership ends with the term in which it was gained
	GuardBootstrapOnce      Guard = "founding-once"        // only a seed bootstraps groups, and only when the cluster starts for the first time
	GuardOrphanReplicas     Guard = "orphans"              // replicas without a readable member ID are removed
	GuardIdentityConfirmed  Guard = "identity-asked"       // a join request takes effect only after the server at its address has confirmed the member ID
	GuardReplacedRetired    Guard = "replaced-retired"     // the member ID of a lost disk is never added again
	GuardPromotedDurable    Guard = "promoted-durable"     // only a learner that has acknowledged nearly all of the log as durable is promoted
	GuardVotersOdd          Guard = "voters-odd"           // a group has an even number of voters only while it grows to the next odd number
	GuardSuccessorReady     Guard = "successor-ready"      // a leaving voter releases its vote only to a successor that can take it
	GuardWorkerCleared      Guard = "worker-cleared"       // a new owner commands a worker only after it has read what earlier owners sent
	GuardMajorityHandedOver Guard = "majority-handed-over" // leaders among leaving voters make successors voters before a majority of the voters has ended
)

// Guards returns all guards that can be omitted.
func Guards() []Guard {
	return []Guard{
		GuardReadConfirmed, GuardFeedCurrent, GuardHeartbeatCurrent, GuardHeartbeatRecorded, GuardOwnershipBarrier,
		GuardOwnershipTerm, GuardBootstrapOnce, GuardOrphanReplicas,
		GuardIdentityConfirmed, GuardReplacedRetired, GuardPromotedDurable, GuardSuccessorReady, GuardVotersOdd,
		GuardMajorityHandedOver, GuardWorkerCleared,
	}
}
