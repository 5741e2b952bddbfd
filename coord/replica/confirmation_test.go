package replica

import (
	"testing"
	"time"

	"ospreybend/coord/consensus"
)

// confirmedAt makes the scripted node a follower that its leader confirmed at a time, and returns the age that the group publishes.
func (s *scriptedLoop) confirmAt(at, iterateAfter time.Duration) time.Duration {
	s.node.status.Role = consensus.RoleFollower
	s.node.status.ConfirmedAt = at
	s.iterate(iterateAfter)
	return s.loop.currentStatus().ConfirmedAge
}

// TestEventLoop_confirmationAfterStall freezes a follower's loop for 3 s: a confirmation by a message that it reads right afterwards does
// not count, also later; the next one does.
func TestEventLoop_confirmationAfterStall(t *testing.T) {
	const (
		freeze   = 3 * time.Second
		interval = DefaultHeartbeatInterval
	)
	s := newScriptedLoop()
	before := s.clock.now + interval
	if age := s.confirmAt(before, interval); age != 0 {
		t.Fatalf("age %v when confirmed, want 0", age)
	}
	stale := before + freeze
	if age := s.confirmAt(stale, freeze); age != freeze {
		t.Errorf("age %v after an old message, want %v", age, freeze)
	}
	if age := s.confirmAt(stale, interval); age != freeze+interval {
		t.Errorf("age %v without another message, want %v", age, freeze+interval)
	}
	if age := s.confirmAt(stale+2*interval, interval); age != 0 {
		t.Errorf("age %v after a new message, want 0", age)
	}
}

// TestEventLoop_confirmationOfIdleFollower lets a follower wait for its leader for 3 s: it runs meanwhile, so that the first message counts.
func TestEventLoop_confirmationOfIdleFollower(t *testing.T) {
	s := newScriptedLoop()
	before := s.clock.now
	s.confirmAt(before, 0)
	for s.clock.now < before+3*time.Second {
		s.confirmAt(before, s.loop.nextWakeUp()-s.clock.now)
	}
	if age := s.confirmAt(s.clock.now, 0); age != 0 {
		t.Errorf("age %v after a message, want 0", age)
	}
}

// TestEventLoop_leaderAfterStall freezes a leader: its followers' replies count from when the heartbeats were sent, so none is old.
func TestEventLoop_leaderAfterStall(t *testing.T) {
	s := newScriptedLoop()
	s.iterate(time.Second)
	s.node.status.ConfirmedAt = s.clock.now + time.Second
	s.iterate(3 * time.Second)
	if age := s.loop.currentStatus().ConfirmedAge; age != 2*time.Second {
		t.Errorf("age %v, want 2s", age)
	}
}
