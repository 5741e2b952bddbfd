package replica

import (
	"testing"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog/seglogtest"
)

// wipedAmidStorm returns a storm in which a member's place is taken by one with an empty disk of little room, after
// the log was compacted: it is being sent a snapshot that it cannot keep.
func wipedAmidStorm(t *testing.T, room int64) (*storm, *peer) {
	t.Helper()
	s := newStorm(t)
	gone := s.peers[1]
	s.down(gone, 10*time.Second)
	s.remove(gone)
	member := testMember(9, false)
	added := s.add(member, nil)
	added.disk.Room = room
	s.changeMembers(consensus.MembershipChange{Remove: gone.member.ID})
	s.changeMembers(consensus.MembershipChange{Add: &member})
	return s, added
}

// TestFullDiskAmidAReceivedSnapshot has a new member receive a snapshot on a disk that fills at many places of it: it
// says nothing that rests on it, the others go on, and it is current once there is room, also after a loss of power.
func TestFullDiskAmidAReceivedSnapshot(t *testing.T) {
	for round, room := range []int64{0, 1, 40, stormState / 3, stormState - 1, stormState + 40, stormState + 400} {
		s, added := wipedAmidStorm(t, room)
		before := s.made
		s.forDuration(3 * time.Second)
		if s.made-before < 60 {
			t.Errorf("room %d: %d changes in three seconds", room, s.made-before)
		}
		if matched := matchedOf(s, added); room < stormState && matched > 0 {
			t.Errorf("room %d: the member has acknowledged entry %d", room, matched)
		}
		if round%2 == 0 {
			s.restart(added, true, uint64(round))
		}
		added.disk.Room = seglogtest.Unlimited
		took := s.pass("current", testDuration, func() bool { return s.current(added) })
		if took > catchUpBound {
			t.Errorf("room %d: current after %v", room, took)
		}
		t.Logf("room %6d: current %v after there was room", room, took)
	}
}

// matchedOf returns what the leader knows a member to hold durably.
func matchedOf(s *storm, p *peer) uint64 {
	node, ok := s.leader().group.loop.node.(*consensus.Node)
	if !ok {
		return 0
	}
	matched, _ := node.MatchIndex(p.member.ID)
	return matched
}

// TestSlowDiskAmidAReceivedSnapshot has the new member's disk hang for seconds while it receives the snapshot.
func TestSlowDiskAmidAReceivedSnapshot(t *testing.T) {
	s, added := wipedAmidStorm(t, seglogtest.Unlimited)
	added.stalled = true
	s.forDuration(6 * time.Second)
	if matched := matchedOf(s, added); matched > 0 && added.disk.Used() < stormState {
		t.Errorf("the member has acknowledged entry %d", matched)
	}
	added.stalled = false
	if took := s.pass("current", testDuration, func() bool { return s.current(added) }); took > catchUpBound {
		t.Errorf("current after %v", took)
	}
}
