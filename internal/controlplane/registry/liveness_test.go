package registry

import (
	"fmt"
	"testing"
	"time"

	"ospreybend/coord/feed"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	expiryTimeout     = 4 * heartbeatInterval
	tick              = 200 * time.Millisecond
)

// simulatedShard simulates the owner of a shard with its store. Commands are applied as soon as they are
// proposed, unless dropProposals is set.
type simulatedShard struct {
	store         *Store
	tracker       *LivenessTracker
	now           time.Time
	index         uint64 // of the latest entry of the log
	dropProposals bool   // proposed commands are lost
	proposed      int
}

func newSimulatedShard() *simulatedShard {
	return &simulatedShard{store: NewStore(), tracker: NewLivenessTracker(heartbeatInterval, LivenessOptions{}), now: time.Unix(1000, 0)}
}

func (s *simulatedShard) gainOwnership() { s.tracker.OwnershipGained(s.now, s.store.Instances("")) }

func (s *simulatedShard) apply(entry []byte) Outcome {
	s.index++
	s.proposed++
	outcome, change := s.store.Apply(s.index, entry)
	s.tracker.Applied(s.now, change)
	return outcome
}

func (s *simulatedShard) carryOut(decision Decision) (Action, Code) {
	if decision.Action == Propose && !s.dropProposals {
		return decision.Action, s.apply(decision.Command).Code
	}
	if decision.Action == Reject {
		return decision.Action, decision.Rejection.Code
	}
	return decision.Action, 0
}

func (s *simulatedShard) heartbeat(instance Instance, sequence uint64) (Action, Code) {
	heartbeat := Heartbeat{Instance: instance, Sequence: sequence}
	return s.carryOut(s.tracker.Heartbeat(s.now, heartbeat, s.store.Instance(instance.ID)))
}

func (s *simulatedShard) deregister(id string) (Action, Code) {
	return s.carryOut(s.tracker.Deregister(s.now, id, s.store.Knows(id)))
}

// advance simulates a duration in ticks. At each tick the alive instances send heartbeats, and then instances may expire.
func (s *simulatedShard) advance(duration time.Duration, alive ...Instance) {
	for end := s.now.Add(duration); s.now.Before(end); {
		s.now = s.now.Add(tick)
		for _, instance := range alive {
			s.heartbeat(instance, 0)
		}
		s.expire()
	}
}

// expire applies the commands for expired instances, unless proposals are dropped, and returns their number.
func (s *simulatedShard) expire() int {
	commands := s.tracker.Expired(s.now)
	for _, command := range commands {
		if !s.dropProposals {
			s.apply(command)
		}
	}
	return len(commands)
}

// worker returns an instance with an ID and an address of its own for each number.
func worker(number int) Instance {
	return exampleInstance(fmt.Sprintf("i%02d", number), fmt.Sprintf("1.2.3.4:%d", 100+number))
}

func workers(count int) []Instance {
	instances := make([]Instance, 0, count)
	for number := 0; number < count; number++ {
		instances = append(instances, worker(number))
	}
	return instances
}

func (s *simulatedShard) register(instances []Instance) {
	for _, instance := range instances {
		s.heartbeat(instance, 0)
	}
}

func TestLivenessTracker_Heartbeat_proposesOnlyChanges(t *testing.T) {
	s := newSimulatedShard()
	s.gainOwnership()
	instance := worker(1)
	steps := []struct {
		change   func()
		sequence uint64
		action   Action
	}{
		{func() {}, 1, Propose},
		{func() {}, 2, Acknowledge},
		{func() { instance.Stage = "prefill" }, 3, Propose},
		{func() { instance.Models = []Model{{Name: "m", Generation: 2}} }, 4, Propose},
		{func() { instance.Models = []Model{{Name: "m", Generation: 2, Adapters: []string{}}} }, 5, Acknowledge},
		{func() { instance.State = Draining }, 6, Propose},
		{func() { instance.State = Ready }, 5, Acknowledge},
		{func() { instance.State = Draining }, 7, Acknowledge},
	}
	for position, step := range steps {
		step.change()
		if action, _ := s.heartbeat(instance, step.sequence); action != step.action {
			t.Fatalf("step %d: action %v, want %v", position, action, step.action)
		}
	}
	if s.store.Instance(instance.ID).State != Draining {
		t.Fatalf("final state is %v, want %v", s.store.Instance(instance.ID).State, Draining)
	}
}

