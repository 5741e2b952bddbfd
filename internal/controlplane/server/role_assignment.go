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

// WorkerCaller calls workers for the control plane.
type WorkerCaller interface {
	// Order gives a worker an order and returns the status of its answer, 0 if there is none.
	Order(ctx context.Context, order StageOrder) (status int)
	// Stage asks a worker for its stage; empty: it did not tell, or changes it just now.
	Stage(ctx context.Context, instance, address string) string
}

// StageOrder is one order to a worker to change its stage.
type StageOrder struct {
	Instance string // the worker's ID
	Address  string // "ip:port"
	Stage    string
	Holder   string // the machine that gives it
	Fence    uint64 // rises with every change of the holder
}

// stageShard is what the holder of a shard's services knows of their stages.
type stageShard struct {
	term        uint64    // of the ownership that this belongs to; 0: none
	since       time.Time // when it began
	controllers map[string]*roleplanner.Planner
}

// controlStages has the workers of services change their stages as the demand asks, for the shards that this keeper
// owns, until ctx ends. All state but what is replicated ends with the ownership.
func (k *Keeper) controlStages(ctx context.Context) {
	var held [shards.Count]stageShard
	every(ctx, stagesInterval, func() {
		for _, shard := range k.shards {
			if shard.id != shards.Configuration {
				k.controlShard(ctx, shard, &held[shard.id])
			}
		}
	})
}

// controlShard takes one step for the services of a shard.
func (k *Keeper) controlShard(ctx context.Context, shard *shard, held *stageShard) {
	status := shard.group.Status()
	machine := k.instances(shard.id)
	if !status.IsLeader() || !machine.ownedIn(status.Term) {
		*held = stageShard{}
		return
	}
	now := k.outside.Now()
	if held.term != status.Term {
		*held = stageShard{term: status.Term, since: now, controllers: map[string]*roleplanner.Planner{}}
	}
	if now.Sub(held.since) < holderRest(k.settings.Bounds) || !current(status) {
		return
	}
	demands := k.demands.of(k.sinceStart(), shard.id)
	for service, workers := range machine.stagedWorkers() {
		controller := held.controllers[service]
		if controller == nil {
			controller = roleplanner.NewPlanner()
			held.controllers[service] = controller
		}
		plan := controller.Plan(k.sinceStart(), workers, demands[service], k.configuration().switchTime(service))
		k.noteStages(service, controller.Status())
		k.assign(ctx, shard, service, plan.Assignments)
		k.order(ctx, shard, status, controller, plan.Commands)
		k.recordTurned(ctx, shard, plan.Polls)
	}
}

// holderRest is how long a new owner gives no orders: those of the owner before it must have been given a lease earlier.
func holderRest(bounds bootconfig.Bounds) time.Duration {
	return bootconfig.Millis(bounds.LeaseMs) + holderMargin
}

// assign records the stages that workers are to have. What fails is decided on anew.
func (k *Keeper) assign(ctx context.Context, shard *shard, service string, assignments []roleplanner.Assignment) {
	commands := make([][]byte, 0, len(assignments))
	for _, one := range assignments {
		commands = append(commands, registry.EncodeAssign(one.ID, one.Stage))
		k.log.Info("stage wanted", zap.String("service", service), zap.String("worker", one.ID), zap.String("stage", one.Stage))
	}
	k.proposeAll(ctx, shard, commands)
}

// proposeAll proposes commands at the same time and waits until they are applied, or for assignBudget.
func (k *Keeper) proposeAll(ctx context.Context, shard *shard, commands [][]byte) {
	if len(commands) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, assignBudget)
	defer cancel()
	var group errgroup.Group
	for _, command := range commands {
		group.Go(func() error {
			_, _, err := shard.group.Propose(ctx, command)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		k.log.Info("not all stages were recorded", zap.Uint32("shard", uint32(shard.id)), zap.Error(err))
	}
}

// recordTurned asks workers for their stages and records those that have the stage that is wanted.
func (k *Keeper) recordTurned(ctx context.Context, shard *shard, questions []roleplanner.Command) {
	stages := make([]string, len(questions))
	var group errgroup.Group
	for i, one := range questions {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, orderBudget)
			defer cancel()
			stages[i] = k.outside.Orders.Stage(ctx, one.ID, one.Address)
			return nil
		})
	}
	_ = group.Wait()
	var commands [][]byte
	for i, one := range questions {
		if stages[i] == one.Stage {
			commands = append(commands, registry.EncodeStage(one.ID, one.Stage))
		}
	}
	k.proposeAll(ctx, shard, commands)
}

// order gives workers orders, all at once, and waits for their answers.
func (k *Keeper) order(ctx context.Context, shard *shard, status replica.Status, controller *roleplanner.Planner, orders []roleplanner.Command) {
	type ended struct {
		id     string
		status int
	}
	done := make(chan ended, len(orders))
	for _, one := range orders {
		k.background.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, orderBudget)
			defer cancel()
			answered := 0
			if now := shard.group.Status(); now.IsLeader() && now.Term == status.Term && current(now) {
				answered = k.outside.Orders.Order(ctx, StageOrder{
					Instance: one.ID, Address: one.Address, Stage: one.Stage, Holder: k.settings.NodeName, Fence: status.Term,
				})
			}
			done <- ended{one.ID, answered}
		})
	}
	for range orders {
		one := <-done
		controller.CommandFinished(one.id, resultOfOrder(one.status))
		k.metrics.countOrder(one.status)
		k.log.Info("stage ordered", zap.String("worker", one.id), zap.Int("status", one.status))
	}
}

// resultOfOrder tells what a worker's answer to an order means.
func resultOfOrder(status int) roleplanner.Result {
	switch status {
	case statusOK, statusAccepted:
		return roleplanner.Accepted
	case statusBadRequest, statusPreconditionFailed, statusMisdirected:
		return roleplanner.Rejected
	default:
		return roleplanner.Busy
	}
}

// noteStages keeps how a service stands for the figures, and logs a new decision.
func (k *Keeper) noteStages(service string, state roleplanner.Status) {
	before := k.metrics.setStages(service, state)
	if before.TargetPrefill == state.TargetPrefill && (state.Demand == (roleplanner.Demand{}) || k.sinceStart()%stagesLogged >= stagesInterval) {
		return
	}
	k.log.Info("stages", zap.String("service", service), zap.Int("wanted", state.TargetPrefill),
		zap.Int("readers", state.PrefillWorkers), zap.Int("writers", state.DecodeWorkers), zap.Int("turning", state.Transitioning),
		zap.Float64("read", state.Demand.Prefill), zap.Float64("readDone", state.Demand.PrefillDone), zap.Float64("slots", state.Demand.Slots),
		zap.Float64("memory", state.Demand.Memory), zap.Float64("moves", state.Demand.Transfers))
}

// ownedIn tells whether this replica owns the shard, in a term.
func (m *registryMachine) ownedIn(term uint64) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.owned && m.leading == term
}

// stagedWorkers lists the workers of the services that have stages, by service, in the order of their IDs.
func (m *registryMachine) stagedWorkers() map[string][]roleplanner.Worker {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	services := map[string][]roleplanner.Worker{}
	for _, instance := range m.store.Instances("") {
		if instance.Stage != roleplanner.Prefill && instance.Stage != roleplanner.Decode {
			continue
		}
		services[instance.Service] = append(services[instance.Service], roleplanner.Worker{
			ID: instance.ID, Address: instance.Address, Zone: instance.Zone, Stage: instance.Stage,
			Assigned: instance.Assigned, Draining: instance.State == registry.Draining,
		})
	}
	return services
}
