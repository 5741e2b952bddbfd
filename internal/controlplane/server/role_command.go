package server

import (
	"context"

	"go.uber.org/zap"

	"ospreybend/coord/replica"
	"ospreybend/internal/controlplane/roleplanner"
)

// commandOutcome is the outcome of a role command.
type commandOutcome struct {
	worker string // ID
	status int    // HTTP status of the worker's answer, 0 if there was none
}

// sendRoleCommands sends commands to workers concurrently, waits for all outcomes and reports each to the planner.
func (s *Server) sendRoleCommands(ctx context.Context, shard *shard, status replica.Status, planner *roleplanner.Planner, commands []roleplanner.Command) {
	outcomes := make(chan commandOutcome, len(commands))
	for _, command := range commands {
		s.lifecycle.background.Go(func() {
			outcomes <- commandOutcome{command.ID, s.sendRoleCommand(ctx, shard, status.Term, command)}
		})
	}
	for range commands {
		outcome := <-outcomes
		planner.CommandFinished(outcome.worker, commandResult(outcome.status))
		s.metrics.countRoleCommand(outcome.status)
		s.logger.Info("role command finished", zap.String("worker", outcome.worker), zap.Int("status", outcome.status))
	}
}

// sendRoleCommand sends one command and returns the HTTP status of the answer, 0 if there is none. The term is the fencing token:
// if this replica does not lead in that term any more, or is not current, it sends nothing and returns 0.
func (s *Server) sendRoleCommand(ctx context.Context, shard *shard, term uint64, command roleplanner.Command) int {
	ctx, cancel := context.WithTimeout(ctx, workerCommandTimeout)
	defer cancel()
	if status := shard.group.Status(); !status.IsLeader() || status.Term != term || !isCurrent(status) {
		return 0
	}
	return s.environment.Workers.SendRoleCommand(ctx, RoleCommand{
		Instance: command.ID, Address: command.Address, Role: command.Stage, LeaseHolder: s.settings.NodeName, FencingToken: term,
	})
}

// commandResult classifies a worker's answer to a role command.
func commandResult(status int) roleplanner.CommandResult {
	switch status {
	case statusOK, statusAccepted:
		return roleplanner.Accepted
	case statusBadRequest, statusPreconditionFailed, statusMisdirected:
		return roleplanner.Rejected
	default:
		return roleplanner.Busy
	}
}
