// Package registry holds the registered instances of services: workers, and the nodes of the router fleet itself under
// NodesService.
//
// An instance registers and renews its registration by heartbeats. The state has two parts:
//
//   - Store is replicated. It is a deterministic state machine over the commands of one shard's log (EncodePut,
//     EncodeRemove, EncodeAssign, EncodeStage) and holds a record for each instance and a tombstone for each removed one.
//   - LivenessTracker is soft state of the shard's owner (the leader of its consensus group): when each instance was last
//     heard. LivenessTracker.Heartbeat renews a registration, and proposes a command only where the heartbeat changes the
//     record; LivenessTracker.Expired proposes the removal of instances whose heartbeats have stopped.
//
// Heartbeats may arrive late, twice and in any order. Their sequence numbers and the tombstones make sure that an instance
// that is draining does not become ready again, and that one which deregistered does not return.
//
// The package has no clock, no I/O and no locks. Package server calls it with the instants, the committed commands and the
// bodies of heartbeats, and guards each shard's Store and LivenessTracker by a mutex.
package registry
