package server

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"ospreybend/coord/replica"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/registry"
	"ospreybend/internal/controlplane/roleplanner"
	"ospreybend/internal/util/bootconfig"
)

// WorkerClient calls workers for the control plane.
type WorkerClient interface {
	// SendRoleCommand gives a worker an order and returns the status of its answer, 0 if there is none.
	SendRoleCommand(ctx context.Context, order RoleCommand) (status int)
	// ReportedRole asks a worker for its stage; empty: it did not tell, or changes it just now.
	ReportedRole(ctx context.Context, instance, address string) string
}

// RoleCommand is one order to a worker to change its stage.
type RoleCommand struct {
	Instance     string // the worker's ID
	Address      string // "ip:port"
	Role         string
	LeaseHolder  string // the machine that gives it
	FencingToken uint64 // rises with every change of the holder
}

// shardRoles is what the holder of a shard's services knows of their stages.
type shardRoles struct {
	term     uint64    // of the ownership that this belongs to; 0: none
	since    time.Time // when it began
	planners map[string]*roleplanner.Planner
}

// runRolePlanner has the workers of services change their stages as the demand asks, for the shards that this keeper
// owns, until ctx ends. All state but what is replicated ends with the ownership.
func (s *Server) runRolePlanner(ctx context.Context) {
	var roles [shards.ShardCount]shardRoles
	runPeriodically(ctx, rolePlanInterval, func() {
		for _, shard := range s.shards {
			if shard.id != shards.ConfigurationShard {
				s.planShardRoles(ctx, shard, &roles[shard.id])
			}
		}
	})
}

// planShardRoles takes one step for the services of a shard.
func (s *Server) planShardRoles(ctx context.Context, shard *shard, roles *shardRoles) {
	status := shard.group.Status()
	machine := s.registryMachine(shard.id)
	if !status.IsLeader() || !machine.ownsInTerm(status.Term) {
		*roles = shardRoles{}
		return
	}
	now := s.environment.Now()
	if roles.term != status.Term {
		*roles = shardRoles{term: status.Term, since: now, planners: map[string]*roleplanner.Planner{}}
	}
	if now.Sub(roles.since) < newOwnerQuietPeriod(s.settings.Bounds) || !isCurrent(status) {
		return
	}
	demands := s.demands.totalByService(s.uptime(), shard.id)
	for service, workers := range machine.workersByService() {
		planner := roles.planners[service]
		if planner == nil {
			planner = roleplanner.NewPlanner()
			roles.planners[service] = planner
		}
		plan := planner.Plan(s.uptime(), workers, demands[service], s.configurationMachine().roleSwitchTime(service))
		s.recordRoleState(service, planner.Status())
		s.recordAssignments(ctx, shard, service, plan.Assignments)
		s.sendRoleCommands(ctx, shard, status, planner, plan.Commands)
		s.recordCompletedTransitions(ctx, shard, plan.Polls)
	}
}

// newOwnerQuietPeriod is how long a new owner gives no orders: those of the owner before it must have been given a lease earlier.
func newOwnerQuietPeriod(bounds bootconfig.Bounds) time.Duration {
	return bootconfig.Millis(bounds.LeaseMs) + leaseSafetyMargin
}

// recordAssignments records the stages that workers are to have. What fails is decided on anew.
func (s *Server) recordAssignments(ctx context.Context, shard *shard, service string, assignments []roleplanner.Assignment) {
	commands := make([][]byte, 0, len(assignments))
	for _, assignment := range assignments {
		commands = append(commands, registry.EncodeAssign(assignment.ID, assignment.Stage))
		s.logger.Info("stage wanted", zap.String("service", service), zap.String("worker", assignment.ID), zap.String("stage", assignment.Stage))
	}
	s.proposeAll(ctx, shard, commands)
}

// proposeAll proposes commands at the same time and waits until they are applied, or for assignBudget.
func (s *Server) proposeAll(ctx context.Context, shard *shard, commands [][]byte) {
	if len(commands) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, assignmentTimeout)
	defer cancel()
	var group errgroup.Group
	for _, command := range commands {
		group.Go(func() error {
			_, _, err := shard.group.Propose(ctx, command)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		s.logger.Info("not all stages were recorded", zap.Uint32("shard", uint32(shard.id)), zap.Error(err))
	}
}

// recordCompletedTransitions asks workers for their stages and records those that have the stage that is wanted.
func (s *Server) recordCompletedTransitions(ctx context.Context, shard *shard, polls []roleplanner.Command) {
	stages := make([]string, len(polls))
	var group errgroup.Group
	for i, poll := range polls {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, workerCommandTimeout)
			defer cancel()
			stages[i] = s.environment.Workers.ReportedRole(ctx, poll.ID, poll.Address)
			return nil
		})
	}
	_ = group.Wait()
	var commands [][]byte
	for i, poll := range polls {
		if stages[i] == poll.Stage {
			commands = append(commands, registry.EncodeStage(poll.ID, poll.Stage))
		}
	}
	s.proposeAll(ctx, shard, commands)
}

// sendRoleCommands gives workers orders, all at once, and waits for their answers.
func (s *Server) sendRoleCommands(ctx context.Context, shard *shard, status replica.Status, planner *roleplanner.Planner, commands []roleplanner.Command) {
	type ended struct {
		id     string
		status int
	}
	done := make(chan ended, len(commands))
	for _, command := range commands {
		s.lifecycle.background.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, workerCommandTimeout)
			defer cancel()
			answered := 0
			if now := shard.group.Status(); now.IsLeader() && now.Term == status.Term && isCurrent(now) {
				answered = s.environment.Workers.SendRoleCommand(ctx, RoleCommand{
					Instance: command.ID, Address: command.Address, Role: command.Stage, LeaseHolder: s.settings.NodeName, FencingToken: status.Term,
				})
			}
			done <- ended{command.ID, answered}
		})
	}
	for range commands {
		command := <-done
		planner.CommandFinished(command.id, commandResult(command.status))
		s.metrics.countRoleCommand(command.status)
		s.logger.Info("stage ordered", zap.String("worker", command.id), zap.Int("status", command.status))
	}
}

// commandResult tells what a worker's answer to an order means.
func commandResult(status int) roleplanner.Result {
	switch status {
	case statusOK, statusAccepted:
		return roleplanner.Accepted
	case statusBadRequest, statusPreconditionFailed, statusMisdirected:
		return roleplanner.Rejected
	default:
		return roleplanner.Busy
	}
}

// recordRoleState keeps how a service stands for the figures, and logs a new decision.
func (s *Server) recordRoleState(service string, state roleplanner.Status) {
	before := s.metrics.setRoleState(service, state)
	if before.TargetPrefill == state.TargetPrefill && (state.Demand == (roleplanner.Demand{}) || s.uptime()%roleLogInterval >= rolePlanInterval) {
		return
	}
	s.logger.Info("stages", zap.String("service", service), zap.Int("wanted", state.TargetPrefill),
		zap.Int("readers", state.PrefillWorkers), zap.Int("writers", state.DecodeWorkers), zap.Int("turning", state.Transitioning),
		zap.Float64("read", state.Demand.Prefill), zap.Float64("readDone", state.Demand.PrefillDone), zap.Float64("slots", state.Demand.Slots),
		zap.Float64("memory", state.Demand.Memory), zap.Float64("moves", state.Demand.Transfers))
}
