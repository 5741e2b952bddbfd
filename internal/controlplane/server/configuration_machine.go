package server

import (
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/internal/controlplane/configuration"
)

// configurationMachine is the state machine of the configuration shard. Unlike
// registryMachine, it keeps no state that depends on ownership, so its ownership methods do nothing.
type configurationMachine struct {
	feedState
	store *configuration.Store
}

func newConfigurationMachine(environment Environment) *configurationMachine {
	store := configuration.NewStore(environment.OmitConfigurationRules...)
	if environment.RememberedChanges > 0 {
		store.SetMaxRemembered(environment.RememberedChanges)
	}
	return &configurationMachine{feedState: newFeedState(store), store: store}
}

// Apply applies a committed change to the configuration. The result is a configuration.Outcome.
func (m *configurationMachine) Apply(entry consensus.Entry) any {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	outcome, change := m.store.Apply(entry.Index, entry.Data)
	m.append(change)
	return outcome
}

// document returns the configuration in force as JSON.
func (m *configurationMachine) document() []byte {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.store.Document()
}

// roleSwitchTime returns how long a worker of a service takes to change its role, or 0 if the configuration does not specify it.
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
