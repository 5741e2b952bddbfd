package registry

import "testing"

// remoteHeartbeat reports to the tracker that another server has acknowledged heartbeats with a sequence.
func (s *shard) remoteHeartbeat(sequence uint64, ids ...string) {
	for _, id := range ids {
		s.tracker.RemoteHeartbeat(s.now, id, sequence)
	}
}

func TestLivenessTracker_RemoteHeartbeat_renews(t *testing.T) {
	s := newShard()
	s.gain()
	list := workers(4)
	s.register(list)
	for range 5 {
		s.advance(expiryTimeout-tick, list[1:]...)
		s.remoteHeartbeat(unnumbered, list[0].ID)
	}
	if len(s.store.Instances("")) != 4 {
		t.Fatal("an instance that sends heartbeats to another server has expired")
	}
	s.advance(expiryTimeout, list[1:]...)
	if s.store.Instance(list[0].ID) != nil {
		t.Fatal("it must expire once no server receives its heartbeats")
	}
}

func TestLivenessTracker_RemoteHeartbeat_ignoresStale(t *testing.T) {
	s := newShard()
	s.gain()
	list := workers(4)
	s.register(list)
	s.heartbeat(list[0], 9)
	s.advance(expiryTimeout-tick, list[1:]...)
	s.remoteHeartbeat(8, list[0].ID)
	s.advance(tick, list[1:]...)
	if s.store.Instance(list[0].ID) != nil {
		t.Fatal("a heartbeat from before the last one counts")
	}
}

func TestLivenessTracker_RemoteHeartbeat_ignoresUnknown(t *testing.T) {
	s := newShard()
	s.remoteHeartbeat(1, "i00") // not owned
	s.gain()
	s.register(workers(4))
	s.remoteHeartbeat(1, "unknown")
	s.deregister("i00")
	s.remoteHeartbeat(2, "i00")
	if len(s.tracker.instances) != 3 {
		t.Fatalf("%d instances are known", len(s.tracker.instances))
	}
}

func TestLivenessTracker_RemoteHeartbeat_ignoresPendingRemoval(t *testing.T) {
	s := newShard()
	s.gain()
	list := workers(4)
	s.register(list)
	s.stalled = true
	s.advance(expiryTimeout, list[1:]...)
	s.remoteHeartbeat(unnumbered, list[0].ID)
	if liveness := s.tracker.instances[list[0].ID]; !liveness.removalPending || liveness.lastHeartbeat.Equal(s.now) {
		t.Fatal("an instance whose removal is proposed was taken as present")
	}
}
