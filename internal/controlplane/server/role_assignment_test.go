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

// stagedService is a service whose workers have prefill and decode roles.
const stagedService = "llm"

// scriptedWorkerClient records role commands and answers them, and polls, as a test sets.
type scriptedWorkerClient struct {
	mutex  sync.Mutex
	sent   []RoleCommand
	status int                       // answer to every command
	before func(command RoleCommand) // called before a command is recorded, if not nil
	roles  map[string]string         // reported roles by instance ID
	silent map[string]bool           // workers that do not answer polls, by instance ID
	polls  int                       // number of polls so far
}

func (w *scriptedWorkerClient) SendRoleCommand(_ context.Context, command RoleCommand, permitted func() bool) CommandDelivery {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.before != nil {
		w.before(command)
	}
	if !permitted() {
		return CommandDelivery{Err: errNotPermitted}
	}
	w.sent = append(w.sent, command)
	return CommandDelivery{Status: w.status}
}

func (w *scriptedWorkerClient) Report(_ context.Context, instance, _ string) WorkerReport {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.polls++
	return WorkerReport{Answered: !w.silent[instance], Role: w.roles[instance]}
}

func (w *scriptedWorkerClient) commands() []RoleCommand {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]RoleCommand(nil), w.sent...)
}

// rolePlannerFixture is a server that owns the shard of stagedService, which has two prefill and seven decode workers.
type rolePlannerFixture struct {
	*testing.T
	server  *Server
	group   *scriptedGroup
	workers *scriptedWorkerClient
	id      shards.ID
	roles   shardRoles
	now     time.Time // the server's clock
}

