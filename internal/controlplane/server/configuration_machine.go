package server

import (
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/internal/controlplane/configuration"
)

// configurationMachine is the state machine of the configuration shard. It has no state of an owner: any replica that has
// applied an entry can serve it.
type configurationMachine struct {
	feedState
	store *configuration.Store
}

func newConfigurationMachine(environment Environment) *configurationMachine {
	return &configurationMachine{feedState: newFeedState(), store: configuration.NewStore(environment.OmitStore...)}
}

// Apply applies a committed change of the configuration; its result is a configuration.Outcome.
func (m *configurationMachine) Apply(entry consensus.Entry) any {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	outcome, change := m.store.Apply(entry.Index, entry.Data)
	m.append(change)
	return outcome
}

// Snapshot returns the encoded state.
func (m *configurationMachine) Snapshot() []byte {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.store.Snapshot()
}

// Restore replaces the state by a snapshot's. It returns an error if the snapshot cannot be decoded.
func (m *configurationMachine) Restore(index uint64, data []byte) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.store.Restore(data); err != nil {
		return err
	}
	m.reset(index, m.store.Items())
	return nil
}

// document returns the configuration in force as JSON.
func (m *configurationMachine) document() []byte {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.store.Document()
}

// roleSwitchTime returns how long a worker of a service needs to change its role, 0 if the configuration does not say.
func (m *configurationMachine) roleSwitchTime(service string) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	description, found := m.store.Service(service)
	if !found || description.Engine == nil {
		return 0
	}
	return description.Engine.RoleSwitchTime
}

func (m *configurationMachine) setLeaderTerm(uint64) {}

func (m *configurationMachine) ownershipGained(time.Time, uint64) {}

func (m *configurationMachine) expiryCommands(time.Time) (commands [][]byte) { return nil }
