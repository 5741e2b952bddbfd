package server

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/registry"
	"ospreybend/internal/controlplane/roleplanner"
	"ospreybend/internal/util/bootconfig"
)

// WorkerClient calls workers. In the messages to and from workers, a worker's role is called its stage.
type WorkerClient interface {
	// SendRoleCommand sends a command to a worker. It calls permitted just before it writes the command, and writes nothing if the
	// result is false. The command reaches the worker's machine within commandDeliveryTimeout of the write or never.
	SendRoleCommand(ctx context.Context, command RoleCommand, permitted func() bool) CommandDelivery
	// Report polls a worker for its role.
	Report(ctx context.Context, instance, address string) WorkerReport
}

// WorkerReport is the result of polling a worker.
type WorkerReport struct {
	Answered bool   // the worker has answered
	Role     string // empty if the answer is not valid or the worker is changing its role
}

// shardRoles is the state of role planning for one owned shard. Only the role planner's loop uses it, and discards it when the
// ownership ends.
type shardRoles struct {
	term      uint64                          // of the ownership; 0 if the shard is not owned
	since     time.Time                       // start of the ownership
	planners  map[string]*roleplanner.Planner // by service
	clearance *workerClearance
}

// runRolePlanner plans and assigns the roles (prefill or decode) of the workers in the shards that this server owns, every
// rolePlanInterval until ctx ends.
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

// planShardRoles runs one planning step for the services of a shard: roleplanner.Planner makes a plan, the plan's assignments are
// recorded in the registry, and only then are its commands sent to the workers. A new owner plans nothing during
// newOwnerQuietPeriod and holds each worker back until workerClearance allows commands to it. An owner without recent contact with a
// majority plans nothing either.
func (s *Server) planShardRoles(ctx context.Context, shard *shard, roles *shardRoles) {
	status := shard.group.Status()
	machine := s.registryMachine(shard.id)
	if !status.IsLeader() || !machine.ownsInTerm(status.Term) {
		s.logRolePlanningEnd(shard, roles.term)
		*roles = shardRoles{}
		return
	}
	now := s.environment.Now()
	if roles.term != status.Term {
		s.logRolePlanningEnd(shard, roles.term)
		s.logger.Info("role planning started", zap.Uint32("shard", uint32(shard.id)), zap.Uint64("fencingToken", status.Term))
		*roles = shardRoles{
			term: status.Term, since: now, planners: map[string]*roleplanner.Planner{}, clearance: newWorkerClearance(now, machine.knownInstances()),
		}
	}
	s.pollUncleared(ctx, roles.clearance, machine.workersByService())
	if now.Sub(roles.since) < newOwnerQuietPeriod(s.currentSettings().Bounds) || !isCurrent(status) {
		return
	}
	demands := s.demands.totalByService(s.uptime(), shard.id)
	for service, workers := range machine.workersByService() {
		s.holdUncleared(roles.clearance, workers)
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

// pollUncleared polls the workers whose answer the clearance waits for, without waiting for them.
func (s *Server) pollUncleared(ctx context.Context, clearance *workerClearance, workers map[string][]roleplanner.Worker) {
	for _, worker := range clearance.duePolls(s.environment.Now(), workers) {
		s.lifecycle.background.Go(func() {
			if s.environment.Workers.Report(ctx, worker.ID, worker.Address).Answered {
				clearance.recordAnswer(worker.ID, s.environment.Now())
			}
		})
	}
}

// holdUncleared marks the workers that must not be commanded yet.
func (s *Server) holdUncleared(clearance *workerClearance, workers []roleplanner.Worker) {
	if !s.environment.guardEnabled(GuardWorkerCleared) {
		return
	}
	now, bounds := s.environment.Now(), s.currentSettings().Bounds
	for i := range workers {
		workers[i].Held = !clearance.mayCommand(workers[i].ID, now, bounds)
	}
}

// logRolePlanningEnd logs that this server does not plan roles for a shard any more in a term; a term of 0 means that it did not.
func (s *Server) logRolePlanningEnd(shard *shard, term uint64) {
	if term != 0 {
		s.logger.Info("role planning ended", zap.Uint32("shard", uint32(shard.id)), zap.Uint64("fencingToken", term))
	}
}

// newOwnerQuietPeriod returns how long a new owner plans nothing, and sends no commands to any worker.
func newOwnerQuietPeriod(bounds bootconfig.Bounds) time.Duration {
	return bootconfig.Millis(bounds.LeaseMs) + leaseSafetyMargin
}

// recordAssignments records the roles assigned to workers in the registry. An assignment that cannot be recorded is planned again in
// a later step.
func (s *Server) recordAssignments(ctx context.Context, shard *shard, service string, assignments []roleplanner.Assignment) {
	commands := make([][]byte, 0, len(assignments))
	for _, assignment := range assignments {
		commands = append(commands, registry.EncodeAssign(assignment.ID, assignment.Stage))
		s.logger.Info("role assigned", zap.String("service", service), zap.String("worker", assignment.ID), zap.String("role", assignment.Stage))
	}
	s.proposeRoles(ctx, shard, commands)
}

// proposeRoles proposes commands that record roles, and waits until they are applied, at most for assignmentTimeout.
func (s *Server) proposeRoles(ctx context.Context, shard *shard, commands [][]byte) {
	if len(commands) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, assignmentTimeout)
	defer cancel()
	if err := shard.proposeAll(ctx, commands, unlimitedProposals); err != nil {
		s.logger.Info("recording roles in the registry failed or timed out", zap.Uint32("shard", uint32(shard.id)), zap.Error(err))
	}
}

// recordCompletedTransitions polls workers for their roles and records the role of each worker that has taken its assigned one. This
// is faster than waiting for their next heartbeats.
func (s *Server) recordCompletedTransitions(ctx context.Context, shard *shard, polls []roleplanner.Command) {
	roles := make([]string, len(polls))
	var group errgroup.Group
	for i, poll := range polls {
		group.Go(func() error {
			roles[i] = s.environment.Workers.Report(ctx, poll.ID, poll.Address).Role
			return nil
		})
	}
	_ = group.Wait()
	var commands [][]byte
	for i, poll := range polls {
		if roles[i] == poll.Stage {
			commands = append(commands, registry.EncodeStage(poll.ID, poll.Stage))
		}
	}
	s.proposeRoles(ctx, shard, commands)
}

// recordRoleState records the planner's status of a service for the metrics. It logs the status when the number of workers that should
// do prefill has changed and, for a service with demand, every roleLogInterval.
func (s *Server) recordRoleState(service string, state roleplanner.Status) {
	before := s.metrics.setRoleState(service, state)
	if before.TargetPrefill == state.TargetPrefill && (state.Demand == (roleplanner.Demand{}) || s.uptime()%roleLogInterval >= rolePlanInterval) {
		return
	}
	s.logger.Info("role plan", zap.String("service", service), zap.Int("targetPrefill", state.TargetPrefill),
		zap.Int("prefillWorkers", state.PrefillWorkers), zap.Int("decodeWorkers", state.DecodeWorkers), zap.Int("transitioning", state.Transitioning),
		zap.Float64("prefillDemand", state.Demand.Prefill), zap.Float64("prefillDone", state.Demand.PrefillDone), zap.Float64("slots", state.Demand.Slots),
		zap.Float64("memory", state.Demand.Memory), zap.Float64("transfers", state.Demand.Transfers))
}
