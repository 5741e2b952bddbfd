package registry

import (
	"fmt"
	"math/rand"
	"testing"
)

// finalRemovals are the ways in which an instance is removed for good.
var finalRemovals = map[string]func(t *testing.T, s *shard, ready, draining Instance){
	"drains, then deregisters": func(_ *testing.T, s *shard, ready, draining Instance) {
		s.heartbeat(ready, 1)
		s.heartbeat(draining, 6)
		s.deregister(ready.ID)
	},
	"deregisters without draining": func(_ *testing.T, s *shard, ready, _ Instance) {
		s.heartbeat(ready, 1)
		s.heartbeat(ready, 5)
		s.deregister(ready.ID)
	},
	"deregisters before its first heartbeat": func(_ *testing.T, s *shard, ready, _ Instance) { s.deregister(ready.ID) },
	"deregisters after it expired": func(t *testing.T, s *shard, ready, _ Instance) {
		t.Helper()
		s.register(workers(4))
		s.heartbeat(ready, 1)
		s.advance(2*expiryTimeout, worker(0), worker(2), worker(3))
		if s.store.Instance(ready.ID) != nil {
			t.Fatal("it did not expire")
		}
		s.deregister(ready.ID)
	},
}

// ownershipChanges are what may happen to the owner of a shard between a removal and late heartbeats.
var ownershipChanges = map[string]func(t *testing.T, s *shard){
	"the same owner": func(*testing.T, *shard) {},
	"a new owner":    func(_ *testing.T, s *shard) { s.gain() },
	"a restart": func(t *testing.T, s *shard) {
		t.Helper()
		restored := NewStore()
		if err := restored.Restore(s.store.Snapshot()); err != nil {
			t.Fatal(err)
		}
		s.store = restored
		s.gain()
	},
}

// All heartbeats of an instance that is removed for good arrive late, at each possible owner.
func TestLivenessTracker_lateHeartbeatsDoNotRevive(t *testing.T) {
	ready := worker(1)
	draining := ready
	draining.State = Draining
	for removal, remove := range finalRemovals {
		for change, apply := range ownershipChanges {
			s := newShard()
			s.gain()
			remove(t, s, ready, draining)
			apply(t, s)
			for _, sequence := range []uint64{0, 1, 3, 5, 6, 7, 99} {
				for _, late := range []Instance{ready, draining} {
					s.heartbeat(late, sequence)
					s.tracker.RemoteHeartbeat(s.now, late.ID, sequence)
				}
			}
			if s.store.Instance(ready.ID) != nil {
				t.Errorf("%s, %s: it is back", removal, change)
			}
		}
	}
}

// Heartbeats from before a drain arrive late, at the same owner and at a new one.
func TestLivenessTracker_lateHeartbeatsDoNotRevokeDrain(t *testing.T) {
	draining := worker(1)
	draining.State = Draining
	for _, newOwner := range []bool{false, true} {
		s := newShard()
		s.gain()
		s.heartbeat(worker(1), 1)
		s.heartbeat(worker(1), 4)
		s.heartbeat(draining, 5)
		if newOwner {
			s.gain()
		}
		for _, sequence := range []uint64{0, 1, 2, 4, 5} {
			s.heartbeat(worker(1), sequence)
		}
		if current := s.store.Instance(worker(1).ID); current == nil || current.State != Draining {
			t.Errorf("new owner %v: %+v", newOwner, current)
		}
	}
}

// The heartbeats of an instance arrive in random order, each possibly twice, with changes of the owner between them. The
// record must agree with the last one.
func TestLivenessTracker_reorderedHeartbeatsConverge(t *testing.T) {
	for seed := range int64(500) {
		random := rand.New(rand.NewSource(seed))
		s := newShard()
		s.gain()
		states := []State{Ready, Ready, Ready, Draining, Draining}
		deregisters := random.Intn(2) == 0
		order := append(random.Perm(len(states)), random.Perm(len(states))...)
		departure := random.Intn(len(order))
		for position, number := range order {
			if deregisters && position == departure {
				s.deregister(worker(1).ID)
			}
			late := worker(1)
			late.State = states[number]
			s.heartbeat(late, uint64(number+1))
			if random.Intn(4) == 0 {
				s.gain()
			}
		}
		current := s.store.Instance(worker(1).ID)
		if deregisters && current != nil || !deregisters && (current == nil || current.State != Draining) {
			t.Fatal(fmt.Sprintf("seed %d: deregisters %v, order %v:", seed, deregisters, order), current)
		}
	}
}

// TestStore_Knows_afterDeregistration distinguishes deregistrations of known and of unknown instances.
func TestStore_Knows_afterDeregistration(t *testing.T) {
	s := newShard()
	s.gain()
	s.heartbeat(worker(1), 1)
	if !s.store.Knows("i01") || s.store.Knows("i02") {
		t.Fatal("a registered instance must be known, another one not")
	}
	s.deregister("i01")
	s.deregister("i02")
	if !s.store.Knows("i01") || s.store.Knows("i02") || !s.store.Removed("i01") || !s.store.Removed("i02") {
		t.Fatal("a deregistration must not change that")
	}
	s.apply(EncodePut(worker(3), 1))
	s.apply(EncodeRemove("i03", Expired, 1))
	s.apply(EncodeRemove("i03", NeverRegistered, 0))
	if !s.store.Knows("i03") || !s.store.Removed("i03") {
		t.Fatal("an expired instance had a record")
	}
}
