package server

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/controlplane/registry"
	"ospreybend/internal/controlplane/roleplanner"
	"ospreybend/internal/util/bootconfig"
)

const stagedService = "llm"

// scriptedWorkerClient plays the workers that a server calls.
type scriptedWorkerClient struct {
	mutex  sync.Mutex
	orders []RoleCommand
	status int
	before func(order RoleCommand)
	stages map[string]string // by ID, as polled
	asked  int
}

func (w *scriptedWorkerClient) SendRoleCommand(_ context.Context, order RoleCommand) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.before != nil {
		w.before(order)
	}
	w.orders = append(w.orders, order)
	return w.status
}

func (w *scriptedWorkerClient) ReportedRole(_ context.Context, instance, _ string) string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.asked++
	return w.stages[instance]
}

func (w *scriptedWorkerClient) commands() []RoleCommand {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]RoleCommand(nil), w.orders...)
}

// rolePlannerFixture is a server that owns the shard of a service with two prefill and seven decode workers.
type rolePlannerFixture struct {
	*testing.T
	server  *Server
	group   *scriptedGroup
	workers *scriptedWorkerClient
	id      shards.ID
	roles   shardRoles
	now     time.Time // of the scene's clock
}

func newRolePlannerFixture(t *testing.T) *rolePlannerFixture {
	s, groups, _ := newScriptedServer(t)
	scene := &rolePlannerFixture{T: t, server: s, id: shards.ForService(stagedService), workers: &scriptedWorkerClient{status: http.StatusAccepted}, now: s.startedAt}
	s.environment.Now = func() time.Time { return scene.now }
	scene.group = groups[scene.id]
	s.environment.Workers = scene.workers
	index := uint64(0)
	machine := s.registryMachine(scene.id)
	scene.group.submit = func(_ context.Context, data []byte) (any, error) {
		scene.workers.mutex.Lock()
		defer scene.workers.mutex.Unlock()
		index++
		return machine.Apply(consensus.Entry{Index: index, Data: data}), nil
	}
	for i := range 9 {
		stage := roleplanner.Decode
		if i < 2 {
			stage = roleplanner.Prefill
		}
		instance := registry.Instance{ID: fmt.Sprint("w", i), Service: stagedService, Address: fmt.Sprintf("10.0.0.%d:80", i+1), Stage: stage}
		index++
		machine.Apply(consensus.Entry{Index: index, Data: registry.EncodePut(instance, 1)})
	}
	scene.becomeOwner(3)
	return scene
}

// becomeOwner makes the server the owner in a term.
func (s *rolePlannerFixture) becomeOwner(term uint64) {
	status := leaderStatus()
	status.Term = term
	s.group.set(status)
	machine := s.server.registryMachine(s.id)
	machine.setLeaderTerm(term)
	machine.ownershipGained(s.now, term)
}

// run plays a time in the loop's steps, while proxies report a demand that needs more readers.
func (s *rolePlannerFixture) run(span time.Duration) {
	for end := s.now.Add(span); s.now.Before(end); s.now = s.now.Add(rolePlanInterval) {
		report, err := roleplanner.EncodeReport([]roleplanner.ServiceDemand{{Service: stagedService, Demand: roleplanner.Demand{
			Offered: 30, Started: 30, Prefill: 3, PrefillDone: 1.9, PrefillTime: 10, Slots: 0.4}}})
		if err != nil {
			s.Fatal(err)
		}
		s.server.OnReport(feedtransport.Hello{Node: "edge-1"}, feedtransport.TopicDemand, report)
		for id, sums := range s.server.demands.byShard(s.server.uptime()) {
			body, _ := roleplanner.EncodeReport(sums)
			s.server.execute(s.Context(), shardRequest{Kind: callDemand, Shard: id, ID: "self", Body: body})
		}
		s.server.planShardRoles(s.Context(), s.server.shards[s.id], &s.roles)
	}
}

