package registry

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func TestLivenessTracker_Expired_afterTimeout(t *testing.T) {
	s := newSimulatedShard()
	s.gainOwnership()
	instances := workers(4)
	s.register(instances)
	s.advance(expiryTimeout, instances...)
	s.advance(expiryTimeout-tick, instances[1:]...)
	if len(s.store.Instances("")) != 4 {
		t.Fatalf("%d instances are registered one tick before the timeout, want 4", len(s.store.Instances("")))
	}
	s.advance(tick, instances[1:]...)
	if len(s.store.Instances("")) != 3 || s.store.Instance("i00") != nil {
		t.Fatalf("instances after the timeout of i00 are %+v, want the other 3", s.store.Instances(""))
	}
	if action, code := s.heartbeat(instances[0], 0); action != Propose || code != Recorded {
		t.Fatalf("heartbeat of an expired instance: action %v, code %v; want %v, %v", action, code, Propose, Recorded)
	}
}

func TestNewLivenessTracker_minTimeout(t *testing.T) {
	for heartbeat, want := range map[time.Duration]time.Duration{
		100 * time.Millisecond: defaultMinTimeout,
		time.Second:            4 * time.Second,
		3 * time.Second:        12 * time.Second,
	} {
		if tracker := NewLivenessTracker(heartbeat, LivenessOptions{}); tracker.timeout != want {
			t.Errorf("heartbeat interval %v: timeout %v, want %v", heartbeat, tracker.timeout, want)
		}
	}
}

func TestLivenessTracker_OwnershipGained_grantsFullTimeout(t *testing.T) {
	s := newSimulatedShard()
	s.gainOwnership()
	instances := workers(4)
	for number, instance := range instances {
		s.heartbeat(instance, uint64(5+number))
	}
	s.advance(expiryTimeout - tick)
	s.gainOwnership()
	s.advance(expiryTimeout-tick, instances[1:]...)
	if len(s.store.Instances("")) != 4 {
		t.Fatalf("%d instances are registered one tick before the timeout of the new ownership, want 4", len(s.store.Instances("")))
	}
	s.advance(tick, instances[1:]...)
	if len(s.store.Instances("")) != 3 {
		t.Fatalf("%d instances are registered, want 3: one whose sequences the new owner does not know must expire, too", len(s.store.Instances("")))
	}
}

func TestLivenessTracker_Expired_graceAfterStall(t *testing.T) {
	s := newSimulatedShard()
	s.gainOwnership()
	instances := workers(4)
	s.register(instances)
	s.advance(expiryTimeout, instances...)
	s.now = s.now.Add(time.Minute)
	if s.expire() != 0 {
		t.Fatal("instances expired immediately after a stall of the process")
	}
	s.advance(expiryTimeout-tick, instances[1:]...)
	if len(s.store.Instances("")) != 4 {
		t.Fatalf("%d instances are registered one tick before the timeout after the stall, want 4", len(s.store.Instances("")))
	}
	s.advance(tick, instances[1:]...)
	if len(s.store.Instances("")) != 3 {
		t.Fatalf("%d instances are registered at the timeout after the stall, want 3", len(s.store.Instances("")))
	}
}

func TestLivenessTracker_Expired_sparesMajority(t *testing.T) {
	s := newSimulatedShard()
	s.gainOwnership()
	instances := workers(10)
	s.register(instances)
	s.advance(expiryTimeout, instances...)
	s.advance(10*expiryTimeout, instances[6:]...)
	if len(s.store.Instances("")) != 10 {
		t.Fatalf("%d instances are registered after 6 of 10 timed out, want all 10", len(s.store.Instances("")))
	}
	s.advance(expiryTimeout, instances[5:]...)
	if len(s.store.Instances("")) != 5 {
		t.Fatalf("%d instances are registered after 5 of 10 timed out, want 5", len(s.store.Instances("")))
	}
}

func TestLivenessTracker_Expired_sparesOnlyInstance(t *testing.T) {
	s := newSimulatedShard()
	s.gainOwnership()
	s.register(workers(1))
	s.advance(5 * expiryTimeout)
	if len(s.store.Instances("")) != 1 {
		t.Fatal("the only instance of a service expired")
	}
	successor := worker(2)
	s.advance(expiryTimeout, successor)
	if s.store.Instance("i00") != nil {
		t.Fatal("a timed-out instance did not expire after another instance registered")
	}
}

func TestLivenessTracker_Expired_countsServicesSeparately(t *testing.T) {
	s := newSimulatedShard()
	s.gainOwnership()
	instances := workers(4)
	instances[2].Service, instances[3].Service = "other", "other"
	s.register(instances)
	s.advance(expiryTimeout, instances...)
	s.advance(2*expiryTimeout, instances[0], instances[2])
	if len(s.store.Instances("")) != 2 {
		t.Fatalf("instances after half of each service timed out are %+v, want 2", s.store.Instances(""))
	}
}

func TestLivenessTracker_Expired_drainingRegardlessOfLimit(t *testing.T) {
	s := newSimulatedShard()
	s.gainOwnership()
	instances := workers(4)
	for number := range instances[:3] {
		instances[number].State = Draining
	}
	s.register(instances)
	s.advance(2 * expiryTimeout)
	if len(s.store.Instances("")) != 1 {
		t.Fatalf("instances after all timed out are %+v, want only the ready one", s.store.Instances(""))
	}
}

