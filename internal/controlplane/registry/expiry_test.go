package registry

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func TestLivenessTracker_Expired_afterTimeout(t *testing.T) {
	s := newShard()
	s.gain()
	list := workers(4)
	s.register(list)
	s.advance(expiryTimeout, list...)
	s.advance(expiryTimeout-tick, list[1:]...)
	if len(s.store.Instances("")) != 4 {
		t.Fatal("it expired too early")
	}
	s.advance(tick, list[1:]...)
	if len(s.store.Instances("")) != 3 || s.store.Instance("i00") != nil {
		t.Fatal(s.store.Instances(""))
	}
	if action, code := s.heartbeat(list[0], 0); action != Propose || code != Recorded {
		t.Fatal("it must come back", action, code)
	}
}

func TestNewLivenessTracker_minTimeout(t *testing.T) {
	for heartbeat, expected := range map[time.Duration]time.Duration{
		100 * time.Millisecond: defaultMinTimeout,
		time.Second:            4 * time.Second,
		3 * time.Second:        12 * time.Second,
	} {
		if tracker := NewLivenessTracker(heartbeat, LivenessOptions{}); tracker.timeout != expected {
			t.Errorf("%v: %v", heartbeat, tracker.timeout)
		}
	}
}

func TestLivenessTracker_OwnershipGained_grantsFullTimeout(t *testing.T) {
	s := newShard()
	s.gain()
	list := workers(4)
	for number, instance := range list {
		s.heartbeat(instance, uint64(5+number))
	}
	s.advance(expiryTimeout - tick)
	s.gain()
	s.advance(expiryTimeout-tick, list[1:]...)
	if len(s.store.Instances("")) != 4 {
		t.Fatal("it expired too early")
	}
	s.advance(tick, list[1:]...)
	if len(s.store.Instances("")) != 3 {
		t.Fatal("an instance whose numbers the new owner does not know must expire as well")
	}
}

func TestLivenessTracker_Expired_graceAfterStall(t *testing.T) {
	s := newShard()
	s.gain()
	list := workers(4)
	s.register(list)
	s.advance(expiryTimeout, list...)
	s.now = s.now.Add(time.Minute)
	if s.expire() != 0 {
		t.Fatal("expired right after the stall")
	}
	s.advance(expiryTimeout-tick, list[1:]...)
	if len(s.store.Instances("")) != 4 {
		t.Fatal("expired within the time-out")
	}
	s.advance(tick, list[1:]...)
	if len(s.store.Instances("")) != 3 {
		t.Fatal("it did not expire after the time-out")
	}
}

func TestLivenessTracker_Expired_spareMajority(t *testing.T) {
	s := newShard()
	s.gain()
	list := workers(10)
	s.register(list)
	s.advance(expiryTimeout, list...)
	s.advance(10*expiryTimeout, list[6:]...)
	if len(s.store.Instances("")) != 10 {
		t.Fatal("6 of 10 expired")
	}
	s.advance(expiryTimeout, list[5:]...)
	if len(s.store.Instances("")) != 5 {
		t.Fatal("5 of 10 did not expire")
	}
}

func TestLivenessTracker_Expired_spareOnlyInstance(t *testing.T) {
	s := newShard()
	s.gain()
	s.register(workers(1))
	s.advance(5 * expiryTimeout)
	if len(s.store.Instances("")) != 1 {
		t.Fatal("it expired")
	}
	next := worker(2)
	s.advance(expiryTimeout, next)
	if s.store.Instance("i00") != nil {
		t.Fatal("it stays beside its successor")
	}
}

func TestLivenessTracker_Expired_countsServicesSeparately(t *testing.T) {
	s := newShard()
	s.gain()
	list := workers(4)
	list[2].Service, list[3].Service = "other", "other"
	s.register(list)
	s.advance(expiryTimeout, list...)
	s.advance(2*expiryTimeout, list[0], list[2])
	if len(s.store.Instances("")) != 2 {
		t.Fatal(s.store.Instances(""))
	}
}

func TestLivenessTracker_Expired_drainingRegardlessOfLimit(t *testing.T) {
	s := newShard()
	s.gain()
	list := workers(4)
	for number := range list[:3] {
		list[number].State = Draining
	}
	s.register(list)
	s.advance(2 * expiryTimeout)
	if len(s.store.Instances("")) != 1 {
		t.Fatal(s.store.Instances(""))
	}
}

