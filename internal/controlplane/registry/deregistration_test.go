package registry

import (
	"math/rand"
	"testing"
)

// permanentRemovals are the ways in which an instance is removed permanently.
var permanentRemovals = map[string]func(t *testing.T, s *simulatedShard, ready, draining Instance){
	"drains, then deregisters": func(_ *testing.T, s *simulatedShard, ready, draining Instance) {
		s.heartbeat(ready, 1)
		s.heartbeat(draining, 6)
		s.deregister(ready.ID)
	},
	"deregisters without draining": func(_ *testing.T, s *simulatedShard, ready, _ Instance) {
		s.heartbeat(ready, 1)
		s.heartbeat(ready, 5)
		s.deregister(ready.ID)
	},
	"deregisters before its first heartbeat": func(_ *testing.T, s *simulatedShard, ready, _ Instance) { s.deregister(ready.ID) },
	"deregisters after it expired": func(t *testing.T, s *simulatedShard, ready, _ Instance) {
		t.Helper()
		s.register(workers(4))
		s.heartbeat(ready, 1)
		s.advance(2*expiryTimeout, worker(0), worker(2), worker(3))
		if s.store.Instance(ready.ID) != nil {
			t.Fatalf("instance %s did not expire within twice the timeout", ready.ID)
		}
		s.deregister(ready.ID)
	},
}

// ownershipChanges are the changes of a shard's owner that may happen between a removal and late heartbeats.
var ownershipChanges = map[string]func(t *testing.T, s *simulatedShard){
	"the same owner": func(*testing.T, *simulatedShard) {},
	"a new owner":    func(_ *testing.T, s *simulatedShard) { s.gainOwnership() },
	"a restart": func(t *testing.T, s *simulatedShard) {
		t.Helper()
		restored := NewStore()
		if err := restored.Restore(s.store.Snapshot()); err != nil {
			t.Fatal(err)
		}
		s.store = restored
		s.gainOwnership()
	},
}

// Heartbeats of an instance may arrive after its permanent removal, at the same owner, a new one or a restarted one.
// They must not register the instance again.
func TestLivenessTracker_lateHeartbeatsDoNotRevive(t *testing.T) {
	ready := worker(1)
	draining := ready
	draining.State = Draining
	for removal, remove := range permanentRemovals {
		for ownership, changeOwner := range ownershipChanges {
			s := newSimulatedShard()
			s.gainOwnership()
			remove(t, s, ready, draining)
			changeOwner(t, s)
			for _, sequence := range []uint64{0, 1, 3, 5, 6, 7, 99} {
				for _, late := range []Instance{ready, draining} {
					s.heartbeat(late, sequence)
					s.tracker.RemoteHeartbeat(s.now, late.ID, sequence)
				}
			}
			if s.store.Instance(ready.ID) != nil {
				t.Errorf("instance that %s, %s: a late heartbeat registered it again", removal, ownership)
			}
		}
	}
}

// Heartbeats from before a drain may arrive late, at the same owner or a new one. They must not make the instance ready.
func TestLivenessTracker_lateHeartbeatsDoNotRevokeDrain(t *testing.T) {
	draining := worker(1)
	draining.State = Draining
	for _, newOwner := range []bool{false, true} {
		s := newSimulatedShard()
		s.gainOwnership()
		s.heartbeat(worker(1), 1)
		s.heartbeat(worker(1), 4)
		s.heartbeat(draining, 5)
		if newOwner {
			s.gainOwnership()
		}
		for _, sequence := range []uint64{0, 1, 2, 4, 5} {
			s.heartbeat(worker(1), sequence)
		}
		if current := s.store.Instance(worker(1).ID); current == nil || current.State != Draining {
			t.Errorf("new owner %v: record after late heartbeats is %+v, want a draining instance", newOwner, current)
		}
	}
}

// The heartbeats of an instance arrive in random order, each of them twice, with changes of the owner in between. The
// instance must end up in the state of its last heartbeat, or removed if it deregistered.
func TestLivenessTracker_reorderedHeartbeatsConverge(t *testing.T) {
	for seed := range int64(500) {
		random := rand.New(rand.NewSource(seed))
		s := newSimulatedShard()
		s.gainOwnership()
		states := []State{Ready, Ready, Ready, Draining, Draining}
		deregisters := random.Intn(2) == 0
		order := append(random.Perm(len(states)), random.Perm(len(states))...)
		deregisterAt := random.Intn(len(order))
		for position, number := range order {
			if deregisters && position == deregisterAt {
				s.deregister(worker(1).ID)
			}
			late := worker(1)
			late.State = states[number]
			s.heartbeat(late, uint64(number+1))
			if random.Intn(4) == 0 {
				s.gainOwnership()
			}
		}
		current := s.store.Instance(worker(1).ID)
		if deregisters && current != nil || !deregisters && (current == nil || current.State != Draining) {
			t.Fatalf("seed %d, deregisters %v, order %v: final record is %+v, want a draining instance, or none if it deregisters", seed, deregisters, order, current)
		}
	}
}

func TestStore_Knows_afterDeregistration(t *testing.T) {
	s := newSimulatedShard()
	s.gainOwnership()
	s.heartbeat(worker(1), 1)
	if !s.store.Knows("i01") || s.store.Knows("i02") {
		t.Fatalf("Knows is %v for the registered i01 and %v for the unregistered i02, want true and false", s.store.Knows("i01"), s.store.Knows("i02"))
	}
	s.deregister("i01")
	s.deregister("i02")
	if !s.store.Knows("i01") || s.store.Knows("i02") || !s.store.PermanentlyRemoved("i01") || !s.store.PermanentlyRemoved("i02") {
		t.Fatalf("after both deregistered, i01: Knows %v, PermanentlyRemoved %v, want true, true; i02: Knows %v, PermanentlyRemoved %v, want false, true",
			s.store.Knows("i01"), s.store.PermanentlyRemoved("i01"), s.store.Knows("i02"), s.store.PermanentlyRemoved("i02"))
	}
	s.apply(EncodePut(worker(3), 1))
	s.apply(EncodeRemove("i03", Expired, 1))
	s.apply(EncodeRemove("i03", NeverRegistered, 0))
	if !s.store.Knows("i03") || !s.store.PermanentlyRemoved("i03") {
		t.Fatalf("after i03 expired and deregistered as never registered: Knows %v, PermanentlyRemoved %v, want true, true", s.store.Knows("i03"), s.store.PermanentlyRemoved("i03"))
	}
}
