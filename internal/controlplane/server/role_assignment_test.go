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

// scriptedWorkers are the workers that a keeper calls.
type scriptedWorkers struct {
	mutex  sync.Mutex
	orders []StageOrder
	status int
	before func(order StageOrder)
	stages map[string]string // by ID, as workers tell when asked
	asked  int
}

func (w *scriptedWorkers) Order(_ context.Context, order StageOrder) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.before != nil {
		w.before(order)
	}
	w.orders = append(w.orders, order)
	return w.status
}

func (w *scriptedWorkers) Stage(_ context.Context, instance, _ string) string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.asked++
	return w.stages[instance]
}

func (w *scriptedWorkers) given() []StageOrder {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]StageOrder(nil), w.orders...)
}

// stagedScene is a keeper that owns the shard of a service with two readers and seven writers.
type stagedScene struct {
	*testing.T
	keeper  *Keeper
	group   *scriptedGroup
	workers *scriptedWorkers
	id      shards.ID
	held    stageShard
	now     time.Time // of the scene's clock
}

func newStagedScene(t *testing.T) *stagedScene {
	k, groups, _ := scripted(t)
	scene := &stagedScene{T: t, keeper: k, id: shards.Of(stagedService), workers: &scriptedWorkers{status: http.StatusAccepted}, now: k.started}
	k.outside.Now = func() time.Time { return scene.now }
	scene.group = groups[scene.id]
	k.outside.Orders = scene.workers
	index := uint64(0)
	machine := k.instances(scene.id)
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
	scene.own(3)
	return scene
}

// own makes the keeper the owner in a term.
func (s *stagedScene) own(term uint64) {
	status := leaderStatus()
	status.Term = term
	s.group.set(status)
	machine := s.keeper.instances(s.id)
	machine.setLeading(term)
	machine.gained(s.now, term)
}

// run plays a time in the loop's steps, while proxies report a demand that needs more readers.
func (s *stagedScene) run(span time.Duration) {
	for end := s.now.Add(span); s.now.Before(end); s.now = s.now.Add(stagesInterval) {
		report, err := roleplanner.EncodeReport([]roleplanner.ServiceDemand{{Service: stagedService, Demand: roleplanner.Demand{
			Offered: 30, Started: 30, Prefill: 3, PrefillDone: 1.9, PrefillTime: 10, Slots: 0.4}}})
		if err != nil {
			s.Fatal(err)
		}
		s.keeper.OnReport(feedtransport.Hello{Node: "edge-1"}, feedtransport.TopicDemand, report)
		for id, sums := range s.keeper.demands.byShard(s.keeper.sinceStart()) {
			body, _ := roleplanner.EncodeReport(sums)
			s.keeper.execute(s.Context(), call{Kind: callDemand, Shard: id, ID: "self", Body: body})
		}
		s.keeper.controlShard(s.Context(), s.keeper.shards[s.id], &s.held)
	}
}

func TestANewOwnerGivesNoOrderWithinTheLeaseOfTheOneBefore(t *testing.T) {
	s := newStagedScene(t)
	lease := bootconfig.Millis(s.keeper.settings.Bounds.LeaseMs)
	s.run(lease)
	if orders := s.workers.given(); len(orders) != 0 {
		s.Fatalf("%+v", orders)
	}
	s.run(4 * time.Second)
	orders := s.workers.given()
	if len(orders) == 0 {
		s.Fatal("no order")
	}
	for _, order := range orders {
		if order.Fence != 3 || order.Holder != s.keeper.settings.NodeName || order.Stage != roleplanner.Prefill || order.Address == "" {
			s.Fatalf("%+v", order)
		}
	}
	s.own(7)
	before := len(orders)
	s.run(lease)
	if after := s.workers.given(); len(after) != before {
		s.Fatalf("%d orders within the lease of the term before", len(after)-before)
	}
}

func TestAnOwnerWithoutContactGivesNoOrder(t *testing.T) {
	s := newStagedScene(t)
	status := leaderStatus()
	status.ConfirmedAge = 2 * currencyAge
	s.group.set(status)
	s.run(20 * time.Second)
	if orders := s.workers.given(); len(orders) != 0 {
		s.Fatalf("%+v", orders)
	}
}

func TestAKeeperThatDoesNotOwnTheShardGivesNoOrder(t *testing.T) {
	s := newStagedScene(t)
	s.run(5 * time.Second)
	before := len(s.workers.given())
	s.group.set(followerOf("b"))
	s.keeper.instances(s.id).setLeading(0)
	s.run(20 * time.Second)
	if after := len(s.workers.given()); after != before || s.held.term != 0 {
		s.Fatalf("%d orders", after-before)
	}
}

func TestAStageIsRecordedAsWantedBeforeItIsOrdered(t *testing.T) {
	s := newStagedScene(t)
	early := 0
	s.workers.before = func(order StageOrder) {
		if s.keeper.instances(s.id).store.Instance(order.Instance).Assigned != order.Stage {
			early++
		}
	}
	s.run(6 * time.Second)
	if len(s.workers.given()) == 0 || early > 0 {
		s.Fatalf("%d of %d orders came before their record", early, len(s.workers.given()))
	}
}

func TestAWorkerThatHasTurnedIsRecordedWithoutItsHeartbeat(t *testing.T) {
	s := newStagedScene(t)
	s.run(6 * time.Second)
	if s.workers.asked == 0 {
		s.Fatal("no worker was asked")
	}
	s.workers.stages = map[string]string{}
	for _, order := range s.workers.given() {
		s.workers.stages[order.Instance] = roleplanner.Prefill
	}
	s.run(time.Second)
	for id := range s.workers.stages {
		if stage := s.keeper.instances(s.id).store.Instance(id).Stage; stage != roleplanner.Prefill {
			s.Fatalf("%s is recorded as %s", id, stage)
		}
	}
}

func TestDemandThatIsNoReportIsDropped(t *testing.T) {
	k, _, _ := scripted(t)
	k.OnReport(feedtransport.Hello{Node: "edge-1"}, feedtransport.TopicDemand, []byte{9, 9})
	k.OnReport(feedtransport.Hello{Node: "edge-1"}, feedtransport.TopicSuspicion, nil)
	if sums := k.demands.byShard(0); len(sums) != 0 {
		t.Fatal(sums)
	}
}

func TestResultsOfOrders(t *testing.T) {
	for status, expected := range map[int]roleplanner.Result{
		200: roleplanner.Accepted, 202: roleplanner.Accepted, 409: roleplanner.Busy, 503: roleplanner.Busy, 0: roleplanner.Busy,
		400: roleplanner.Rejected, 412: roleplanner.Rejected, 421: roleplanner.Rejected,
	} {
		if result := resultOfOrder(status); result != expected {
			t.Errorf("%d is %d", status, result)
		}
	}
}
