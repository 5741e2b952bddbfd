package server

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/coord/seglog"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/peertransport"
	"ospreybend/internal/util/bootconfig"
)

// Environment holds the server's dependencies on its machine. Fields left nil use the operating system's implementation unless
// their comment says otherwise; a simulation sets its own.
type Environment struct {
	FileSystem seglog.FileSystem
	Now        func() time.Time // monotonic; never called with a mutex held, because it blocks in a simulation
	Random     func() uint64
	Dial       func(ctx context.Context, address string) (net.Conn, error)     // dials peers
	Listen     func(ctx context.Context, address string) (net.Listener, error) // listens for peers and agents

	Workers WorkerClient // nil: workers are not called and roles are not planned

	SettingsChanges <-chan bootconfig.Settings // settings that change while the server runs; nil: none
	LimitMemory     bool                       // apply the memory limit of changed settings to this process

	OnGroupStatus func(replica.Status) // called whenever a group's status changes; must not block

	// BeforeApply is called before a replica applies a log entry. A simulation waits in it for as long as the entry would keep the
	// processor busy. It may be nil.
	BeforeApply func(shard shards.ID)

	// Limits that tests lower so that a short run reaches them; 0 selects the default.
	SnapshotEntries   uint64 // log entries after which a group's log is compacted
	RememberedChanges int    // accepted configuration changes that are remembered to recognize repeats

	// Safety checks that tests omit to show that the simulation detects their absence.
	OmitGuards             []Guard
	OmitConsensusRules     []consensus.Rule
	OmitConfigurationRules []configuration.Rule
}

func (e Environment) withDefaults() Environment {
	if e.FileSystem == nil {
		e.FileSystem = seglog.OSFileSystem{}
	}
	if e.Now == nil {
		e.Now = time.Now
	}
	if e.Random == nil {
		e.Random = rand.Uint64
	}
	if e.Dial == nil {
		e.Dial = peertransport.Dial
	}
	if e.Listen == nil {
		e.Listen = peertransport.Listen
	}
	if e.OnGroupStatus == nil {
		e.OnGroupStatus = func(replica.Status) {}
	}
	return e
}

// guardEnabled reports whether a guard is enforced.
func (e Environment) guardEnabled(guard Guard) bool { return !slices.Contains(e.OmitGuards, guard) }

// stateMachine returns the state machine that a shard's replica runs.
func (e Environment) stateMachine(shard *shard) replica.StateMachine {
	if e.BeforeApply == nil {
		return shard.stateMachine
	}
	return observedStateMachine{StateMachine: shard.stateMachine, beforeApply: func() { e.BeforeApply(shard.id) }}
}

// observedStateMachine is a state machine that calls a function before it applies an entry.
type observedStateMachine struct {
	replica.StateMachine
	beforeApply func()
}

// Apply implements replica.StateMachine.
func (m observedStateMachine) Apply(entry consensus.Entry) any {
	m.beforeApply()
	return m.StateMachine.Apply(entry)
}

// clockStart is the initial value of the groups' clock, which must be above 0.
const clockStart = time.Second

// groupClock is the monotonic clock that all groups of one server share.
type groupClock struct {
	now   func() time.Time
	start time.Time
}

// Now returns the time since the server was opened, plus clockStart.
func (c groupClock) Now() time.Duration { return clockStart + c.now().Sub(c.start) }
