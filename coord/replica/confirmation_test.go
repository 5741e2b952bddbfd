package replica

import (
	"testing"
	"time"

	"ospreybend/coord/consensus"
)

// confirmAt makes the scripted node a follower that its leader confirmed at the given time, iterates the event loop and returns
// the published ConfirmedAge.
func (s *scriptedLoop) confirmAt(at, iterateAfter time.Duration) time.Duration {
	s.node.status.Role = consensus.RoleFollower
	s.node.status.ConfirmedAt = at
	s.iterate(iterateAfter)
	return s.loop.currentStatus().ConfirmedAge
}

// TestEventLoop_confirmationAfterStall stalls a follower's event loop for 3 s. A confirmation by a message that is read right
// afterwards must not count, not even later; the next confirmation must count.
func TestEventLoop_confirmationAfterStall(t *testing.T) {
	const (
		freeze   = 3 * time.Second
		interval = DefaultHeartbeatInterval
	)
	s := newScriptedLoop()
	before := s.clock.now + interval
	if age := s.confirmAt(before, interval); age != 0 {
		t.Fatalf("ConfirmedAge is %v right after a confirmation, want 0", age)
	}
	stale := before + freeze
	if age := s.confirmAt(stale, freeze); age != freeze {
		t.Errorf("ConfirmedAge is %v after a message that may be old, want %v", age, freeze)
	}
	if age := s.confirmAt(stale, interval); age != freeze+interval {
		t.Errorf("ConfirmedAge is %v one interval later without another message, want %v", age, freeze+interval)
	}
	if age := s.confirmAt(stale+2*interval, interval); age != 0 {
		t.Errorf("ConfirmedAge is %v after a new message, want 0", age)
	}
}

// TestEventLoop_confirmationOfIdleFollower leaves a follower without messages for 3 s. Its event loop iterates meanwhile, so that
// it does not count as stalled and the next confirmation counts.
func TestEventLoop_confirmationOfIdleFollower(t *testing.T) {
	s := newScriptedLoop()
	before := s.clock.now
	s.confirmAt(before, 0)
	for s.clock.now < before+3*time.Second {
		s.confirmAt(before, s.loop.nextWakeUp()-s.clock.now)
	}
	if age := s.confirmAt(s.clock.now, 0); age != 0 {
		t.Errorf("ConfirmedAge is %v after the first message, want 0", age)
	}
}

// TestEventLoop_leaderAfterStall stalls a leader for 3 s. Replies of followers count from the time at which the heartbeats were
// sent, so the stall does not make them misleading.
func TestEventLoop_leaderAfterStall(t *testing.T) {
	s := newScriptedLoop()
	s.iterate(time.Second)
	s.node.status.ConfirmedAt = s.clock.now + time.Second
	s.iterate(3 * time.Second)
	if age := s.loop.currentStatus().ConfirmedAge; age != 2*time.Second {
		t.Errorf("ConfirmedAge is %v, want 2s", age)
	}
}
