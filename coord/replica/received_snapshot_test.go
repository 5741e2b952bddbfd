package replica

import (
	"testing"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog/seglogtest"
)

// replaceMemberUnderLoad returns a storm in which a member's place is taken by one with an empty disk of little room, after
// the log was compacted: it is being sent a snapshot that it cannot keep.
func replaceMemberUnderLoad(t *testing.T, freeBytes int64) (*loadedCluster, *testReplica) {
	t.Helper()
	s := newLoadedCluster(t)
	gone := s.replicas[1]
	s.stopFor(gone, 10*time.Second)
	s.remove(gone)
	member := testMember(9, false)
	added := s.add(member, nil)
	added.disk.FreeBytes = freeBytes
	s.changeMembers(consensus.MembershipChange{Remove: gone.member.ID})
	s.changeMembers(consensus.MembershipChange{Add: &member})
	return s, added
}

// TestGroup_fullDiskDuringReceivedSnapshot has a new member receive a snapshot on a disk that fills at many places of it: it
// says nothing that rests on it, the others go on, and it is current once there is room, also after a loss of power.
func TestGroup_fullDiskDuringReceivedSnapshot(t *testing.T) {
	for round, freeBytes := range []int64{0, 1, 40, stateBytes / 3, stateBytes - 1, stateBytes + 40, stateBytes + 400} {
		s, added := replaceMemberUnderLoad(t, freeBytes)
		previous := s.proposedChanges
		s.runFor(3 * time.Second)
		if s.proposedChanges-previous < 60 {
			t.Errorf("room %d: %d changes in three seconds", freeBytes, s.proposedChanges-previous)
		}
		if matched := matchedIndex(s, added); freeBytes < stateBytes && matched > 0 {
			t.Errorf("room %d: the member has acknowledged entry %d", freeBytes, matched)
		}
		if round%2 == 0 {
			s.restart(added, true, uint64(round))
		}
		added.disk.FreeBytes = seglogtest.Unlimited
		took := s.runUntil("current", testTimeout, func() bool { return s.isCurrent(added) })
		if took > catchUpBound {
			t.Errorf("room %d: current after %v", freeBytes, took)
		}
		t.Logf("room %6d: current %v after there was room", freeBytes, took)
	}
}

// matchedIndex returns what the leader knows a member to hold durably.
func matchedIndex(s *loadedCluster, p *testReplica) uint64 {
	node, ok := s.leader().group.loop.node.(*consensus.Node)
	if !ok {
		return 0
	}
	matched, _ := node.MatchIndex(p.member.ID)
	return matched
}

// TestGroup_stalledDiskDuringReceivedSnapshot has the new member's disk hang for seconds while it receives the snapshot.
func TestGroup_stalledDiskDuringReceivedSnapshot(t *testing.T) {
	s, added := replaceMemberUnderLoad(t, seglogtest.Unlimited)
	added.stalled = true
	s.runFor(6 * time.Second)
	if matched := matchedIndex(s, added); matched > 0 && added.disk.UsedBytes() < stateBytes {
		t.Errorf("the member has acknowledged entry %d", matched)
	}
	added.stalled = false
	if took := s.runUntil("current", testTimeout, func() bool { return s.isCurrent(added) }); took > catchUpBound {
		t.Errorf("current after %v", took)
	}
}