func TestServer_PlanShardRoles_newOwnerWaitsOutEarlierLease(t *testing.T) {
	s := newRolePlannerFixture(t)
	lease := bootconfig.Millis(s.server.settings.Bounds.LeaseMs)
	s.run(lease)
	if orders := s.workers.commands(); len(orders) != 0 {
		s.Fatalf("%+v", orders)
	}
	s.run(4 * time.Second)
	orders := s.workers.commands()
	if len(orders) == 0 {
		s.Fatal("no order")
	}
	for _, order := range orders {
		if order.FencingToken != 3 || order.LeaseHolder != s.server.settings.NodeName || order.Role != roleplanner.Prefill || order.Address == "" {
			s.Fatalf("%+v", order)
		}
	}
	s.becomeOwner(7)
	before := len(orders)
	s.run(lease)
	if after := s.workers.commands(); len(after) != before {
		s.Fatalf("%d orders within the lease of the term before", len(after)-before)
	}
}

func TestServer_PlanShardRoles_ownerWithoutQuorumContactSendsNothing(t *testing.T) {
	s := newRolePlannerFixture(t)
	status := leaderStatus()
	status.ConfirmedAge = 2 * currentMaxAge
	s.group.set(status)
	s.run(20 * time.Second)
	if orders := s.workers.commands(); len(orders) != 0 {
		s.Fatalf("%+v", orders)
	}
}

func TestServer_PlanShardRoles_nonOwnerSendsNothing(t *testing.T) {
	s := newRolePlannerFixture(t)
	s.run(5 * time.Second)
	before := len(s.workers.commands())
	s.group.set(followerStatus("b"))
	s.server.registryMachine(s.id).setLeaderTerm(0)
	s.run(20 * time.Second)
	if after := len(s.workers.commands()); after != before || s.roles.term != 0 {
		s.Fatalf("%d orders", after-before)
	}
}

func TestServer_PlanShardRoles_assignmentIsRecordedBeforeCommand(t *testing.T) {
	s := newRolePlannerFixture(t)
	early := 0
	s.workers.before = func(order RoleCommand) {
		if s.server.registryMachine(s.id).store.Instance(order.Instance).Assigned != order.Role {
			early++
		}
	}
	s.run(6 * time.Second)
	if len(s.workers.commands()) == 0 || early > 0 {
		s.Fatalf("%d of %d orders came before their record", early, len(s.workers.commands()))
	}
}

func TestServer_PlanShardRoles_completedTransitionIsRecordedWithoutHeartbeat(t *testing.T) {
	s := newRolePlannerFixture(t)
	s.run(6 * time.Second)
	if s.workers.asked == 0 {
		s.Fatal("no worker was asked")
	}
	s.workers.stages = map[string]string{}
	for _, order := range s.workers.commands() {
		s.workers.stages[order.Instance] = roleplanner.Prefill
	}
	s.run(time.Second)
	for id := range s.workers.stages {
		if stage := s.server.registryMachine(s.id).store.Instance(id).Stage; stage != roleplanner.Prefill {
			s.Fatalf("%s is recorded as %s", id, stage)
		}
	}
}

func TestServer_OnReport_invalidDemandIsDropped(t *testing.T) {
	s, _, _ := newScriptedServer(t)
	s.OnReport(feedtransport.Hello{Node: "edge-1"}, feedtransport.TopicDemand, []byte{9, 9})
	s.OnReport(feedtransport.Hello{Node: "edge-1"}, feedtransport.TopicSuspicion, nil)
	if sums := s.demands.byShard(0); len(sums) != 0 {
		t.Fatal(sums)
	}
}

func TestCommandResult(t *testing.T) {
	for status, expected := range map[int]roleplanner.Result{
		200: roleplanner.Accepted, 202: roleplanner.Accepted, 409: roleplanner.Busy, 503: roleplanner.Busy, 0: roleplanner.Busy,
		400: roleplanner.Rejected, 412: roleplanner.Rejected, 421: roleplanner.Rejected,
	} {
		if result := commandResult(status); result != expected {
			t.Errorf("%d is %d", status, result)
		}
	}
}
