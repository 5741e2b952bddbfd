package replica

import (
	"testing"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog"
	"ospreybend/coord/seglog/seglogtest"
	"ospreybend/coord/shards"
)

// TestGroup_returningMembersCatchUpWithinBound stops members for 0.1 to 60 s under a load of 30 changes per second and brings
// them back restarted, wiped or replaced: each is up to date within catchUpS.
func TestGroup_returningMembersCatchUpWithinBound(t *testing.T) {
	s := newLoadedCluster(t)
	memberID := 3
	for _, span := range []time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second, 15 * time.Second, 60 * time.Second} {
		for _, mode := range []rejoinMode{rejoinRestarted, rejoinWiped, rejoinReplaced} {
			memberID++
			chosen := s.replicas[memberID%len(s.replicas)]
			previous := s.proposedChanges
			s.stopFor(chosen, span)
			missedChanges := s.proposedChanges - previous
			start := s.clock.now
			returned := s.rejoin(chosen, mode, memberID)
			s.runUntil("up to date", testTimeout, func() bool { return s.isCurrent(returned) })
			took := s.clock.now - start
			if took > catchUpBound {
				t.Errorf("%s after %v: up to date after %v", mode, span, took)
			}
			t.Logf("%-9s after %5v, %4d changes: up to date after %v", mode, span, missedChanges, took)
			if mode != rejoinRestarted {
				voter := returned.member
				voter.Voter = true
				s.changeMembers(consensus.MembershipChange{Add: &voter})
			}
		}
	}
	if s.proposedChanges < minChanges {
		t.Fatalf("%d changes only", s.proposedChanges)
	}
	for replica, peak := range s.peakDiskBytes {
		if bound := replicaDiskBound(stateBytes, maxInflightMessages*maxAppendBytes); peak > bound {
			t.Errorf("member %d: %d bytes on disk, bound %d", replica.member.ID, peak, bound)
		}
	}
}

// replicaDiskBound returns the greatest size of a replica on disk: a segment that a snapshot could not remove because it was
// written in one batch with a later entry, the log up to the next snapshot, the batch whose entry makes that snapshot due, and
// two snapshots.
func replicaDiskBound(snapshot, batch int64) int64 {
	return batch + seglog.DefaultSegmentBytes + compactionLogBytes + batch + 2*snapshot
}

// Sizes in bytes on the disk of a machine. What is pending at a leader are entries that wait for a majority, at a follower
// those that are sent to it before it acknowledges them: consensus bounds the former by 8 MiB and the latter by the messages in
// flight and one entry, as its tests show. A document is at most 8 MiB, which is the bound of the call that carries it, besides 512
// KiB of remembered changes; a shard of instances is at most 2 MiB.
const (
	diskCapacity            = 128_000_000
	maxDocumentBytes        = 8 << 20
	maxPendingDocumentBytes = maxInflightMessages*maxAppendBytes + maxDocumentBytes
	maxSnapshotBytes        = maxDocumentBytes + 512<<10
	maxPendingInstanceBytes = maxInflightMessages * maxAppendBytes
	maxInstanceBytes        = 2 << 20
)

// TestDiskBound_allReplicasFitOnDisk adds up the bounds of all replicas of a control plane server.
func TestDiskBound_allReplicasFitOnDisk(t *testing.T) {
	configuration := replicaDiskBound(maxSnapshotBytes, maxPendingDocumentBytes)
	instances := replicaDiskBound(maxInstanceBytes, maxPendingInstanceBytes)
	total := configuration + shards.ServiceShardCount*instances
	t.Logf("%d MiB at most", total>>20)
	if total > diskCapacity {
		t.Errorf("%d bytes", total)
	}
}

// TestGroup_failedSnapshotsLeaveNoFiles fails one operation of a member's disk each second under load, with some power losses:
// what is on disk stays within the bound.
func TestGroup_failedSnapshotsLeaveNoFiles(t *testing.T) {
	s := newLoadedCluster(t)
	for round := range 40 {
		chosen := s.replicas[round%len(s.replicas)]
		chosen.disk.FailOperation = int64(1 + round%7)
		s.runFor(time.Second)
		chosen.disk.FailOperation = 0
		if round%5 == 4 {
			s.restart(chosen, true, uint64(round))
			s.runUntil("up to date", testTimeout, func() bool { return s.isCurrent(chosen) })
		}
	}
	s.runUntil("all up to date", testTimeout, func() bool {
		return s.isCurrent(s.replicas[0]) && s.isCurrent(s.replicas[1]) && s.isCurrent(s.replicas[2])
	})
	for replica, peak := range s.peakDiskBytes {
		if bound := replicaDiskBound(stateBytes, 2*documentChangeBytes); peak > bound {
			t.Errorf("member %d: %d bytes on disk, bound %d", replica.member.ID, peak, bound)
		}
		t.Logf("member %d: %d KiB at most", replica.member.ID, peak>>10)
	}
}

// TestGroup_fullDiskDuringSnapshots fills a member's disk for a while at various points, also so that no file can be created or
// renamed: the others continue, and the member is up to date again once space is freed.
func TestGroup_fullDiskDuringSnapshots(t *testing.T) {
	for _, freeBytes := range []int64{0, 1 << 10, stateBytes / 2, stateBytes, stateBytes + 100, 1 << 20} {
		s := newLoadedCluster(t)
		full := s.leader()
		s.runFor(2 * time.Second)
		full.disk.FreeBytes = freeBytes
		s.runFor(20 * time.Second)
		if leader := s.leader(); leader == full && full.disk.FreeBytes == 0 {
			t.Errorf("%d bytes free: the member with the full disk leads", freeBytes)
		}
		previous := full.disk.UsedBytes()
		full.disk.Full = true
		s.runFor(5 * time.Second)
		if after := full.disk.UsedBytes(); after > previous {
			t.Errorf("%d bytes free: a full disk has grown from %d to %d bytes", freeBytes, previous, after)
		}
		full.disk.Full, full.disk.FreeBytes = false, seglogtest.Unlimited
		took := s.runUntil("up to date", testTimeout, func() bool { return s.isCurrent(full) && full.group.Status().Writable })
		if took > catchUpBound {
			t.Errorf("%d bytes free: up to date after %v", freeBytes, took)
		}
		t.Logf("%7d bytes free: up to date %v after space was freed", freeBytes, took)
	}
}

// TestGroup_stalledDiskDuringSnapshots stalls the leader's disk for seconds at a time under load: the others continue.
func TestGroup_stalledDiskDuringSnapshots(t *testing.T) {
	s := newLoadedCluster(t)
	for round := range 12 {
		stalled := s.leader()
		stalled.stalled = true
		previous := s.proposedChanges
		s.runFor(3 * time.Second)
		if s.proposedChanges-previous < 30 {
			t.Errorf("round %d: %d changes in three seconds", round, s.proposedChanges-previous)
		}
		stalled.stalled = false
		if took := s.runUntil("up to date", testTimeout, func() bool { return s.isCurrent(stalled) }); took > catchUpBound {
			t.Errorf("round %d: up to date after %v", round, took)
		}
	}
}
