package controlplanesim

import (
	"fmt"
	"slices"
	"strings"

	"ospreybend/coord/consensus"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/server"
)

// Prefixes of the names of guards, by what they guard.
const (
	serverPrefix        = "keeper."
	consensusPrefix     = "agreement."
	configurationPrefix = "configuration."
)

// GuardLeaveStale has an agent leave a server that is not current.
const GuardLeaveStale = "agent.leave-stale"

// Guards lists the names that a schedule can leave out.
func Guards() []string {
	var names []string
	for _, guard := range server.Guards() {
		names = append(names, serverPrefix+string(guard))
	}
	for _, rule := range consensus.Rules() {
		names = append(names, consensusPrefix+string(rule))
	}
	for _, rule := range configuration.Rules() {
		names = append(names, configurationPrefix+string(rule))
	}
	return append(names, GuardLeaveStale)
}

// omissions is what a schedule leaves out, sorted by what it guards.
type omissions struct {
	server        []server.Guard
	consensus     []consensus.Rule
	configuration []configuration.Rule
	leaveStale    bool
}

func parseOmissions(names []string) (omissions, error) {
	var out omissions
	for _, name := range names {
		if !slices.Contains(Guards(), name) {
			return out, fmt.Errorf("no such guard: %q", name)
		}
		switch {
		case name == GuardLeaveStale:
			out.leaveStale = true
		case strings.HasPrefix(name, serverPrefix):
			out.server = append(out.server, server.Guard(strings.TrimPrefix(name, serverPrefix)))
		case strings.HasPrefix(name, consensusPrefix):
			out.consensus = append(out.consensus, consensus.Rule(strings.TrimPrefix(name, consensusPrefix)))
		default:
			out.configuration = append(out.configuration, configuration.Rule(strings.TrimPrefix(name, configurationPrefix)))
		}
	}
	return out, nil
}
