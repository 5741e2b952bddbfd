package registry

import "testing"

// remoteHeartbeat tells the tracker that another server has acknowledged a heartbeat with this sequence from each instance.
func (s *simulatedShard) remoteHeartbeat(sequence uint64, ids ...string) {
	for _, id := range ids {
		s.tracker.RemoteHeartbeat(s.now, id, sequence)
	}
}

func TestLivenessTracker_RemoteHeartbeat_renews(t *testing.T) {
	s := newSimulatedShard()
	s.gainOwnership()
	instances := workers(4)
	s.register(instances)
	for range 5 {
		s.advance(expiryTimeout-tick, instances[1:]...)
		s.remoteHeartbeat(noSequence, instances[0].ID)
	}
	if len(s.store.Instances("")) != 4 {
		t.Fatalf("%d instances are registered, want 4: one that sends its heartbeats to another server has expired", len(s.store.Instances("")))
	}
	s.advance(expiryTimeout, instances[1:]...)
	if s.store.Instance(instances[0].ID) != nil {
		t.Fatal("an instance did not expire although no server received its heartbeats for the timeout")
	}
}

func TestLivenessTracker_RemoteHeartbeat_ignoresStale(t *testing.T) {
	s := newSimulatedShard()
	s.gainOwnership()
	instances := workers(4)
	s.register(instances)
	s.heartbeat(instances[0], 9)
	s.advance(expiryTimeout-tick, instances[1:]...)
	s.remoteHeartbeat(8, instances[0].ID)
	s.advance(tick, instances[1:]...)
	if s.store.Instance(instances[0].ID) != nil {
		t.Fatal("a remote heartbeat with a lower sequence than the last one renewed the registration")
	}
}

func TestLivenessTracker_RemoteHeartbeat_ignoresUnknown(t *testing.T) {
	s := newSimulatedShard()
	s.remoteHeartbeat(1, "i00") // not owned
	s.gainOwnership()
	s.register(workers(4))
	s.remoteHeartbeat(1, "unknown")
	s.deregister("i00")
	s.remoteHeartbeat(2, "i00")
	if len(s.tracker.instances) != 3 {
		t.Fatalf("the tracker has %d instances, want 3", len(s.tracker.instances))
	}
}

func TestLivenessTracker_RemoteHeartbeat_ignoresPendingRemoval(t *testing.T) {
	s := newSimulatedShard()
	s.gainOwnership()
	instances := workers(4)
	s.register(instances)
	s.dropProposals = true
	s.advance(expiryTimeout, instances[1:]...)
	s.remoteHeartbeat(noSequence, instances[0].ID)
	if liveness := s.tracker.instances[instances[0].ID]; !liveness.removalPending || liveness.lastHeartbeat.Equal(s.now) {
		t.Fatalf("a remote heartbeat renewed an instance with a pending removal: %+v", *liveness)
	}
}