func newRolePlannerFixture(t *testing.T) *rolePlannerFixture {
	s, groups, _ := newScriptedServer(t)
	fixture := &rolePlannerFixture{T: t, server: s, id: shards.ForService(stagedService), workers: &scriptedWorkerClient{status: http.StatusAccepted}, now: s.startedAt}
	s.environment.Now = func() time.Time { return fixture.now }
	fixture.group = groups[fixture.id]
	s.environment.Workers = fixture.workers
	index := uint64(0)
	machine := s.registryMachine(fixture.id)
	fixture.group.onPropose = func(_ context.Context, data []byte) (any, error) {
		fixture.workers.mutex.Lock()
		defer fixture.workers.mutex.Unlock()
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
	fixture.becomeOwner(3)
	return fixture
}

// becomeOwner makes the server the owner of the service's shard in a term.
func (f *rolePlannerFixture) becomeOwner(term uint64) {
	status := leaderStatus()
	status.Term = term
	f.group.set(status)
	machine := f.server.registryMachine(f.id)
	machine.setLeaderTerm(term)
	machine.ownershipGained(f.now, term)
}

// run advances the clock by a duration in planning steps, while a proxy reports a demand that needs more prefill workers.
func (f *rolePlannerFixture) run(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(rolePlanInterval) {
		report, err := roleplanner.EncodeReport([]roleplanner.ServiceDemand{{Service: stagedService, Demand: roleplanner.Demand{
			Offered: 30, Started: 30, Prefill: 3, PrefillDone: 1.9, PrefillTime: 10, Slots: 0.4}}})
		if err != nil {
			f.Fatal(err)
		}
		f.server.OnReport(feedtransport.Hello{Node: "edge-1"}, feedtransport.TopicDemand, report)
		for id, sums := range f.server.demands.byShard(f.server.uptime()) {
			body, _ := roleplanner.EncodeReport(sums)
			f.server.execute(f.Context(), shardRequest{Kind: callDemand, Shard: id, ID: "self", Body: body})
		}
		f.server.planShardRoles(f.Context(), f.server.shards[f.id], &f.roles)
		f.server.lifecycle.background.Wait() // the polls of a new owner
	}
}

func TestServer_PlanShardRoles_newOwnerWaitsOutEarlierLease(t *testing.T) {
	fixture := newRolePlannerFixture(t)
	lease := bootconfig.Millis(fixture.server.settings.Bounds.LeaseMs)
	fixture.run(lease)
	if commands := fixture.workers.commands(); len(commands) != 0 {
		fixture.Fatalf("a new owner sent %+v within the earlier owner's lease, want no command", commands)
	}
	fixture.run(4 * time.Second)
	commands := fixture.workers.commands()
	if len(commands) == 0 {
		fixture.Fatal("no command was sent in the 4 seconds after the lease")
	}
	for _, command := range commands {
		if command.FencingToken != 3 || command.LeaseHolder != fixture.server.settings.NodeName || command.Role != roleplanner.Prefill || command.Address == "" {
			fixture.Fatalf("command %+v, want the role prefill, token 3, holder %q and an address", command, fixture.server.settings.NodeName)
		}
	}
	fixture.becomeOwner(7)
	before := len(commands)
	fixture.run(lease)
	if after := fixture.workers.commands(); len(after) != before {
		fixture.Fatalf("%d commands were sent within the lease of the earlier term, want none", len(after)-before)
	}
}

// A worker that an earlier owner knew may be paused with a command of that owner in its sockets, until it answers.
func TestServer_PlanShardRoles_silentWorkersAreHeld(t *testing.T) {
	fixture := newRolePlannerFixture(t)
	fixture.workers.silent = map[string]bool{}
	for _, worker := range fixture.server.registryMachine(fixture.id).workersByService()[stagedService] {
		fixture.workers.silent[worker.ID] = true
	}
	fixture.run(10 * time.Second)
	if commands := fixture.workers.commands(); len(commands) != 0 {
		fixture.Fatalf("%+v were sent to workers that do not answer, want none", commands)
	}
	fixture.workers.silent = nil
	answeredFrom := fixture.now
	lease := bootconfig.Millis(fixture.server.settings.Bounds.LeaseMs)
	fixture.run(lease)
	if commands := fixture.workers.commands(); len(commands) != 0 {
		fixture.Fatalf("%+v were sent within the lease after the workers answered, want none", commands)
	}
	fixture.run(2 * time.Second)
	if len(fixture.workers.commands()) == 0 {
		fixture.Fatalf("no command was sent in the %v after the workers answered", fixture.now.Sub(answeredFrom))
	}
}

func TestServer_PlanShardRoles_ownerWithoutQuorumContactSendsNothing(t *testing.T) {
	fixture := newRolePlannerFixture(t)
	status := leaderStatus()
	status.ConfirmedAge = 2 * currentMaxAge
	fixture.group.set(status)
	fixture.run(20 * time.Second)
	if commands := fixture.workers.commands(); len(commands) != 0 {
		fixture.Fatalf("an owner without contact with a majority sent %+v, want no command", commands)
	}
}

func TestServer_PlanShardRoles_nonOwnerSendsNothing(t *testing.T) {
	fixture := newRolePlannerFixture(t)
	fixture.run(5 * time.Second)
	before := len(fixture.workers.commands())
	fixture.group.set(followerStatus("b"))
	fixture.server.registryMachine(fixture.id).setLeaderTerm(0)
	fixture.run(20 * time.Second)
	if after := len(fixture.workers.commands()); after != before || fixture.roles.term != 0 {
		fixture.Fatalf("after the ownership ended, %d commands were sent and the planner is in term %d, want none and 0", after-before, fixture.roles.term)
	}
}

// The owner may lose its term while a worker takes its time to answer, before the command is written.
func TestServer_SendRoleCommand_termEndsBeforeTheWrite(t *testing.T) {
	fixture := newRolePlannerFixture(t)
	fixture.workers.before = func(RoleCommand) { fixture.group.set(followerStatus("b")) }
	fixture.run(6 * time.Second)
	if commands := fixture.workers.commands(); len(commands) != 0 {
		fixture.Fatalf("%+v were written after the term had ended, want none", commands)
	}
}

func TestServer_PlanShardRoles_assignmentIsRecordedBeforeCommand(t *testing.T) {
	fixture := newRolePlannerFixture(t)
	unrecorded := 0
	fixture.workers.before = func(command RoleCommand) {
		if fixture.server.registryMachine(fixture.id).store.Instance(command.Instance).Assigned != command.Role {
			unrecorded++
		}
	}
	fixture.run(6 * time.Second)
	if len(fixture.workers.commands()) == 0 || unrecorded > 0 {
		fixture.Fatalf("%d of %d commands were sent before the assignment was recorded, want none of at least one", unrecorded, len(fixture.workers.commands()))
	}
}

func TestServer_PlanShardRoles_completedTransitionIsRecordedWithoutHeartbeat(t *testing.T) {
	fixture := newRolePlannerFixture(t)
	fixture.run(6 * time.Second)
	if fixture.workers.polls == 0 {
		fixture.Fatal("no worker was polled")
	}
	fixture.workers.roles = map[string]string{}
	for _, command := range fixture.workers.commands() {
		fixture.workers.roles[command.Instance] = roleplanner.Prefill
	}
	fixture.run(time.Second)
	for id := range fixture.workers.roles {
		if stage := fixture.server.registryMachine(fixture.id).store.Instance(id).Stage; stage != roleplanner.Prefill {
			fixture.Fatalf("worker %s reported prefill and is recorded as %q", id, stage)
		}
	}
}

func TestServer_OnReport_invalidDemandIsDropped(t *testing.T) {
	s, _, _ := newScriptedServer(t)
	s.OnReport(feedtransport.Hello{Node: "edge-1"}, feedtransport.TopicDemand, []byte{9, 9})
	s.OnReport(feedtransport.Hello{Node: "edge-1"}, feedtransport.TopicSuspicion, nil)
	if sums := s.demands.byShard(0); len(sums) != 0 {
		t.Fatalf("after invalid reports, the demand by shard is %v, want none", sums)
	}
}

func TestCommandResult(t *testing.T) {
	for status, expected := range map[int]roleplanner.CommandResult{
		200: roleplanner.Accepted, 202: roleplanner.Accepted, 409: roleplanner.Busy, 503: roleplanner.Busy, 0: roleplanner.Busy,
		400: roleplanner.Rejected, 412: roleplanner.Rejected, 421: roleplanner.Rejected,
	} {
		if result := commandResult(status); result != expected {
			t.Errorf("result of an answer with status %d is %d, want %d", status, result, expected)
		}
	}
}
