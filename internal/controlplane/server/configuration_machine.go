package server

import (
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/internal/controlplane/configuration"
)

// configurationMachine is the state machine of shard 0.
type configurationMachine struct {
	feedState
	store *configuration.Store
}

func newConfigurationMachine(environment Environment) *configurationMachine {
	return &configurationMachine{feedState: newFeedState(), store: configuration.NewStore(environment.OmitStore...)}
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

func (m *configurationMachine) setLeaderTerm(uint64) {}

func (m *configurationMachine) ownershipGained(time.Time, uint64) {}

func (m *configurationMachine) expiryCommands(time.Time) (commands [][]byte) { return nil }
