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
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/peertransport"
)

// Environment is what a keeper needs of its machine. Fields that are nil stand for the operating system's; a simulation
// puts its own in their place.
type Environment struct {
	FileSystem seglog.FileSystem
	Now        func() time.Time // monotonic; called with no mutex held, so that it may wait while a process stands still
	Random     func() uint64
	Dial       func(ctx context.Context, address string) (net.Conn, error)     // of peers
	Listen     func(ctx context.Context, address string) (net.Listener, error) // for peers and agents

	Workers WorkerClient // to workers; nil: none is given, and stages are left as they are

	OnGroupStatus func(replica.Status) // told of each change of a group's status; must not block

	// What is left out, by tests alone: they show that a simulation notices the absence.
	OmitGuards []Guard
	OmitRules  []consensus.Rule
	OmitStore  []configuration.Rule
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

// guardEnabled tells whether a guard is in force.
func (e Environment) guardEnabled(guard Guard) bool { return !slices.Contains(e.OmitGuards, guard) }

// clockStart keeps the groups' clock above 0.
const clockStart = time.Second

// groupClock is the clock that all groups of one keeper share.
type groupClock struct {
	now   func() time.Time
	start time.Time
}

// Now returns the time since the keeper began, and a second.
func (c groupClock) Now() time.Duration { return clockStart + c.now().Sub(c.start) }
