package replica

import (
	"testing"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog/seglogtest"
)

// replaceMemberUnderLoad returns a cluster under load in which a member is replaced by one whose empty disk has little free
// space, after the log was compacted: the new member is sent a snapshot that it cannot store.
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

// TestGroup_fullDiskDuringReceivedSnapshot has a new member receive a snapshot on a disk that becomes full at various points:
// the member acknowledges nothing that depends on it, the others continue, and it is up to date once space is freed, also
// after a power loss.
func TestGroup_fullDiskDuringReceivedSnapshot(t *testing.T) {
	for round, freeBytes := range []int64{0, 1, 40, stateBytes / 3, stateBytes - 1, stateBytes + 40, stateBytes + 400} {
		s, added := replaceMemberUnderLoad(t, freeBytes)
		previous := s.proposedChanges
		s.runFor(3 * time.Second)
		if s.proposedChanges-previous < 60 {
			t.Errorf("%d bytes free: %d changes in three seconds", freeBytes, s.proposedChanges-previous)
		}
		if matched := matchedIndex(s, added); freeBytes < stateBytes && matched > 0 {
			t.Errorf("%d bytes free: the member has acknowledged entry %d", freeBytes, matched)
		}
		if round%2 == 0 {
			s.restart(added, true, uint64(round))
		}
		added.disk.FreeBytes = seglogtest.Unlimited
		took := s.runUntil("up to date", testTimeout, func() bool { return s.isCurrent(added) })
		if took > catchUpBound {
			t.Errorf("%d bytes free: up to date after %v", freeBytes, took)
		}
		t.Logf("%6d bytes free: up to date %v after space was freed", freeBytes, took)
	}
}

// matchedIndex returns the index up to which the leader knows a member's log to be durable.
func matchedIndex(s *loadedCluster, replica *testReplica) uint64 {
	node, ok := s.leader().group.loop.node.(*consensus.Node)
	if !ok {
		return 0
	}
	matched, _ := node.MatchIndex(replica.member.ID)
	return matched
}

// TestGroup_stalledDiskDuringReceivedSnapshot has the new member's disk stall for seconds while it receives the snapshot.
func TestGroup_stalledDiskDuringReceivedSnapshot(t *testing.T) {
	s, added := replaceMemberUnderLoad(t, seglogtest.Unlimited)
	added.stalled = true
	s.runFor(6 * time.Second)
	if matched := matchedIndex(s, added); matched > 0 && added.disk.UsedBytes() < stateBytes {
		t.Errorf("the member has acknowledged entry %d", matched)
	}
	added.stalled = false
	if took := s.runUntil("up to date", testTimeout, func() bool { return s.isCurrent(added) }); took > catchUpBound {
		t.Errorf("up to date after %v", took)
	}
}
