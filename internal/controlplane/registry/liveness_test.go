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

// shard simulates the owner with its store: commands are applied as soon as they are proposed, unless stalled is set.
type shard struct {
	store    *Store
	tracker  *LivenessTracker
	now      time.Time
	index    uint64
	stalled  bool
	proposed int
}

func newShard() *shard {
	return &shard{store: NewStore(), tracker: NewLivenessTracker(heartbeatInterval, LivenessOptions{}), now: time.Unix(1000, 0)}
}

func (s *shard) gain() { s.tracker.OwnershipGained(s.now, s.store.Instances("")) }

func (s *shard) apply(entry []byte) Outcome {
	s.index++
	s.proposed++
	outcome, change := s.store.Apply(s.index, entry)
	s.tracker.Applied(s.now, change)
	return outcome
}

func (s *shard) decide(decision Decision) (Action, Code) {
	if decision.Action == Propose && !s.stalled {
		return decision.Action, s.apply(decision.Command).Code
	}
	if decision.Action == Reject {
		return decision.Action, decision.Rejection.Code
	}
	return decision.Action, 0
}

func (s *shard) heartbeat(instance Instance, sequence uint64) (Action, Code) {
	heartbeat := Heartbeat{Instance: instance, Sequence: sequence}
	return s.decide(s.tracker.Heartbeat(s.now, heartbeat, s.store.Instance(instance.ID)))
}

func (s *shard) deregister(id string) (Action, Code) {
	return s.decide(s.tracker.Deregister(s.now, id, s.store.Knows(id)))
}

// advance lets time pass in ticks; at each one, alive instances send heartbeats and others may expire.
func (s *shard) advance(duration time.Duration, alive ...Instance) {
	for end := s.now.Add(duration); s.now.Before(end); {
		s.now = s.now.Add(tick)
		for _, instance := range alive {
			s.heartbeat(instance, 0)
		}
		s.expire()
	}
}

// expire applies the removals that are due and returns their number.
func (s *shard) expire() int {
	commands := s.tracker.Expired(s.now)
	for _, command := range commands {
		if !s.stalled {
			s.apply(command)
		}
	}
	return len(commands)
}

// worker returns a numbered instance.
func worker(number int) Instance {
	return exampleInstance(fmt.Sprintf("i%02d", number), fmt.Sprintf("1.2.3.4:%d", 100+number))
}

func workers(count int) []Instance {
	list := make([]Instance, 0, count)
	for number := 0; number < count; number++ {
		list = append(list, worker(number))
	}
	return list
}

func (s *shard) register(list []Instance) {
	for _, instance := range list {
		s.heartbeat(instance, 0)
	}
}

func TestLivenessTracker_Heartbeat_proposesOnlyChanges(t *testing.T) {
	s := newShard()
	s.gain()
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
			t.Fatalf("step %d: %v, not %v", position, action, step.action)
		}
	}
	if s.store.Instance(instance.ID).State != Draining {
		t.Fatal("a late heartbeat made it ready")
	}
}

// An acknowledgement promises what the heartbeat reports, so a late one needs an entry while the later one is not applied.
func TestLivenessTracker_Heartbeat_lateWaitsForEntry(t *testing.T) {
	s := newShard()
	s.gain()
	instance := worker(1)
	s.stalled = true
	s.heartbeat(instance, 2)
	if action, _ := s.heartbeat(instance, 1); action != Propose {
		t.Fatal("acknowledged before the instance is registered")
	}
	s.stalled = false
	s.heartbeat(instance, 3)
	s.stalled = true
	instance.State = Draining
	s.heartbeat(instance, 5)
	if action, _ := s.heartbeat(instance, 4); action != Propose {
		t.Fatal("acknowledged before the drain is recorded")
	}
	s.stalled = false
	s.heartbeat(instance, 6)
	if action, _ := s.heartbeat(instance, 4); action != Acknowledge {
		t.Fatal("a late drain that is recorded costs an entry")
	}
}

func TestLivenessTracker_withoutOwnership(t *testing.T) {
	s := newShard()
	if action, code := s.heartbeat(worker(1), 1); action != Reject || code != NotOwner {
		t.Fatal(action, code)
	}
	if action, code := s.deregister("i01"); action != Reject || code != NotOwner {
		t.Fatal(action, code)
	}
	s.gain()
	s.register(workers(4))
	s.tracker.OwnershipLost()
	s.now = s.now.Add(time.Hour)
	if s.expire() != 0 {
		t.Fatal("it expires without owning")
	}
}

func TestLivenessTracker_Deregister(t *testing.T) {
	s := newShard()
	s.gain()
	if action, code := s.deregister("i04"); action != Propose || code != Gone || !s.store.Removed("i04") {
		t.Fatal("the deregistration of an unknown instance must be final", action, code)
	}
	if action, code := s.heartbeat(worker(4), 1); action != Propose || code != Gone {
		t.Fatal("a late heartbeat revived the instance", action, code)
	}
	s.heartbeat(worker(1), 5)
	if action, code := s.deregister("i01"); action != Propose || code != Removed {
		t.Fatal(action, code)
	}
	if action, code := s.heartbeat(worker(1), 9); action != Propose || code != Gone {
		t.Fatal(action, code)
	}
	s.stalled = true
	s.heartbeat(worker(2), 1)
	s.stalled = false
	if action, code := s.deregister("i02"); action != Propose || code != Gone || !s.store.Removed("i02") {
		t.Fatal("a deregistration before the registration is applied must be final", action, code)
	}
}

func TestLivenessTracker_Applied_entriesOfOthers(t *testing.T) {
	s := newShard()
	s.gain()
	s.apply(EncodePut(worker(1), 3))
	s.apply(EncodePut(worker(2), 3))
	s.tracker.Applied(s.now, feed.Change{Put: []feed.Item{{Key: "i03", Value: []byte{1}}}})
	s.advance(2*expiryTimeout, worker(2))
	if len(s.store.Instances("")) != 1 {
		t.Fatal(s.store.Instances(""))
	}
}