func TestLivenessTracker_Expired_nodesReturn(t *testing.T) {
	s := newShard()
	s.gain()
	list := workers(4)
	for number := range list {
		list[number].Service = NodesService
	}
	s.register(list)
	s.heartbeat(list[0], 900)
	if action, _ := s.heartbeat(list[0], 3); action != Acknowledge {
		t.Fatal(action)
	}
	s.advance(2*expiryTimeout, list[1:]...)
	if len(s.store.Instances(NodesService)) != 3 {
		t.Fatal(s.store.Instances(NodesService))
	}
	if action, code := s.heartbeat(list[0], 4); action != Propose || code != Recorded {
		t.Fatal(action, code)
	}
	s.deregister(list[0].ID)
	if action, code := s.heartbeat(list[0], 1); action != Propose || code != Recorded {
		t.Fatal("a node may start again under its ID", action, code)
	}
}

func TestLivenessTracker_Expired_proposesLostRemovalAgain(t *testing.T) {
	s := newShard()
	s.gain()
	list := workers(4)
	s.register(list)
	s.advance(expiryTimeout, list...)
	s.stalled = true
	s.advance(expiryTimeout, list[1:]...)
	if s.expire() != 0 {
		t.Fatal("proposed twice within the time-out")
	}
	s.stalled = false
	s.advance(expiryTimeout, list[1:]...)
	if len(s.store.Instances("")) != 3 {
		t.Fatal("a lost proposal was not made again")
	}
}

func TestLivenessTracker_Heartbeat_cancelsLostRemoval(t *testing.T) {
	s := newShard()
	s.gain()
	list := workers(4)
	s.register(list)
	s.advance(expiryTimeout, list...)
	s.stalled = true
	s.advance(expiryTimeout, list[1:]...)
	s.stalled = false
	if action, code := s.heartbeat(list[0], 0); action != Propose || code != Unchanged {
		t.Fatal("a heartbeat during a pending removal must be an entry", action, code)
	}
	s.advance(2*expiryTimeout, list...)
	if action, _ := s.heartbeat(list[0], 0); action != Acknowledge || s.store.Instance("i00") == nil {
		t.Fatal(action)
	}
}

func TestLivenessTracker_clockMovingBackwards(t *testing.T) {
	s := newShard()
	s.gain()
	s.register(workers(4))
	if commands := s.tracker.Expired(s.now.Add(-time.Hour)); commands != nil {
		t.Fatal(commands)
	}
	s.now = s.now.Add(tick)
	if s.expire() != 0 {
		t.Fatal("a decreasing clock was taken for a stall")
	}
}

func TestLivenessTracker_Expired_atMostHalfPerWindow(t *testing.T) {
	total := 0
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(drawnSeed + 7))
	properties.Property("at most half of a service expires within the window", prop.ForAll(
		func(count int, stops []uint16) bool {
			s := newShard()
			s.gain()
			list := workers(count)
			s.register(list)
			stoppedAt := map[int]time.Time{}
			for position, stop := range stops {
				number := position % count
				stoppedAt[number] = s.now.Add(time.Duration(stop%300) * tick)
			}
			expired, valid := s.expireAtMostHalf(list, stoppedAt)
			total += expired
			return valid && s.allLiveRegistered(list, stoppedAt)
		},
		gen.IntRange(1, 12), gen.SliceOf(gen.UInt16()),
	))
	properties.TestingRun(t)
	if total < 50 {
		t.Fatalf("only %d expired: the property was hardly exercised", total)
	}
}

// expireAtMostHalf advances time while instances send heartbeats until they stop. It returns how many expired, and reports
// whether at most half of the instances expired within each window.
func (s *shard) expireAtMostHalf(list []Instance, stoppedAt map[int]time.Time) (total int, valid bool) {
	var expiries []time.Time
	for round := 0; round < 400; round++ {
		s.now = s.now.Add(tick)
		for number, instance := range list {
			if from, stopped := stoppedAt[number]; !stopped || s.now.Before(from) {
				s.heartbeat(instance, 0)
			}
		}
		before := len(s.store.Instances(""))
		expired := s.expire()
		for range expired {
			expiries = append(expiries, s.now)
		}
		total += expired
		within := 0
		for _, at := range expiries {
			if s.now.Sub(at) <= defaultExpiryWindow {
				within++
			}
		}
		// Those that expired in the window were all registered at its start.
		if 2*within > before-expired+within {
			return total, false
		}
	}
	return total, true
}

// allLiveRegistered reports whether the store has all instances that sent a heartbeat within the time-out.
func (s *shard) allLiveRegistered(list []Instance, stoppedAt map[int]time.Time) bool {
	for number, instance := range list {
		from, stopped := stoppedAt[number]
		if (!stopped || s.now.Before(from.Add(expiryTimeout))) && s.store.Instance(instance.ID) == nil {
			return false
		}
	}
	return true
}
