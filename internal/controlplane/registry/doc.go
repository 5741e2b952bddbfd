// Package registry holds the registered instances of services: workers, and the nodes of the router fleet itself under
// NodesService.
//
// An instance registers by sending heartbeats, which also renew its registration. The state has two parts:
//
//   - Store is replicated. It is a deterministic state machine that applies the commands of one shard's log (EncodePut,
//     EncodeRemove, EncodeAssign, EncodeStage). It holds a record of each instance and a tombstone of each removed one.
//   - LivenessTracker is soft state of the shard's owner (the leader of its consensus group): the time of each instance's
//     last heartbeat. LivenessTracker.Heartbeat renews a registration, and proposes a command only if the heartbeat
//     changes the record; LivenessTracker.Expired proposes the removal of instances whose heartbeats have stopped.
//
// Heartbeats may arrive late, more than once and in any order. Sequence numbers and tombstones ensure that a draining
// instance does not become ready again, and that a deregistered instance does not reappear.
//
// The package has no clock, performs no I/O and takes no locks. Package server passes in the time, the committed commands
// and the bodies of heartbeats, and guards the Store and LivenessTracker of each shard with a mutex.
package registry
