package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/replica"
	"ospreybend/internal/controlplane/roleplanner"
)

// commandOutcome is the outcome of a role command.
type commandOutcome struct {
	worker    string    // ID
	status    int       // HTTP status of the worker's answer, 0 if there was none
	checkedAt time.Time // when leadership, term and contact with a majority were checked
	sentAt    time.Time // when the call to the worker began; zero if the check failed
}

// sendRoleCommands sends commands to workers concurrently, waits for all outcomes and reports each to the planner.
func (s *Server) sendRoleCommands(ctx context.Context, shard *shard, status replica.Status, planner *roleplanner.Planner, commands []roleplanner.Command) {
	outcomes := make(chan commandOutcome, len(commands))
	for _, command := range commands {
		s.lifecycle.background.Go(func() { outcomes <- s.sendRoleCommand(ctx, shard, status.Term, command) })
	}
	for range commands {
		outcome := <-outcomes
		planner.CommandFinished(outcome.worker, commandResult(outcome.status))
		s.metrics.countRoleCommand(outcome.status)
		s.logger.Info("role command finished", zap.Uint32("shard", uint32(shard.id)), zap.Uint64("fencingToken", status.Term),
			zap.String("worker", outcome.worker), zap.Time("checkedAt", outcome.checkedAt), zap.Time("sentAt", outcome.sentAt), zap.Int("status", outcome.status))
	}
}

// sendRoleCommand sends one command. The term is the fencing token: if this replica does not lead in that term any more, or is not
// current, it sends nothing.
func (s *Server) sendRoleCommand(ctx context.Context, shard *shard, term uint64, command roleplanner.Command) commandOutcome {
	ctx, cancel := context.WithTimeout(ctx, workerCommandTimeout)
	defer cancel()
	outcome := commandOutcome{worker: command.ID, checkedAt: s.environment.Now()}
	if status := shard.group.Status(); !status.IsLeader() || status.Term != term || !isCurrent(status) {
		return outcome
	}
	s.logger.Info("role command started", zap.Uint32("shard", uint32(shard.id)), zap.Uint64("fencingToken", term),
		zap.String("worker", command.ID), zap.String("address", command.Address), zap.String("role", command.Stage))
	outcome.sentAt = s.environment.Now()
	outcome.status = s.environment.Workers.SendRoleCommand(ctx, RoleCommand{
		Instance: command.ID, Address: command.Address, Role: command.Stage, LeaseHolder: s.settings.NodeName, FencingToken: term,
	})
	return outcome
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
