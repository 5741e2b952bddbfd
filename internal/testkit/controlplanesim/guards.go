package controlplanesim

import (
	"fmt"
	"slices"
	"strings"

	"ospreybend/coord/consensus"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/server"
)

// Prefixes of guard names, by component.
const (
	serverPrefix        = "keeper."
	consensusPrefix     = "agreement."
	configurationPrefix = "configuration."
)

// GuardLeaveStale makes an agent disconnect from a server whose state is not current.
const GuardLeaveStale = "agent.leave-stale"

// Guards returns the names of all guards that a schedule can omit.
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
	return append(names, GuardLeaveStale, GuardCommandBounded)
}

// omissions are the guards and rules that a schedule omits, grouped by component.
type omissions struct {
	server        []server.Guard
	consensus     []consensus.Rule
	configuration []configuration.Rule
	leaveStale    bool

	commandBounded bool
}

func parseOmissions(names []string) (omissions, error) {
	var out omissions
	for _, name := range names {
		if !slices.Contains(Guards(), name) {
			return out, fmt.Errorf("unknown guard %q in the list of omitted guards", name)
		}
		switch {
		case name == GuardLeaveStale:
			out.leaveStale = true
		case name == GuardCommandBounded:
			out.commandBounded = true
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