func TestLivenessTracker_Expired_nodesReturn(t *testing.T) {
	s := newSimulatedShard()
	s.gainOwnership()
	instances := workers(4)
	for number := range instances {
		instances[number].Service = NodesService
	}
	s.register(instances)
	s.heartbeat(instances[0], 900)
	if action, _ := s.heartbeat(instances[0], 3); action != Acknowledge {
		t.Fatalf("action for a node's heartbeat with a lower sequence is %v, want %v", action, Acknowledge)
	}
	s.advance(2*expiryTimeout, instances[1:]...)
	if len(s.store.Instances(NodesService)) != 3 {
		t.Fatalf("nodes after the timeout of one are %+v, want 3", s.store.Instances(NodesService))
	}
	if action, code := s.heartbeat(instances[0], 4); action != Propose || code != Recorded {
		t.Fatalf("heartbeat of an expired node: action %v, code %v; want %v, %v", action, code, Propose, Recorded)
	}
	s.deregister(instances[0].ID)
	if action, code := s.heartbeat(instances[0], 1); action != Propose || code != Recorded {
		t.Fatalf("heartbeat of a restarted node with the ID of a deregistered one: action %v, code %v; want %v, %v", action, code, Propose, Recorded)
	}
}

func TestLivenessTracker_Expired_proposesLostRemovalAgain(t *testing.T) {
	s := newSimulatedShard()
	s.gainOwnership()
	instances := workers(4)
	s.register(instances)
	s.advance(expiryTimeout, instances...)
	s.dropProposals = true
	s.advance(expiryTimeout, instances[1:]...)
	if s.expire() != 0 {
		t.Fatal("a removal was proposed again within the timeout")
	}
	s.dropProposals = false
	s.advance(expiryTimeout, instances[1:]...)
	if len(s.store.Instances("")) != 3 {
		t.Fatalf("%d instances are registered, want 3: the lost removal was not proposed again", len(s.store.Instances("")))
	}
}

func TestLivenessTracker_Heartbeat_cancelsLostRemoval(t *testing.T) {
	s := newSimulatedShard()
	s.gainOwnership()
	instances := workers(4)
	s.register(instances)
	s.advance(expiryTimeout, instances...)
	s.dropProposals = true
	s.advance(expiryTimeout, instances[1:]...)
	s.dropProposals = false
	if action, code := s.heartbeat(instances[0], 0); action != Propose || code != Unchanged {
		t.Fatalf("heartbeat during a pending removal: action %v, code %v; want %v, %v", action, code, Propose, Unchanged)
	}
	s.advance(2*expiryTimeout, instances...)
	if action, _ := s.heartbeat(instances[0], 0); action != Acknowledge || s.store.Instance("i00") == nil {
		t.Fatalf("action for a heartbeat after the lost removal is %v and the record is %+v; want %v and a record", action, s.store.Instance("i00"), Acknowledge)
	}
}

func TestLivenessTracker_clockMovingBackwards(t *testing.T) {
	s := newSimulatedShard()
	s.gainOwnership()
	s.register(workers(4))
	if commands := s.tracker.Expired(s.now.Add(-time.Hour)); commands != nil {
		t.Fatalf("Expired returned %d commands after the clock moved backwards, want none", len(commands))
	}
	s.now = s.now.Add(tick)
	if s.expire() != 0 {
		t.Fatal("instances expired after the clock moved backwards and forwards again")
	}
}

func TestLivenessTracker_Expired_atMostHalfPerWindow(t *testing.T) {
	totalExpired := 0
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(propertySeed + 7))
	properties.Property("at most half of a service expires within the window", prop.ForAll(
		func(count int, stops []uint16) bool {
			s := newSimulatedShard()
			s.gainOwnership()
			instances := workers(count)
			s.register(instances)
			stopTimes := map[int]time.Time{}
			for position, stopTicks := range stops {
				number := position % count
				stopTimes[number] = s.now.Add(time.Duration(stopTicks%300) * tick)
			}
			expired, withinLimit := s.simulateExpiry(instances, stopTimes)
			totalExpired += expired
			return withinLimit && s.allLiveRegistered(instances, stopTimes)
		},
		gen.IntRange(1, 12), gen.SliceOf(gen.UInt16()),
	))
	properties.TestingRun(t)
	if totalExpired < 50 {
		t.Fatalf("only %d instances expired in all runs, want at least 50: the property was hardly exercised", totalExpired)
	}
}

// simulateExpiry advances the time while each instance sends heartbeats until its stop time, if it has one. It returns how
// many instances expired, and whether at most half of the instances expired within each window.
func (s *simulatedShard) simulateExpiry(instances []Instance, stopTimes map[int]time.Time) (total int, withinLimit bool) {
	var expiries []time.Time
	for round := 0; round < 400; round++ {
		s.now = s.now.Add(tick)
		for number, instance := range instances {
			if stopTime, stopped := stopTimes[number]; !stopped || s.now.Before(stopTime) {
				s.heartbeat(instance, 0)
			}
		}
		before := len(s.store.Instances(""))
		expired := s.expire()
		for range expired {
			expiries = append(expiries, s.now)
		}
		total += expired
		inWindow := 0
		for _, at := range expiries {
			if s.now.Sub(at) <= defaultExpiryWindow {
				inWindow++
			}
		}
		// All instances that expired in the window were registered at its start.
		if 2*inWindow > before-expired+inWindow {
			return total, false
		}
	}
	return total, true
}

// allLiveRegistered reports whether the store has all instances that sent a heartbeat within the timeout.
func (s *simulatedShard) allLiveRegistered(instances []Instance, stopTimes map[int]time.Time) bool {
	for number, instance := range instances {
		stopTime, stopped := stopTimes[number]
		if (!stopped || s.now.Before(stopTime.Add(expiryTimeout))) && s.store.Instance(instance.ID) == nil {
			return false
		}
	}
	return true
}
