package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/replica"
	"ospreybend/internal/controlplane/roleplanner"
)

// RoleCommand tells a worker to change its role.
type RoleCommand struct {
	Instance     string // the worker's ID
	Address      string // "ip:port"
	Role         string
	LeaseHolder  string // node name of the sending server
	FencingToken uint64 // the term of the ownership, which rises with every change of owner
}

// CommandDelivery is what a sender knows of a role command.
type CommandDelivery struct {
	Status    int       // HTTP status of the worker's answer, 0 if there was none
	WrittenAt time.Time // when the command was written; zero if it was not
	Err       error     // why there is no answer
}

// commandOutcome is the outcome of a role command.
type commandOutcome struct {
	worker    string    // ID
	startedAt time.Time // when the call to the worker began
	delivery  CommandDelivery
}

// sendRoleCommands sends commands to workers concurrently, waits for all outcomes and reports each to the planner.
func (s *Server) sendRoleCommands(ctx context.Context, shard *shard, status replica.Status, planner *roleplanner.Planner, commands []roleplanner.Command) {
	outcomes := make(chan commandOutcome, len(commands))
	for _, command := range commands {
		s.lifecycle.background.Go(func() { outcomes <- s.sendRoleCommand(ctx, shard, status.Term, command) })
	}
	for range commands {
		outcome := <-outcomes
		planner.CommandFinished(outcome.worker, commandResult(outcome.delivery.Status))
		s.metrics.countRoleCommand(outcome.delivery.Status)
		s.logger.Info("role command finished", zap.Uint32("shard", uint32(shard.id)), zap.Uint64("fencingToken", status.Term),
			zap.String("worker", outcome.worker), zap.Time("startedAt", outcome.startedAt), zap.Time("writtenAt", outcome.delivery.WrittenAt),
			zap.Int("status", outcome.delivery.Status), errorText(outcome.delivery.Err))
	}
}

// sendRoleCommand sends one command. The term is the fencing token. Leadership is checked again just before the command is written, since
// the worker may take a while to answer before, and this process may have been frozen.
func (s *Server) sendRoleCommand(ctx context.Context, shard *shard, term uint64, command roleplanner.Command) commandOutcome {
	outcome := commandOutcome{worker: command.ID, startedAt: s.environment.Now()}
	permitted := func() bool {
		status := shard.group.Status()
		return status.IsLeader() && status.Term == term && isCurrent(status)
	}
	if !permitted() {
		outcome.delivery.Err = errNotPermitted
		return outcome
	}
	s.logger.Info("role command started", zap.Uint32("shard", uint32(shard.id)), zap.Uint64("fencingToken", term),
		zap.String("worker", command.ID), zap.String("address", command.Address), zap.String("role", command.Stage))
	outcome.delivery = s.environment.Workers.SendRoleCommand(ctx, RoleCommand{
		Instance: command.ID, Address: command.Address, Role: command.Stage, LeaseHolder: s.settings.NodeName, FencingToken: term,
	}, permitted)
	return outcome
}

// errorText returns a log field with an error's message, without the stack trace that zap.Error adds.
func errorText(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
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