// Acknowledging a heartbeat promises that its report is recorded. A late heartbeat must therefore be proposed while the
// entry of the later one is not applied, since that entry may be lost.
func TestLivenessTracker_Heartbeat_lateWaitsForEntry(t *testing.T) {
	s := newSimulatedShard()
	s.gainOwnership()
	instance := worker(1)
	s.dropProposals = true
	s.heartbeat(instance, 2)
	if action, _ := s.heartbeat(instance, 1); action != Propose {
		t.Fatalf("action for a late heartbeat before the instance is registered is %v, want %v", action, Propose)
	}
	s.dropProposals = false
	s.heartbeat(instance, 3)
	s.dropProposals = true
	instance.State = Draining
	s.heartbeat(instance, 5)
	if action, _ := s.heartbeat(instance, 4); action != Propose {
		t.Fatalf("action for a late draining heartbeat before the drain is recorded is %v, want %v", action, Propose)
	}
	s.dropProposals = false
	s.heartbeat(instance, 6)
	if action, _ := s.heartbeat(instance, 4); action != Acknowledge {
		t.Fatalf("action for a late draining heartbeat after the drain is recorded is %v, want %v", action, Acknowledge)
	}
}

func TestLivenessTracker_withoutOwnership(t *testing.T) {
	s := newSimulatedShard()
	if action, code := s.heartbeat(worker(1), 1); action != Reject || code != NotOwner {
		t.Fatalf("heartbeat without ownership: action %v, code %v; want %v, %v", action, code, Reject, NotOwner)
	}
	if action, code := s.deregister("i01"); action != Reject || code != NotOwner {
		t.Fatalf("deregistration without ownership: action %v, code %v; want %v, %v", action, code, Reject, NotOwner)
	}
	s.gainOwnership()
	s.register(workers(4))
	s.tracker.OwnershipLost()
	s.now = s.now.Add(time.Hour)
	if s.expire() != 0 {
		t.Fatal("instances expired after the ownership was lost")
	}
}

func TestLivenessTracker_Deregister(t *testing.T) {
	s := newSimulatedShard()
	s.gainOwnership()
	if action, code := s.deregister("i04"); action != Propose || code != Gone || !s.store.PermanentlyRemoved("i04") {
		t.Fatalf("deregistration of an unknown instance: action %v, code %v; want %v, %v and a permanent removal", action, code, Propose, Gone)
	}
	if action, code := s.heartbeat(worker(4), 1); action != Propose || code != Gone {
		t.Fatalf("heartbeat after the deregistration: action %v, code %v; want %v, %v", action, code, Propose, Gone)
	}
	s.heartbeat(worker(1), 5)
	if action, code := s.deregister("i01"); action != Propose || code != Removed {
		t.Fatalf("deregistration of a registered instance: action %v, code %v; want %v, %v", action, code, Propose, Removed)
	}
	if action, code := s.heartbeat(worker(1), 9); action != Propose || code != Gone {
		t.Fatalf("heartbeat of a deregistered instance: action %v, code %v; want %v, %v", action, code, Propose, Gone)
	}
	s.dropProposals = true
	s.heartbeat(worker(2), 1)
	s.dropProposals = false
	if action, code := s.deregister("i02"); action != Propose || code != Gone || !s.store.PermanentlyRemoved("i02") {
		t.Fatalf("deregistration before the registration is applied: action %v, code %v; want %v, %v and a permanent removal", action, code, Propose, Gone)
	}
}

func TestLivenessTracker_Applied_entriesOfOthers(t *testing.T) {
	s := newSimulatedShard()
	s.gainOwnership()
	s.apply(EncodePut(worker(1), 3))
	s.apply(EncodePut(worker(2), 3))
	s.tracker.Applied(s.now, feed.Change{Put: []feed.Item{{Key: "i03", Value: []byte{1}}}})
	s.advance(2*expiryTimeout, worker(2))
	if len(s.store.Instances("")) != 1 {
		t.Fatalf("instances after i01 timed out are %+v, want only i02", s.store.Instances(""))
	}
}

// TestLivenessTracker_SetHeartbeatInterval checks that workers that send heartbeats at a longer interval than at the start don't expire.
func TestLivenessTracker_SetHeartbeatInterval(t *testing.T) {
	tracker := NewLivenessTracker(heartbeatInterval, LivenessOptions{})
	tracker.SetHeartbeatInterval(2 * heartbeatInterval)
	if tracker.timeout != 2*expiryTimeout {
		t.Fatalf("timeout is %v after the interval was doubled, want %v", tracker.timeout, 2*expiryTimeout)
	}
}
