package replica

import (
	"testing"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog/seglogtest"
)

// replaceMemberUnderLoad returns a cluster under load in which a stopped member was replaced by a new one, whose empty disk has
// freeBytes of free space. The log was compacted meanwhile, so that the leader sends the new member a snapshot.
func replaceMemberUnderLoad(t *testing.T, freeBytes int64) (*loadedCluster, *testReplica) {
	t.Helper()
	s := newLoadedCluster(t)
	replaced := s.replicas[1]
	s.stopFor(replaced, 10*time.Second)
	s.remove(replaced)
	member := testMember(9, false)
	added := s.add(member, nil)
	added.disk.FreeBytes = freeBytes
	s.changeMembers(consensus.MembershipChange{Remove: replaced.member.ID})
	s.changeMembers(consensus.MembershipChange{Add: &member})
	return s, added
}

// TestGroup_fullDiskDuringReceivedSnapshot fills the disk of a new member at various points while it receives a snapshot. The
// member must not acknowledge anything that depends on the snapshot, the others must continue, and the member must catch up once
// space is freed, even after a power loss.
func TestGroup_fullDiskDuringReceivedSnapshot(t *testing.T) {
	for round, freeBytes := range []int64{0, 1, 40, stateBytes / 3, stateBytes - 1, stateBytes + 40, stateBytes + 400} {
		s, added := replaceMemberUnderLoad(t, freeBytes)
		previous := s.proposedChanges
		s.runFor(3 * time.Second)
		if s.proposedChanges-previous < 60 {
			t.Errorf("%d bytes free: %d changes proposed in 3 s, want at least 60", freeBytes, s.proposedChanges-previous)
		}
		if matched := matchedIndex(s, added); freeBytes < stateBytes && matched > 0 {
			t.Errorf("%d bytes free: the new member has acknowledged index %d, want 0", freeBytes, matched)
		}
		if round%2 == 0 {
			s.restart(added, true, uint64(round))
		}
		added.disk.FreeBytes = seglogtest.Unlimited
		took := s.runUntil("the new member is up to date", testTimeout, func() bool { return s.isCurrent(added) })
		if took > catchUpBound {
			t.Errorf("%d bytes free: up to date %v after space was freed, want at most %v", freeBytes, took, catchUpBound)
		}
		t.Logf("%6d bytes free: up to date %v after space was freed", freeBytes, took)
	}
}

// matchedIndex returns the index up to which the leader knows the member's log to be durable and equal to its own.
func matchedIndex(s *loadedCluster, replica *testReplica) uint64 {
	node, ok := s.leader().group.loop.node.(*consensus.Node)
	if !ok {
		return 0
	}
	matched, _ := node.MatchIndex(replica.member.ID)
	return matched
}

// TestGroup_stalledDiskDuringReceivedSnapshot stalls the disk of a new member for 6 s while it receives a snapshot. The member
// must not acknowledge the snapshot before it is on disk, and must catch up afterwards.
func TestGroup_stalledDiskDuringReceivedSnapshot(t *testing.T) {
	s, added := replaceMemberUnderLoad(t, seglogtest.Unlimited)
	added.stalled = true
	s.runFor(6 * time.Second)
	if matched := matchedIndex(s, added); matched > 0 && added.disk.UsedBytes() < stateBytes {
		t.Errorf("the new member has acknowledged index %d without a snapshot on its disk, want 0", matched)
	}
	added.stalled = false
	took := s.runUntil("the new member is up to date", testTimeout, func() bool { return s.isCurrent(added) })
	if took > catchUpBound {
		t.Errorf("up to date %v after the stall, want at most %v", took, catchUpBound)
	}
}
