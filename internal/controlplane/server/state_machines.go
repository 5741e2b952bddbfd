package server

import (
	"sync"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/feed"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/registry"
)

// feedState is a shard's feed. The mutex also guards the store that the feed shows, so that both
// are always at the same entry.
type feedState struct {
	mutex  sync.Mutex
	buffer *feed.Buffer
}

func newFeedState() feedState { return feedState{buffer: feed.NewBuffer(feedBacklogBytes)} }

// changesSince returns what takes a reader on from index; both are nil if there is nothing above it.
func (s *feedState) changesSince(index uint64) ([]feed.Change, *feed.Snapshot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.buffer.From(index)
}

func (s *feedState) index() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.buffer.Index()
}

// append takes the change of an entry. The caller holds the mutex. Entries come in the order of
// their indexes, so the buffer cannot refuse one.
func (s *feedState) append(change feed.Change) { _ = s.buffer.Append(change) }

func (s *feedState) reset(index uint64, items []feed.Item) {
	s.buffer.Reset(feed.Snapshot{Index: index, Items: items})
}

// configurationMachine is the state machine of shard 0.
type configurationMachine struct {
	feedState
	store *configuration.Store
}

func newConfigurationMachine(outside Environment) *configurationMachine {
	return &configurationMachine{feedState: newFeedState(), store: configuration.NewStore(outside.OmitStore...)}
}

// Apply carries out a change to the configuration; its result is a configuration.Outcome.
func (m *configurationMachine) Apply(entry consensus.Entry) any {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	outcome, change := m.store.Apply(entry.Index, entry.Data)
	m.append(change)
	return outcome
}

// Snapshot returns the whole state.
func (m *configurationMachine) Snapshot() []byte {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.store.Snapshot()
}

// Restore replaces the state.
func (m *configurationMachine) Restore(index uint64, data []byte) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.store.Restore(data); err != nil {
		return err
	}
	m.reset(index, m.store.Items())
	return nil
}

// document returns the configuration as JSON.
func (m *configurationMachine) document() []byte {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.store.Document()
}

// roleSwitchTime is what a worker of a service needs to change its stage; 0: not told.
func (m *configurationMachine) roleSwitchTime(service string) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	description, found := m.store.Service(service)
	if !found || description.Engine == nil {
		return 0
	}
	return description.Engine.RoleSwitchTime
}

func (m *configurationMachine) setLeaderTerm(uint64)                         {}
func (m *configurationMachine) ownershipGained(time.Time, uint64)            {}
func (m *configurationMachine) expiryCommands(time.Time) (commands [][]byte) { return nil }

// registryMachine is the state machine of a shard of instances, with what its owner knows beside.
type registryMachine struct {
	feedState
	store        *registry.Store
	owner        *registry.LivenessTracker
	now          func() time.Time
	guardEnabled func(Guard) bool // tells whether a guard is in force
	leaderTerm   uint64           // term in which this replica leads; 0: it does not
	owned        bool             // it leads and has applied all that earlier owners acknowledged
}

func newRegistryMachine(heartbeatInterval time.Duration, outside Environment) *registryMachine {
	return &registryMachine{
		feedState: newFeedState(), store: registry.NewStore(),
		owner: registry.NewLivenessTracker(heartbeatInterval, registry.LivenessOptions{}), now: outside.Now, guardEnabled: outside.guardEnabled,
	}
}

// Apply carries out a change to the instances; its result is a registry.Outcome.
func (m *registryMachine) Apply(entry consensus.Entry) any {
	now := m.now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	outcome, change := m.store.Apply(entry.Index, entry.Data)
	m.append(change)
	m.owner.Applied(now, change)
	return outcome
}

// Snapshot returns the whole state.
func (m *registryMachine) Snapshot() []byte {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.store.Snapshot()
}

// Restore replaces the state.
func (m *registryMachine) Restore(index uint64, data []byte) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.store.Restore(data); err != nil {
		return err
	}
	m.reset(index, m.store.Items())
	return nil
}

// setLeaderTerm notes the term in which this replica leads, 0 if it does not. Ownership ends with it.
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
	m.owner.OwnershipLost()
}

// ownershipGained starts the ownership, unless leadership of the term has ended meanwhile.
func (m *registryMachine) ownershipGained(now time.Time, term uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if (m.leaderTerm != term && m.guardEnabled(GuardOwnershipTerm)) || m.owned {
		return
	}
	m.owned = true
	m.owner.OwnershipGained(now, m.store.Instances(""))
}

// decideHeartbeat decides on a heartbeat. owned is false while this replica does not own the shard.
func (m *registryMachine) decideHeartbeat(now time.Time, heartbeat registry.Heartbeat) (decision registry.Decision, owned bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.owned {
		return registry.Decision{}, false
	}
	if m.isRemoved(heartbeat) {
		return registry.Decision{Action: registry.Acknowledge}, true
	}
	return m.owner.Heartbeat(now, heartbeat, m.store.Instance(heartbeat.ID)), true
}

// isRemoved tells whether a heartbeat is of an instance that is gone for good: it may serve on, and its words change nothing. The IDs of
// nodes come back. The caller holds the mutex.
func (m *registryMachine) isRemoved(heartbeat registry.Heartbeat) bool {
	return heartbeat.Service != registry.NodesService && m.store.Removed(heartbeat.ID)
}

// matchesRecord tells whether the store has just what a heartbeat says, or that its instance is gone for good.
func (m *registryMachine) matchesRecord(heartbeat registry.Heartbeat) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	stored := m.store.Instance(heartbeat.ID)
	return m.isRemoved(heartbeat) || stored != nil && registry.SameRecord(*stored, heartbeat.Instance)
}

// recordHeard notes instances that another keeper has heard. It returns false while this replica does not own the shard.
func (m *registryMachine) recordHeard(now time.Time, instances []sessionHeartbeat) (owned bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.owned {
		return false
	}
	for _, one := range instances {
		m.owner.RemoteHeartbeat(now, one.ID, uint64(one.Sequence))
	}
	return true
}

// decideDeregister decides on a departure; known tells whether the instance is in the store, or was.
func (m *registryMachine) decideDeregister(now time.Time, id string) (decision registry.Decision, known, owned bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.owned {
		return registry.Decision{}, false, false
	}
	known = m.store.Knows(id)
	if m.store.Removed(id) {
		return registry.Decision{Action: registry.Acknowledge}, known, true
	}
	return m.owner.Deregister(now, id, known), known, true
}

// lookUp tells whether this replica knows an instance, and whether it is gone for good then.
func (m *registryMachine) lookUp(id string) (known, removed bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known = m.store.Knows(id)
	return known, known && m.store.Removed(id)
}

// expiryCommands returns the commands that remove instances which fell silent.
func (m *registryMachine) expiryCommands(now time.Time) [][]byte {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.owned {
		return nil
	}
	return m.owner.Expired(now)
}
