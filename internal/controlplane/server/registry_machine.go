package server

import (
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/internal/controlplane/registry"
	"ospreybend/internal/controlplane/roleplanner"
)

// registryMachine is the state machine of a registry shard. Besides the replicated store it holds the owner's soft state, such as
// the times of heartbeats, which is discarded when the ownership ends.
type registryMachine struct {
	feedState
	store        *registry.Store
	liveness     *registry.LivenessTracker
	now          func() time.Time
	guardEnabled func(Guard) bool // Environment.guardEnabled
	leaderTerm   uint64           // term in which this replica leads, 0 if it does not
	owned        bool             // this replica leads and has applied every change that earlier owners acknowledged
}

func newRegistryMachine(heartbeatInterval time.Duration, environment Environment) *registryMachine {
	store := registry.NewStore()
	return &registryMachine{
		feedState: newFeedState(store), store: store,
		liveness: registry.NewLivenessTracker(heartbeatInterval, registry.LivenessOptions{}), now: environment.Now, guardEnabled: environment.guardEnabled,
	}
}

// Apply applies a committed change to the instances. The result is a registry.Outcome.
func (m *registryMachine) Apply(entry consensus.Entry) any {
	now := m.now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	outcome, change := m.store.Apply(entry.Index, entry.Data)
	m.append(change)
	m.liveness.Applied(now, change)
	return outcome
}

// setHeartbeatInterval changes the interval at which workers are expected to send heartbeats.
func (m *registryMachine) setHeartbeatInterval(interval time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.liveness.SetHeartbeatInterval(interval)
}

// setLeaderTerm records the term in which this replica leads, 0 if it does not. When the term changes, the ownership ends.
func (m *registryMachine) setLeaderTerm(term uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.leaderTerm == term {
		return
	}
	m.leaderTerm = term
	if !m.guardEnabled(GuardOwnershipTerm) {
		return
	}
	m.owned = false
	m.liveness.OwnershipLost()
}

// ownershipGained starts the ownership, unless this replica no longer leads in the given term or owns the shard already.
func (m *registryMachine) ownershipGained(now time.Time, term uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if (m.leaderTerm != term && m.guardEnabled(GuardOwnershipTerm)) || m.owned {
		return
	}
	m.owned = true
	m.liveness.OwnershipGained(now, m.store.Instances(""))
}

// decideHeartbeat returns the owner's decision on a heartbeat. owned is false, and there is no decision, while this replica does not
// own the shard.
func (m *registryMachine) decideHeartbeat(now time.Time, heartbeat registry.Heartbeat) (decision registry.Decision, owned bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.owned {
		return registry.Decision{}, false
	}
	if m.isRemoved(heartbeat) {
		return registry.Decision{Action: registry.Acknowledge}, true
	}
	return m.liveness.Heartbeat(now, heartbeat, m.store.Instance(heartbeat.ID)), true
}

// isRemoved reports whether a heartbeat comes from an instance that was removed permanently or superseded: it may still serve
// requests, but its heartbeats change nothing. Edge nodes are exempt, because they may register again under the same ID. The caller
// holds the mutex.
func (m *registryMachine) isRemoved(heartbeat registry.Heartbeat) bool {
	return heartbeat.Service != registry.NodesService && m.store.IgnoresHeartbeat(heartbeat.Instance)
}

// matchesRecord reports whether a heartbeat changes nothing: the store has exactly the record that it reports, or isRemoved holds.
func (m *registryMachine) matchesRecord(heartbeat registry.Heartbeat) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	stored := m.store.Instance(heartbeat.ID)
	return m.isRemoved(heartbeat) || stored != nil && registry.SameRecord(*stored, heartbeat.Instance)
}

// recordRemoteHeartbeats records heartbeats that another server has acknowledged. It records nothing, and returns false, while this replica
// does not own the shard.
func (m *registryMachine) recordRemoteHeartbeats(now time.Time, heartbeats []sessionHeartbeat) (owned bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.owned {
		return false
	}
	for _, heartbeat := range heartbeats {
		m.liveness.RemoteHeartbeat(now, heartbeat.ID, uint64(heartbeat.Sequence))
	}
	return true
}

// decideDeregister returns the owner's decision on the removal of an instance. known reports whether the instance is, or was, in the
// store; owned is false while this replica does not own the shard.
func (m *registryMachine) decideDeregister(now time.Time, id string) (decision registry.Decision, known, owned bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.owned {
		return registry.Decision{}, false, false
	}
	known = m.store.Knows(id)
	if m.store.PermanentlyRemoved(id) {
		return registry.Decision{Action: registry.Acknowledge}, known, true
	}
	return m.liveness.Deregister(now, id, known), known, true
}

// lookUp reports whether this replica knows an instance, and whether the instance was removed permanently.
func (m *registryMachine) lookUp(id string) (known, removed bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known = m.store.Knows(id)
	return known, known && m.store.PermanentlyRemoved(id)
}

// expiryCommands returns the commands that remove the instances whose heartbeats have timed out, none while this replica does not own
// the shard.
func (m *registryMachine) expiryCommands(now time.Time) [][]byte {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.owned {
		return nil
	}
	return m.liveness.Expired(now)
}

// ownsInTerm reports whether this replica owns the shard and leads it in the given term.
func (m *registryMachine) ownsInTerm(term uint64) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.owned && m.leaderTerm == term
}

// knownInstances returns the IDs of the instances that this replica has a record of, or knows to be removed.
func (m *registryMachine) knownInstances() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.store.KnownIDs()
}

// workersByService returns the workers that have a prefill or decode role, by service, each list sorted by ID.
func (m *registryMachine) workersByService() map[string][]roleplanner.Worker {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	services := map[string][]roleplanner.Worker{}
	for _, instance := range m.store.Instances("") {
		if instance.Stage != roleplanner.Prefill && instance.Stage != roleplanner.Decode {
			continue
		}
		services[instance.Service] = append(services[instance.Service], roleplanner.Worker{
			ID: instance.ID, Address: instance.Address, Zone: instance.Zone, Stage: instance.Stage,
			Assigned: instance.Assigned, Draining: instance.State == registry.Draining,
		})
	}
	return services
}
